import { RunnerRole, type BackendServer, ServerKind } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import { createOrderPool, type OrderPool } from '../board/order-pool.js'
import type { Model } from '../bundles/bundle.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { coordinatorOf } from '../placement/coordinator.js'
import { OrderActionKind } from './order-action.js'
import { OrderEventKind, type RunnerState } from './order-event.js'
import { type OrderStep, planOrders, type PlannedRunner } from './order-plan.js'

/** Lifetime of the lease on orders after it was granted or renewed, in ms. */
export const LEASE_MS = 15000

/**
 * No order is sent this close to the end of the lease, in ms: the order needs time to arrive, and clocks run at different rates.
 * Also the time for the answer to a lease request, after which the lease is requested again, and the base of the backoff after a refusal.
 */
export const LEASE_MARGIN_MS = 2000

/** Time before the end of the lease from which on it is renewed, in ms. */
const RENEW_BEFORE_MS = 10000

/** Largest number of runners read per tick, to limit the traffic; a pool of a hundred runners is read in half a minute. */
const MAX_READS_PER_TICK = 4

/** Longest time that a read of a runner's state takes, in ms. A reading that ends less than this after an order was sent may have begun before it. */
const MAX_READ_DURATION_MS = 1000

/** Age from which on a reading is not used for planning, in ms. */
const MAX_READING_AGE_MS = 60000

/** A rollout counts as failed if a runner still cannot be read this long after its order, in ms. */
const ORDER_TIMEOUT_MS = 300000

/** Largest number of orders of one bundle version to one runner; the rollout counts as failed if they have no effect. */
const MAX_ORDER_ATTEMPTS = 3

/** Longest wait before the lease is requested again, in ms; the actual wait is random, so that instances don't request it simultaneously. */
const MAX_BACKOFF_MS = 30000

/** Compares the roles and models that the runners report with those that the bundle wants, and sends orders to the runners where they differ. */
export const orderController: Controller = {
  name: 'orders',
  handlers: {
    [OrderEventKind.OrderTick]: (board, _event, context) => {
      if (board.bundle === null) return []
      const services = new Set(board.bundle.content.models.map(({ service }) => service))
      for (const service of board.orderPools.keys()) {
        if (!services.has(service) || !isPlanner(board, service)) board.orderPools.delete(service)
      }
      return [...services].filter((service) => isPlanner(board, service)).flatMap((service) => maintainPool(board, getOrCreatePool(board, service), context))
    },
    [OrderEventKind.LeaseGranted]: (board, { pool: service, fence, leaseEndMs }) => {
      const pool = board.orderPools.get(service)
      if (pool === undefined) return []
      // A new fencing token means that another instance may have held the lease and sent orders since, so earlier readings are not used for planning.
      if (pool.fence !== fence) pool.readings.clear()
      Object.assign(pool, { fence, leaseEndMs, refusals: 0 })
      return []
    },
    [OrderEventKind.LeaseRefused]: (board, { pool: service }, { nowMs, random }) => {
      const pool = board.orderPools.get(service)
      if (pool === undefined) return []
      pool.refusals += 1
      pool.nextAcquireMs = nowMs + random() * Math.min(MAX_BACKOFF_MS, LEASE_MARGIN_MS * 2 ** pool.refusals)
      return []
    },
    [OrderEventKind.RunnerStateRead]: (board, { server, state }, { nowMs }) => recordReading(board, server, state, nowMs),
    [OrderEventKind.RunnerStateUnreadable]: (board, { server }, { nowMs }) => {
      poolOfServer(board, server)?.readings.set(server, { state: null, readMs: nowMs })
      return []
    },
    [OrderEventKind.OrderAnswered]: (board, { server, accepted, stale, detail }) => {
      const pool = poolOfServer(board, server)
      if (accepted || pool === undefined) return []
      pool.readings.delete(server)
      // The runner has seen a higher fencing token or the lease was about to end: this instance no longer relies on the lease.
      if (stale) pool.fence = null
      if (stale) pool.sent.delete(server)
      return [{ kind: CoreActionKind.Log, name: 'order_refused', fields: { server, stale, detail } }]
    }
  }
}

/** Whether this instance plans the orders of a service. Where membership views differ, several instances may; the lease then decides which one sends orders. */
function isPlanner (board: Board, service: string): boolean {
  return board.drainingSinceMs === null && coordinatorOf(board, `orders/${board.self.region}/${service}`) === board.self.id
}

function getOrCreatePool (board: Board, service: string): OrderPool {
  const existing = board.orderPools.get(service)
  if (existing !== undefined) return existing
  const pool = createOrderPool(service)
  board.orderPools.set(service, pool)
  return pool
}

function poolOfServer (board: Board, server: string): OrderPool | undefined {
  return board.orderPools.get(board.servers.get(server)?.service ?? '')
}

function runnersOf (board: Board, service: string): BackendServer[] {
  return [...board.servers.values()].filter((server) => server.kind === ServerKind.Model && server.service === service && server.region === board.self.region)
}

