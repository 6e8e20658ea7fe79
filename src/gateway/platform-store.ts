import type { BackendServer } from './backend.js'
import type { Configuration } from './configuration.js'
import type { Transfer } from './control-request.js'
import type { OrderRecord } from './order-token-issuer.js'
import type { StorePosition } from './store-position.js'

export enum StoreChangeKind {
  Configuration = 'configuration',
  Backend = 'backend',
  BackendRemoved = 'backend-removed',
  Instance = 'instance',
  InstanceRemoved = 'instance-removed',
  /** The record of the last order for a service's runners; see OrderRecord. */
  OrderRecord = 'order-record',
  /** An entry whose value can't be decoded. If it described a server before, that server must no longer be used. */
  Unreadable = 'unreadable'
}

/** One entry, or removed entry, of the platform's store that concerns the gateway. */
export type StoreChange =
  | { kind: StoreChangeKind.Configuration, configuration: Configuration }
  | { kind: StoreChangeKind.Backend, backend: BackendServer }
  | { kind: StoreChangeKind.BackendRemoved, id: string }
  | { kind: StoreChangeKind.Instance, ip: string }
  | { kind: StoreChangeKind.InstanceRemoved, ip: string }
  | { kind: StoreChangeKind.OrderRecord, service: string, record: OrderRecord }
  | { kind: StoreChangeKind.Unreadable, key: string, detail: string, backendId: string | null }

/** A change that instances pass on to each other. */
export type RelayedChange = Extract<StoreChange, { kind: StoreChangeKind.Backend | StoreChangeKind.BackendRemoved | StoreChangeKind.OrderRecord }>

/** The result of a listing or a watch call: entries or changes, and the position of the store that they reach. */
export interface StoreListing extends StorePosition {
  changes: StoreChange[]
  /** Size and timing of the response; of the last page if there were several. */
  transfer?: Transfer
}

export enum StoreErrorKind {
  /** The store did not answer, rejected the call or sent an unreadable answer. */
  Unreachable = 'unreachable',
  /** The entry has changed since the known revision: another instance wrote first. */
  Conflict = 'conflict',
  /** The store no longer keeps the changes since the requested revision. */
  HistoryLost = 'history-lost'
}

export interface StoreError {
  kind: StoreErrorKind
  detail: string
  /** Era of the answer; undefined if there was none. */
  era?: number
}

/** The platform's store as the gateway uses it. */
export interface PlatformStore {
  /** All entries of one era, and the revision to watch from; later changes that the listing already contains are repeated by watch(). */
  list: () => Promise<StoreListing | StoreError>
  /** The changes after a revision; waits up to `waitMs` milliseconds for the first ones. */
  watch: (afterRevision: number, waitMs: number) => Promise<StoreListing | StoreError>
  /** Writes the entry of this instance, from which new instances get its address; null if it was written. */
  announce: (ip: string) => Promise<StoreError | null>
  /** Writes the order record of a service if its revision is still `expectedRevision`, 0 if there is no record yet; the position of the write makes the fencing token of the order. */
  recordOrder: (service: string, order: Pick<OrderRecord, 'holder' | 'server'>, expectedRevision: number) => Promise<StorePosition | StoreError>
}

export function isStoreError (result: StoreListing | StoreError): result is StoreError {
  return 'kind' in result
}

/** Whether a change adds, changes or removes a server. */
export function describesServer (change: StoreChange): boolean {
  return change.kind === StoreChangeKind.Backend || change.kind === StoreChangeKind.BackendRemoved ||
    (change.kind === StoreChangeKind.Unreadable && change.backendId !== null)
}
