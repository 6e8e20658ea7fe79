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

export const LEASE_MS = 15000

/** Nothing is sent this close to the lease's end: the order needs time to arrive, and clocks run unevenly. */
export const LEASE_MARGIN_MS = 2000

const RENEW_BEFORE_MS = 10000

/** Bounds the traffic of reading back; a pool of a hundred runners is read in half a minute. */
const READS_PER_TICK = 4

/** A reading that was under way when an order was sent has ended by then. */
const READ_SETTLE_MS = 1000

/** A reading older than this is not planned on. */
const READING_LIFETIME_MS = 60000

/** An order without effect after this time counts as a failed rollout. */
const ORDER_TIMEOUT_MS = 300000

const MAX_ATTEMPTS = 3

/** Longest wait before the lease is asked for again; the actual wait is drawn at random so that instances don't ask together. */
const MAX_BACKOFF_MS = 30000

/** Orders to engines: compares what the bundle wants with what the runners report, and asserts it again. */
export const orderController: Controller = {
  name: 'orders',
  handlers: {
    [OrderEventKind.OrderTick]: (board, _event, context) => {
      if (board.bundle === null) return []
      const services = new Set(board.bundle.content.models.map(({ service }) => service))
      for (const service of board.orderPools.keys()) {
        if (!services.has(service) || !isPlanner(board, service)) board.orderPools.delete(service)
      }
      return [...services].filter((service) => isPlanner(board, service)).flatMap((service) => tend(board, poolOf(board, service), context))
    },
    [OrderEventKind.LeaseGranted]: (board, { pool: service, fence, leaseEndMs }) => {
      const pool = board.orderPools.get(service)
      if (pool === undefined) return []
      // Another holder may have given orders in between: what was read before is not planned on.
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
    [OrderEventKind.RunnerStateRead]: (board, { server, state }, { nowMs }) => read(board, server, state, nowMs),
    [OrderEventKind.RunnerStateUnreadable]: (board, { server }, { nowMs }) => {
      poolWith(board, server)?.readings.set(server, { state: null, readMs: nowMs })
      return []
    },
    [OrderEventKind.OrderAnswered]: (board, { server, accepted, stale, detail }) => {
      const pool = poolWith(board, server)
      if (accepted || pool === undefined) return []
      pool.readings.delete(server)
      // The runner has seen a newer fencing number: this instance no longer holds the lease.
      if (stale) pool.fence = null
      if (stale) pool.sent.delete(server)
      return [{ kind: CoreActionKind.Log, name: 'order_refused', fields: { server, stale, detail } }]
    }
  }
}

/** One instance plans a pool; where views differ the lease decides. */
function isPlanner (board: Board, service: string): boolean {
  return board.drainingSinceMs === null && coordinatorOf(board, `orders/${board.self.region}/${service}`) === board.self.id
}

function poolOf (board: Board, service: string): OrderPool {
  const known = board.orderPools.get(service)
  if (known !== undefined) return known
  const pool = createOrderPool(service)
  board.orderPools.set(service, pool)
  return pool
}

function poolWith (board: Board, server: string): OrderPool | undefined {
  return board.orderPools.get(board.servers.get(server)?.service ?? '')
}

function runnersOf (board: Board, service: string): BackendServer[] {
  return [...board.servers.values()].filter((server) => server.kind === ServerKind.Model && server.service === service && server.region === board.self.region)
}

function tend (board: Board, pool: OrderPool, { nowMs }: Context): Action[] {
  const held = pool.fence !== null && nowMs + LEASE_MARGIN_MS < pool.leaseEndMs
  const actions: Action[] = []
  if (nowMs >= pool.nextAcquireMs && (pool.fence === null || nowMs + RENEW_BEFORE_MS >= pool.leaseEndMs)) {
    pool.nextAcquireMs = nowMs + LEASE_MARGIN_MS
    actions.push({ kind: OrderActionKind.AcquireLease, pool: pool.service, leaseMs: LEASE_MS })
  }
  if (!held) return actions
  return [...actions, ...orders(board, pool, nowMs), ...readNext(board, pool)]
}

function readNext (board: Board, pool: OrderPool): Action[] {
  if (pool.unread.length === 0) pool.unread = runnersOf(board, pool.service).map(({ id }) => id)
  return pool.unread.splice(0, READS_PER_TICK).map((server) => ({ kind: OrderActionKind.ReadRunnerState, server }))
}

/** Plans only on a complete set of readings: capacity is counted over all runners of the pool. */
function orders (board: Board, pool: OrderPool, nowMs: number): Action[] {
  const { bundle } = board
  const servers = runnersOf(board, pool.service)
  const complete = servers.every(({ id }) => nowMs - (pool.readings.get(id)?.readMs ?? -Infinity) < READING_LIFETIME_MS)
  if (bundle === null || !complete) return []
  if (pool.stopped !== null && pool.stopped.version !== bundle.version) pool.stopped = null
  const actions = stopIfFailing(pool, bundle.version, nowMs)
  const models = bundle.content.models.filter(({ service }) => service === pool.service)
  const runners = servers.map((server) => plannedRunner(pool, server, bundle.version))
  const steps = planOrders(models, runners).filter(({ server }) => mayOrder(pool, server, bundle.version))
  return [...actions, ...steps.flatMap((step) => send(pool, step, bundle.version, nowMs))]
}

function plannedRunner (pool: OrderPool, { id, failureDomain }: BackendServer, version: number): PlannedRunner {
  const sent = pool.sent.get(id)
  return { id, failureDomain, state: pool.readings.get(id)?.state ?? null, ordered: sent !== undefined && sent.version === version && !readSince(pool, id) }
}

/** Whether the runner has been read after its order, so that the reading shows what the order did. */
function readSince (pool: OrderPool, server: string): boolean {
  return (pool.readings.get(server)?.readMs ?? 0) >= (pool.sent.get(server)?.sentMs ?? 0) + READ_SETTLE_MS
}

function stopIfFailing (pool: OrderPool, version: number, nowMs: number): Action[] {
  if (pool.stopped !== null) return []
  for (const [server, sent] of pool.sent) {
    if (sent.version !== version || !readSince(pool, server)) continue
    const state = pool.readings.get(server)?.state ?? null
    const failed = state?.failed === true
    const silent = state === null && nowMs - sent.sentMs > ORDER_TIMEOUT_MS
    const idle = state !== null && !state.busy && sent.attempts >= MAX_ATTEMPTS
    if (!failed && !silent && !idle) continue
    const detail = failed ? 'the runner failed after its order' : silent ? 'the runner cannot be read since its order' : 'the orders have no effect'
    pool.stopped = { version, server, detail, sinceMs: nowMs }
    return [{ kind: CoreActionKind.Log, name: 'rollout_stopped', fields: { service: pool.service, version, server, detail } }]
  }
  return []
}

/** A stopped rollout gives no orders of its version; a higher version begins anew. */
function mayOrder (pool: OrderPool, server: string, version: number): boolean {
  const sent = pool.sent.get(server)
  return pool.stopped === null && (sent === undefined || sent.version !== version || sent.attempts < MAX_ATTEMPTS)
}

function send (pool: OrderPool, step: OrderStep, version: number, nowMs: number): Action[] {
  const before = pool.sent.get(step.server)
  pool.sent.set(step.server, { version, attempts: before?.version === version ? before.attempts + 1 : 1, sentMs: nowMs })
  const loads = step.models.map(({ model, version }) => `${model}@${version}`).join()
  return [
    { kind: CoreActionKind.Log, name: 'order_sent', fields: { server: step.server, role: step.role, models: loads, fence: pool.fence ?? 0 } },
    { kind: OrderActionKind.SendOrder, ...step, fence: pool.fence ?? 0, leaseEndMs: pool.leaseEndMs }
  ]
}

function read (board: Board, server: string, state: RunnerState, nowMs: number): Action[] {
  const pool = poolWith(board, server)
  if (pool === undefined) return []
  pool.readings.set(server, { state, readMs: nowMs })
  const done = !state.busy && !state.failed && state.role !== RunnerRole.None
  const sent = pool.sent.get(server)
  // Attempts are counted while the order has no effect; a later contrary order of another holder starts from one again.
  if (done && sent !== undefined && isWanted(board, state)) pool.sent.delete(server)
  return []
}

function isWanted (board: Board, state: RunnerState): boolean {
  const loaded = state.models[0]
  const model: Model | undefined = board.bundle?.index.models.get(loaded?.model ?? '')
  return loaded !== undefined && model?.version === loaded.version
}
