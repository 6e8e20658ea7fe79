import type { Board } from '../board/board.js'
import type { Event } from '../core/event.js'
import { OrderActionKind } from '../orders/order-action.js'
import { LEASE_MARGIN_MS } from '../orders/order-controller.js'
import { OrderEventKind } from '../orders/order-event.js'
import type { KeyValue, KeyValueService } from '../ports/key-value.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import { stateAnswer } from './engine-schemas.js'
import { callJson } from './http-call.js'

const READ_TIMEOUT_MS = 1000

/** Below the lease margin, so that an order sent before the margin has arrived or failed when the lease ends. */
const ORDER_TIMEOUT_MS = 1500

/** Status of a runner that has seen a newer fencing number. */
const STALE_STATUS = 412

interface OrderActionOptions {
  board: Board
  keyValue: KeyValueService
  emit: (event: Event) => void
  nowMs: () => number
}

/** Lease and fencing number of a pool of runners. */
interface Held {
  lease: string
  fence: number
}

/** Carries out the leases on orders, the orders and the reading back. */
export function orderActions ({ board, keyValue, emit, nowMs }: OrderActionOptions): ActionHandlers {
  const held = new Map<string, Held>()
  const url = (server: string, path: string): string => `http://${board.servers.get(server)?.address}${path}`
  return {
    [OrderActionKind.AcquireLease]: async ({ pool, leaseMs }) => {
      // Counted from before the call: the service may start the lease as early as that.
      const startMs = nowMs()
      const found = await renew(keyValue, held.get(pool)) ?? await acquire(keyValue, board, pool, leaseMs)
      if (found === null) {
        held.delete(pool)
        emit({ kind: OrderEventKind.LeaseRefused, pool })
        return
      }
      held.set(pool, found)
      emit({ kind: OrderEventKind.LeaseGranted, pool, fence: found.fence, leaseEndMs: startMs + leaseMs })
    },
    [OrderActionKind.ReadRunnerState]: async ({ server }) => {
      const answer = await callJson({ url: url(server, '/v1/state'), schema: stateAnswer, timeoutMs: READ_TIMEOUT_MS })
      if (answer.ok) emit({ kind: OrderEventKind.RunnerStateRead, server, state: answer.val })
      else emit({ kind: OrderEventKind.RunnerStateUnreadable, server })
    },
    [OrderActionKind.SendOrder]: async ({ server, fence, leaseEndMs, role, models }) => {
      // The process may have been paused since the order was planned.
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

/** Null if there is nothing to renew or the lease has lapsed. */
async function renew (keyValue: KeyValueService, held: Held | undefined): Promise<Held | null> {
  if (held === undefined) return null
  const kept = await keyValue.keepLeaseAlive(held.lease)
  return kept.ok && kept.val ? held : null
}

/** Creates the record if there is none. A record of this incarnation is from a write whose reply was lost. */
async function acquire (keyValue: KeyValueService, board: Board, pool: string, leaseMs: number): Promise<Held | null> {
  const { id, incarnation, region } = board.self
  const key = `daisybarrow/orders/${region}/${pool}`
  const present = await keyValue.get(key)
  if (present.err) return null
  if (present.val !== null) return await adopt(keyValue, present.val, incarnation)
  const lease = await keyValue.grantLease(leaseMs / 1000)
  if (lease.err) return null
  const value = Buffer.from(JSON.stringify({ holder: id, incarnation }))
  const swap = await keyValue.compareAndSwap({ key, value, lease: lease.val, expectedRevision: 0 })
  if (swap.ok && swap.val.swapped) return { lease: lease.val, fence: swap.val.revision }
  return null
}

async function adopt (keyValue: KeyValueService, present: KeyValue, incarnation: string): Promise<Held | null> {
  const record = JSON.parse(Buffer.from(present.value).toString('utf8')) as { incarnation?: string }
  if (record.incarnation !== incarnation) return null
  return await renew(keyValue, { lease: present.lease, fence: present.modRevision })
}
