import type { Log } from '../logs/log.js'
import { type BackendServer, incarnationOf, RunnerRole } from './backend.js'
import type { BackendClient } from './backend-client.js'
import type { BackendTable } from './backend-table.js'
import type { OrderTokenIssuer } from './order-token-issuer.js'
import { bestRoleChange, type Demand, type RequestMix, type RoleChange, restoringRoleChange } from './role-balance.js'

/** Time for which the runners of a service must be unchanged before one gets another role, in milliseconds; a crashed runner has often restarted by then. */
const STEADY_MS = 3000

/** Shortest time between two decisions on a service, in milliseconds. */
const DECISION_PERIOD_MS = 1000

/** Time after which an order counts as failed if the server list does not show the new role, in milliseconds; the runner first finishes its runs and then needs some seconds to change. */
const ORDER_TIMEOUT_MS = 25000

/** Time after an order without an answer before another one may be sent, in milliseconds; the runner may or may not carry out the first one. */
const UNKNOWN_ORDER_RETRY_MS = 4000

/** Time after an order within which the opposite one needs a higher gain, in milliseconds: the load that called for the first one may return. */
const REVERSAL_MS = 30_000

/** Minimum factor by which an order that reverses the last one must raise the capacity. */
const MIN_REVERSAL_GAIN = 1.4

/** Shortest time between two questions to a runner whether it is changing its role, in milliseconds. */
const CHECK_PERIOD_MS = 3000

const otherRole: Record<RunnerRole, RunnerRole> = { [RunnerRole.Prefill]: RunnerRole.Decode, [RunnerRole.Decode]: RunnerRole.Prefill, [RunnerRole.None]: RunnerRole.None }

interface RoleRebalancerOptions {
  backends: BackendTable
  backendClient: BackendClient
  tokenIssuer: OrderTokenIssuer
  /** Id of this instance, under which it sends orders. */
  holder: string
  /** Average recent request of a service and the speeds of its runners; null before they have been measured. */
  requestMix: (service: string) => RequestMix | null
  /** Rates at which requests of a service arrive; not known by default. */
  demand?: (service: string) => Demand | null
  /** Time that a runner of a service needs to change its role, in milliseconds. */
  roleChangeMs?: (service: string) => number
  /** Requests per second that a runner accepts; no limit by default. */
  limitPerS?: (backend: BackendServer) => number
  /** Total tokens of the runs on a runner; the least loaded runner changes its role. */
  load: (backend: BackendServer) => number
  /** Whether the runner has turned this instance away for a time. */
  isPaused?: (backend: BackendServer) => boolean
  log: Log
  nowMs: () => number
}

interface ObservedRunners {
  /** Incarnations and roles of a service's runners, joined to one string for comparison. */
  key: string
  /** When this set of runners was first seen. */
  sinceMs: number
  /** When the last role change was attempted, or `sinceMs` if none was. */
  decidedMs: number
}

/** Orders runners to change between the prefill and decode roles as the request mix requires. Only the coordinator of a service sends orders. */
export class RoleRebalancer {
  readonly #options: RoleRebalancerOptions
  readonly #observed = new Map<string, ObservedRunners>()
  /** Runners that have been ordered to change their role, until the server list shows the new role or `untilMs` has passed. */
  readonly #changing = new Map<string, { role: RunnerRole, untilMs: number }>()
  /** Last order of this instance by service, with the number of runners that the service had. */
  readonly #lastOrders = new Map<string, { role: RunnerRole, orderedMs: number, runnerCount: number }>()
  /** Runners of listed orders that may still be carried out. */
  readonly #listedOrders = new Set<string>()
  /** When a runner was last asked whether it is changing its role, in milliseconds. */
  readonly #checkedMs = new Map<string, number>()
  #ordering = false

  constructor (options: RoleRebalancerOptions) {
    this.#options = options
  }

  /** Whether a runner is changing its role; such a runner should get no new work. */
  isChanging (id: string): boolean {
    this.#dropSettledChanges()
    return this.#changing.has(id)
  }

  /** Records another instance's order to a runner, so that the runner gets no new work until the server list shows its new role, even if this instance becomes the coordinator. */
  recordPeerOrder (server: string): void {
    const { backends, nowMs } = this.#options
    const currentRole = backends.get(server)?.stage
    if (currentRole === undefined) return
    this.#changing.set(server, { role: otherRole[currentRole], untilMs: nowMs() + ORDER_TIMEOUT_MS })
  }

  /** Records the runner of an order that a listing of the store shows; it is asked whether it is changing its role if this instance coordinates its service. */
  recordListedOrder (server: string): void {
    this.#listedOrders.add(server)
  }

