import type { BackendServer } from './backend.js'
import type { Configuration } from './configuration.js'
import type { OrderRecord } from './order-token-issuer.js'

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
  | { kind: StoreChangeKind.Backend, backend: BackendServer }
  | { kind: StoreChangeKind.BackendRemoved, id: string }
  | { kind: StoreChangeKind.Instance, ip: string }
  | { kind: StoreChangeKind.InstanceRemoved, ip: string }
  | { kind: StoreChangeKind.OrderRecord, service: string, record: OrderRecord }
  | { kind: StoreChangeKind.Unreadable, key: string, detail: string, backendId: string | null }

export interface StoreListing {
  revision: number
  changes: StoreChange[]
}

export enum StoreErrorKind {
  /** The store gave no answer, or turned the call away. */
  Unreachable = 'unreachable',
  /** A condition does not hold: somebody else wrote first. */
  Conflict = 'conflict',
  /** The changes since the revision asked for are no longer kept. */
  HistoryLost = 'history-lost'
}

export interface StoreError {
  kind: StoreErrorKind
  detail: string
}

/** The platform's store as the gateway uses it. */
export interface PlatformStore {
  /** All entries as of one revision. */
  list: () => Promise<StoreListing | StoreError>
  /** The changes after a revision; waits for some up to the given time. */
  watch: (afterRevision: number, waitMs: number) => Promise<StoreListing | StoreError>
  /** Makes this instance known to new ones. */
  announce: (ip: string) => Promise<StoreError | null>
  /** Writes the record of orders if it still has the revision known; the new revision is the order's fencing number. */
  recordOrder: (service: string, order: Pick<OrderRecord, 'holder' | 'server'>, knownRevision: number) => Promise<{ revision: number } | StoreError>
}

export function isStoreError (result: StoreListing | StoreError): result is StoreError {
  return 'kind' in result
}
