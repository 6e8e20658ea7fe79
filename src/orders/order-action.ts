import type { RunnerRole } from '../board/backend-server.js'
import type { LoadedModel } from './order-event.js'

export enum OrderActionKind {
  ReadRunnerState = 'read-runner-state',
  AcquireLease = 'acquire-fence',
  SendOrder = 'send-order'
}

export interface ReadRunnerState {
  kind: OrderActionKind.ReadRunnerState
  server: string
}

/** Acquires or renews the lease on orders to the runners of a service; the revision of the lease's record is the fencing token. */
export interface AcquireLease {
  kind: OrderActionKind.AcquireLease
  pool: string
  leaseMs: number
}

export interface SendOrder {
  kind: OrderActionKind.SendOrder
  server: string
  /** Fencing token. */
  fence: number
  /** The order is not sent when this time is near, because the lease may then have passed to another instance. */
  leaseEndMs: number
  role: RunnerRole
  models: LoadedModel[]
}

export type OrderAction = AcquireLease | ReadRunnerState | SendOrder
