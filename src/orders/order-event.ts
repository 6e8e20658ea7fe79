import type { RunnerRole } from '../board/backend-server.js'

export enum OrderEventKind {
  OrderTick = 'order-tick',
  RunnerStateRead = 'runner-state-read',
  RunnerStateUnreadable = 'runner-state-unreadable',
  LeaseGranted = 'fence-granted',
  LeaseRefused = 'fence-refused',
  OrderAnswered = 'order-answered'
}

/** A model with its version and adapters: one that is loaded, or one that is to be loaded. */
export interface ModelSpec {
  model: string
  version: string
  adapters: string[]
}

/** What a runner reports about itself. */
export interface RunnerState {
  role: RunnerRole
  models: ModelSpec[]
  /** True while an order is being carried out. */
  busy: boolean
  failed: boolean
  /** Highest fencing token that the runner has seen. */
  fence: number
}

export interface OrderTick {
  kind: OrderEventKind.OrderTick
}

export interface RunnerStateRead {
  kind: OrderEventKind.RunnerStateRead
  server: string
  state: RunnerState
}

export interface RunnerStateUnreadable {
  kind: OrderEventKind.RunnerStateUnreadable
  server: string
}

/** This incarnation holds the lease on orders to the runners of a service. */
export interface LeaseGranted {
  kind: OrderEventKind.LeaseGranted
  /** Name of the service. */
  pool: string
  /** Fencing token. */
  fence: number
  leaseEndMs: number
}

/** The lease was neither granted nor renewed: another instance holds it, or the key-value service does not respond. */
export interface LeaseRefused {
  kind: OrderEventKind.LeaseRefused
  /** Name of the service. */
  pool: string
}

export interface OrderAnswered {
  kind: OrderEventKind.OrderAnswered
  server: string
  accepted: boolean
  /** True if the runner has seen a higher fencing token, or if the order was not sent because the lease was about to end. */
  stale: boolean
  detail: string
}

export type OrderEvent =
  | LeaseGranted
  | LeaseRefused
  | OrderAnswered
  | OrderTick
  | RunnerStateRead
  | RunnerStateUnreadable
