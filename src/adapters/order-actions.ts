import type { Board } from '../board/board.js'
import type { Event } from '../core/event.js'
import { OrderActionKind } from '../orders/order-action.js'
import { LEASE_MARGIN_MS } from '../orders/order-controller.js'
import { OrderEventKind } from '../orders/order-event.js'
import type { KeyValue, KeyValueService } from '../ports/key-value.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import { stateAnswer } from './engine-schemas.js'
import { callJson } from './http-call.js'

/** Limit for reading a runner's state, in ms. */
const READ_TIMEOUT_MS = 1000

/** Limit for sending an order, in ms; below `LEASE_MARGIN_MS`, so that an order sent before the margin has arrived or failed by the end of the lease. */
const ORDER_TIMEOUT_MS = 1500

/** HTTP status of a runner that has received a newer fencing token. */
const STALE_STATUS = 412

interface OrderActionOptions {
  board: Board
  keyValue: KeyValueService
  emit: (event: Event) => void
  nowMs: () => number
}

/** Lease on the orders to a pool of runners, with its fencing token. */
interface HeldLease {
  lease: string
  fence: number
}

/** Acquires and renews leases on orders, sends orders to runners and reads the runners' states. */
export function orderActions ({ board, keyValue, emit, nowMs }: OrderActionOptions): ActionHandlers {
  const heldLeases = new Map<string, HeldLease>()
  const url = (server: string, path: string): string => `http://${board.servers.get(server)?.address}${path}`
  return {
    [OrderActionKind.AcquireLease]: async ({ pool, leaseMs }) => {
      // The lease is counted from before the call, since the service may start it at any time during the call.
      const startMs = nowMs()
      const acquired = await renew(keyValue, heldLeases.get(pool)) ?? await acquire(keyValue, board, pool, leaseMs)
      if (acquired === null) {
        heldLeases.delete(pool)
        emit({ kind: OrderEventKind.LeaseRefused, pool })
        return
      }
      heldLeases.set(pool, acquired)
      emit({ kind: OrderEventKind.LeaseGranted, pool, fence: acquired.fence, leaseEndMs: startMs + leaseMs })
    },
    [OrderActionKind.ReadRunnerState]: async ({ server }) => {
      const answer = await callJson({ url: url(server, '/v1/state'), schema: stateAnswer, timeoutMs: READ_TIMEOUT_MS })
      if (answer.ok) emit({ kind: OrderEventKind.RunnerStateRead, server, state: answer.val })
      else emit({ kind: OrderEventKind.RunnerStateUnreadable, server })
    },
    [OrderActionKind.SendOrder]: async ({ server, fence, leaseEndMs, role, models }) => {
      // The process may have been paused since the order was planned, so the end of the lease may be near or past.
      if (nowMs() + LEASE_MARGIN_MS >= leaseEndMs) {
        emit({ kind: OrderEventKind.OrderAnswered, server, accepted: false, stale: true, detail: 'the lease ended before the order was sent' })
        return
      }
      const answer = await callJson({ url: url(server, '/v1/orders'), schema: stateAnswer, method: 'POST', body: { fence, role, models }, timeoutMs: ORDER_TIMEOUT_MS })
      const detail = answer.ok ? '' : answer.val.detail
      emit({ kind: OrderEventKind.OrderAnswered, server, accepted: answer.ok, stale: answer.err && answer.val.status === STALE_STATUS, detail })
    }
  }
}

/** Renews a lease; null if there is none, if it has expired or if the call fails. */
async function renew (keyValue: KeyValueService, held: HeldLease | undefined): Promise<HeldLease | null> {
  if (held === undefined) return null
  const renewed = await keyValue.keepLeaseAlive(held.lease)
  return renewed.ok && renewed.val ? held : null
}

/** Creates the pool's record under a new lease. If a record exists, takes over its lease only if this incarnation wrote it, in a write whose reply was lost; otherwise null. */
async function acquire (keyValue: KeyValueService, board: Board, pool: string, leaseMs: number): Promise<HeldLease | null> {
  const { id, incarnation, region } = board.self
  const key = `daisybarrow/orders/${region}/${pool}`
  const existing = await keyValue.get(key)
  if (existing.err) return null
  if (existing.val !== null) return await adopt(keyValue, existing.val, incarnation)
  const lease = await keyValue.grantLease(leaseMs / 1000)
  if (lease.err) return null
  const value = Buffer.from(JSON.stringify({ holder: id, incarnation }))
  const swap = await keyValue.compareAndSwap({ key, value, lease: lease.val, expectedRevision: 0 })
  if (swap.ok && swap.val.swapped) return { lease: lease.val, fence: swap.val.revision }
  return null
}

/** Takes over the lease of an existing record if this incarnation wrote it; otherwise null. */
async function adopt (keyValue: KeyValueService, existing: KeyValue, incarnation: string): Promise<HeldLease | null> {
  const record = JSON.parse(Buffer.from(existing.value).toString('utf8')) as { incarnation?: string }
  if (record.incarnation !== incarnation) return null
  return await renew(keyValue, { lease: existing.lease, fence: existing.modRevision })
}
