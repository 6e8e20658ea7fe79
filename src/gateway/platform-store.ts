import type { Backend } from './backend.js'
import type { Configuration } from './configuration.js'
import type { OrderRecord } from './order-authority.js'

export enum StoreChangeKind {
  Configuration = 'configuration',
  Backend = 'backend',
  BackendRemoved = 'backend-removed',
  Instance = 'instance',
  InstanceRemoved = 'instance-removed',
  /** Who may give orders to the runners of a service. */
  OrderRecord = 'order-record',
  /** An entry that can't be read; it names nothing to use, also if it named a server before. */
  Unreadable = 'unreadable'
}

/** One entry of the platform's store that concerns the gateway. */
export type StoreChange =
  | { kind: StoreChangeKind.Configuration, configuration: Configuration }
  | { kind: StoreChangeKind.Backend, backend: Backend }
  | { kind: StoreChangeKind.BackendRemoved, id: string }
  | { kind: StoreChangeKind.Instance, ip: string }
  | { kind: StoreChangeKind.InstanceRemoved, ip: string }
  | { kind: StoreChangeKind.OrderRecord, service: string, record: OrderRecord }
  | { kind: StoreChangeKind.Unreadable, key: string, detail: string, backendId: string | null }

export interface StoreListing {
  revision: number
  changes: StoreChange[]
}

export enum StoreFaultKind {
  /** The store gave no answer, or turned the call away. */
  Unreachable = 'unreachable',
  /** A condition does not hold: somebody else wrote first. */
  Conflict = 'conflict',
  /** The changes since the revision asked for are no longer kept. */
  HistoryLost = 'history-lost'
}

export interface StoreFault {
  kind: StoreFaultKind
  detail: string
}

/** The platform's store as the gateway uses it. */
export interface PlatformStore {
  /** All entries as of one revision. */
  list: () => Promise<StoreListing | StoreFault>
  /** The changes after a revision; waits for some up to the given time. */
  watch: (afterRevision: number, waitMs: number) => Promise<StoreListing | StoreFault>
  /** Makes this instance known to new ones. */
  announce: (ip: string) => Promise<StoreFault | null>
  /** Writes the record of orders if it still has the revision known; the new revision is the order's fencing number. */
  recordOrder: (service: string, order: Pick<OrderRecord, 'holder' | 'server'>, knownRevision: number) => Promise<{ revision: number } | StoreFault>
}

export function isStoreFault (result: StoreListing | StoreFault): result is StoreFault {
  return 'kind' in result
}
