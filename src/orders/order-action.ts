import type { RunnerRole } from '../board/backend-server.js'
import type { ModelSpec } from './order-event.js'

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
  /** Name of the service. */
  pool: string
  leaseMs: number
}

/** Orders a runner to take a role and to load models. */
export interface SendOrder {
  kind: OrderActionKind.SendOrder
  server: string
  /** Fencing token. */
  fence: number
  /** End of the lease. The order is not sent shortly before it, because the lease may pass to another instance while the order is on its way. */
  leaseEndMs: number
  role: RunnerRole
  models: ModelSpec[]
}

export type OrderAction = AcquireLease | ReadRunnerState | SendOrder
