import type { RunnerState } from '../orders/order-event.js'

/** The last read of a runner's state; `state` is null if it could not be read. */
export interface RunnerReading {
  state: RunnerState | null
  readMs: number
}

/** An order that was sent under a bundle version and whose effect the runner has not shown yet. */
export interface SentOrder {
  version: number
  attempts: number
  sentMs: number
}

/** A rollout that was stopped because a runner failed, became unreadable or did not carry out its orders. */
export interface StoppedRollout {
  version: number
  server: string
  detail: string
  sinceMs: number
}

/** State of the orders to the runners of one service in this region, while this instance plans them. */
export interface OrderPool {
  service: string
  /** Fencing token: the revision of the lease's record; null while the lease is not held. */
  fence: number | null
  /** End of the lease by this instance's clock; no order may be sent later. */
  leaseEndMs: number
  /** The lease is not requested again before this time. */
  nextAcquireMs: number
  /** Refused lease requests in a row. */
  refusals: number
  readings: Map<string, RunnerReading>
  /** Runners whose state is still to be read in this round. */
  unread: string[]
  sent: Map<string, SentOrder>
  stopped: StoppedRollout | null
}

export function createOrderPool (service: string): OrderPool {
  return { service, fence: null, leaseEndMs: 0, nextAcquireMs: 0, refusals: 0, readings: new Map(), unread: [], sent: new Map(), stopped: null }
}