function maintainPool (board: Board, pool: OrderPool, { nowMs }: Context): Action[] {
  const leaseUsable = pool.fence !== null && nowMs + LEASE_MARGIN_MS < pool.leaseEndMs
  const actions: Action[] = []
  if (nowMs >= pool.nextAcquireMs && (pool.fence === null || nowMs + RENEW_BEFORE_MS >= pool.leaseEndMs)) {
    pool.nextAcquireMs = nowMs + LEASE_MARGIN_MS
    actions.push({ kind: OrderActionKind.AcquireLease, pool: pool.service, leaseMs: LEASE_MS })
  }
  if (!leaseUsable) return actions
  return [...actions, ...planAndSendOrders(board, pool, nowMs), ...readNextRunners(board, pool)]
}

function readNextRunners (board: Board, pool: OrderPool): Action[] {
  if (pool.unread.length === 0) pool.unread = runnersOf(board, pool.service).map(({ id }) => id)
  return pool.unread.splice(0, MAX_READS_PER_TICK).map((server) => ({ kind: OrderActionKind.ReadRunnerState, server }))
}

/** Plans and sends orders only if all runners of the pool have a recent reading, because capacity is counted over all of them. */
function planAndSendOrders (board: Board, pool: OrderPool, nowMs: number): Action[] {
  const { bundle } = board
  const servers = runnersOf(board, pool.service)
  const allRecentlyRead = servers.every(({ id }) => nowMs - (pool.readings.get(id)?.readMs ?? -Infinity) < MAX_READING_AGE_MS)
  if (bundle === null || !allRecentlyRead) return []
  if (pool.stopped !== null && pool.stopped.version !== bundle.version) pool.stopped = null
  const actions = stopRolloutIfFailing(pool, bundle.version, nowMs)
  const models = bundle.content.models.filter(({ service }) => service === pool.service)
  const runners = servers.map((server) => toPlannedRunner(pool, server, bundle.version))
  const steps = planOrders(models, runners).filter(({ server }) => mayOrder(pool, server, bundle.version))
  return [...actions, ...steps.flatMap((step) => sendOrder(pool, step, bundle.version, nowMs))]
}

function toPlannedRunner (pool: OrderPool, { id, failureDomain }: BackendServer, version: number): PlannedRunner {
  const sent = pool.sent.get(id)
  return { id, failureDomain, state: pool.readings.get(id)?.state ?? null, orderPending: sent !== undefined && sent.version === version && !wasReadSinceOrder(pool, id) }
}

/** Whether the runner's last reading began after its order was sent, so that it shows the effect of the order. */
function wasReadSinceOrder (pool: OrderPool, server: string): boolean {
  return (pool.readings.get(server)?.readMs ?? 0) >= (pool.sent.get(server)?.sentMs ?? 0) + MAX_READ_DURATION_MS
}

/** Stops the rollout if a runner has failed, cannot be read or has not changed after its orders. */
function stopRolloutIfFailing (pool: OrderPool, version: number, nowMs: number): Action[] {
  if (pool.stopped !== null) return []
  for (const [server, sent] of pool.sent) {
    if (sent.version !== version || !wasReadSinceOrder(pool, server)) continue
    const state = pool.readings.get(server)?.state ?? null
    const failed = state?.failed === true
    const unreadable = state === null && nowMs - sent.sentMs > ORDER_TIMEOUT_MS
    const withoutEffect = state !== null && !state.busy && sent.attempts >= MAX_ORDER_ATTEMPTS
    if (!failed && !unreadable && !withoutEffect) continue
    const detail = failed ? 'the runner failed after its order' : unreadable ? 'the runner could not be read after its order' : 'the orders have no effect'
    pool.stopped = { version, server, detail, sinceMs: nowMs }
    return [{ kind: CoreActionKind.Log, name: 'rollout_stopped', fields: { service: pool.service, version, server, detail } }]
  }
  return []
}

/** Whether the runner may get an order of this version. A stopped rollout sends no more orders of its version; another bundle version ends the stop. */
function mayOrder (pool: OrderPool, server: string, version: number): boolean {
  const sent = pool.sent.get(server)
  return pool.stopped === null && (sent === undefined || sent.version !== version || sent.attempts < MAX_ORDER_ATTEMPTS)
}

function sendOrder (pool: OrderPool, step: OrderStep, version: number, nowMs: number): Action[] {
  const previous = pool.sent.get(step.server)
  pool.sent.set(step.server, { version, attempts: previous?.version === version ? previous.attempts + 1 : 1, sentMs: nowMs })
  const modelList = step.models.map(({ model, version }) => `${model}@${version}`).join()
  return [
    { kind: CoreActionKind.Log, name: 'order_sent', fields: { server: step.server, role: step.role, models: modelList, fence: pool.fence ?? 0 } },
    { kind: OrderActionKind.SendOrder, ...step, fence: pool.fence ?? 0, leaseEndMs: pool.leaseEndMs }
  ]
}

function recordReading (board: Board, server: string, state: RunnerState, nowMs: number): Action[] {
  const pool = poolOfServer(board, server)
  if (pool === undefined) return []
  pool.readings.set(server, { state, readMs: nowMs })
  const operational = !state.busy && !state.failed && state.role !== RunnerRole.None
  const sent = pool.sent.get(server)
  // Attempts count only until the order takes effect. If another holder later sends a contrary order, counting starts again from one.
  if (operational && sent !== undefined && hasWantedModel(board, state)) pool.sent.delete(server)
  return []
}

function hasWantedModel (board: Board, state: RunnerState): boolean {
  const loaded = state.models[0]
  const model: Model | undefined = board.bundle?.index.models.get(loaded?.model ?? '')
  return loaded !== undefined && model?.version === loaded.version
}