  /** Asks a runner that has failed a request, or that a listed order is for, whether it is changing its role by an order that this instance does not know, for instance one from before its restart. */
  async checkRunner (server: string): Promise<void> {
    const { backends, backendClient, nowMs, log, isPaused = () => false } = this.#options
    const backend = backends.get(server)
    const currentMs = nowMs()
    if (backend === undefined || backend.stage === RunnerRole.None || !backends.accepts(backend) || isPaused(backend) || this.isChanging(server)) return
    if (currentMs - (this.#checkedMs.get(server) ?? -Infinity) < CHECK_PERIOD_MS) return
    this.#checkedMs.set(server, currentMs)
    const state = await backendClient.readRunnerState(backend)
    if (state === null || !state.orderInProgress || this.#changing.has(server)) return
    this.#changing.set(server, { role: otherRole[backend.stage], untilMs: currentMs + ORDER_TIMEOUT_MS })
    log.info('role.change-found', { server, service: backend.service, stage: backend.stage })
  }

  /** Orders at most one role change for a service that this instance coordinates. */
  async rebalance (service: string): Promise<void> {
    const { nowMs, backends } = this.#options
    for (const server of this.#listedOrders) {
      if (backends.get(server)?.service !== service) continue
      this.#listedOrders.delete(server)
      await this.checkRunner(server)
    }
    const runners = backends.all().filter((backend) => backend.service === service && backend.stage !== RunnerRole.None && backends.accepts(backend))
    this.#dropSettledChanges()
    if (this.#ordering || this.#changing.size > 0 || !this.#isSteady(service, runners)) return
    if (!this.#options.tokenIssuer.mayAcquire(service)) return
    const mix = this.#options.requestMix(service)
    const change = this.#nextChange(service, runners, mix)
    if (change === null) return
    this.#ordering = true
    try {
      await this.#orderRoleChange(service, runners.length, change, mix)
    } finally {
      this.#ordering = false
      const observed = this.#observed.get(service)
      if (observed !== undefined) observed.decidedMs = nowMs()
    }
  }

  #nextChange (service: string, runners: BackendServer[], mix: RequestMix | null): RoleChange | null {
    const { load, demand, roleChangeMs, limitPerS } = this.#options
    if (mix === null) return restoringRoleChange(runners, load)
    const changeMs = (roleChangeMs?.(service) ?? 0) + mix.outputTokens * mix.msPerToken
    const options = { runners, mix, load, demand: demand?.(service) ?? null, changeMs, ...(limitPerS === undefined ? {} : { limitPerS }) }
    const change = bestRoleChange(options)
    return change !== null && this.#reversesLastOrder(service, change, runners.length) ? bestRoleChange({ ...options, minGain: MIN_REVERSAL_GAIN }) : change
  }

  /** Whether the change would undo a recent order of this instance although the service has lost or got no runner since. */
  #reversesLastOrder (service: string, { role }: RoleChange, runnerCount: number): boolean {
    const last = this.#lastOrders.get(service)
    return last !== undefined && last.role !== role && last.runnerCount === runnerCount && this.#options.nowMs() - last.orderedMs < REVERSAL_MS
  }

  async #orderRoleChange (service: string, runnerCount: number, { backend, role }: RoleChange, mix: RequestMix | null): Promise<void> {
    const { backends, tokenIssuer, backendClient, holder, log, nowMs, isPaused = () => false } = this.#options
    if (isPaused(backend)) return
    const state = await backendClient.readRunnerState(backend)
    if (state === null || state.orderInProgress) return
    const fencingToken = await tokenIssuer.acquire(service, backend.id)
    if (fencingToken === null) return
    this.#changing.set(backend.id, { role, untilMs: nowMs() + ORDER_TIMEOUT_MS })
    this.#lastOrders.set(service, { role, orderedMs: nowMs(), runnerCount })
    const outcome = await backendClient.sendOrder({ backend, role, holder, fencingToken, expectedOrdersAccepted: state.ordersAccepted, maySend: () => backends.accepts(backend) && !isPaused(backend) })
    log.info('role.ordered', {
      server: backend.id,
      service,
      from: backend.stage,
      to: role,
      fencingNumber: fencingToken,
      outcome,
      promptTokens: mix === null ? 'unknown' : Math.round(mix.promptTokens),
      outputTokens: mix === null ? 'unknown' : Math.round(mix.outputTokens),
      prefillTokensPerMs: mix === null ? 'unknown' : Math.round(mix.prefillTokensPerMs),
      msPerToken: mix === null ? 'unknown' : Math.round(mix.msPerToken * 100) / 100
    })
    if (outcome === 'refused') this.#changing.delete(backend.id)
    if (outcome === 'unknown') this.#changing.set(backend.id, { role, untilMs: nowMs() + UNKNOWN_ORDER_RETRY_MS })
  }

  /** Drops role changes that the server list shows, whose `untilMs` has passed, or whose runner has been removed. */
  #dropSettledChanges (): void {
    const { backends, nowMs } = this.#options
    for (const [id, { role, untilMs }] of this.#changing) {
      const backend = backends.get(id)
      if (backend === undefined || backend.stage === role || nowMs() > untilMs) this.#changing.delete(id)
    }
  }

  /** Whether the runners of a service have been unchanged for long enough and the last decision is not too recent. */
  #isSteady (service: string, runners: BackendServer[]): boolean {
    const nowMs = this.#options.nowMs()
    const key = runners.map((backend) => `${incarnationOf(backend)} ${backend.stage}`).toSorted().join()
    const observed = this.#observed.get(service)
    if (observed === undefined || observed.key !== key) {
      this.#observed.set(service, { key, sinceMs: nowMs, decidedMs: nowMs })
      return false
    }
    return nowMs - observed.sinceMs >= STEADY_MS && nowMs - observed.decidedMs >= DECISION_PERIOD_MS
  }
}
