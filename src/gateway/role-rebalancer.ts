import type { Log } from '../logs/log.js'
import { type BackendServer, incarnationOf, RunnerRole } from './backend.js'
import type { BackendClient } from './backend-client.js'
import type { BackendTable } from './backend-table.js'
import type { OrderTokenIssuer } from './order-token-issuer.js'
import { bestRoleChange, type RequestMix } from './role-balance.js'

/** The set of runners must be unchanged for this long before one is given another role, in milliseconds: a crashed runner is often back sooner. */
const STEADY_MS = 3000

/** Time between decisions on a service, in milliseconds. */
const DECIDE_EACH_MS = 1000

/** An order whose effect the list does not show is taken for failed after this time, in milliseconds: running work ends first, then the runner needs some seconds. */
const ORDER_LIFETIME_MS = 25000

/** An order without an answer may be carried out or not; the runner is left alone for this long, in milliseconds, then asked again. */
const UNKNOWN_ORDER_MS = 4000

const otherStage: Record<RunnerRole, RunnerRole> = { [RunnerRole.Prefill]: RunnerRole.Decode, [RunnerRole.Decode]: RunnerRole.Prefill, [RunnerRole.None]: RunnerRole.None }

interface RoleRebalancerOptions {
  backends: BackendTable
  backendClient: BackendClient
  authority: OrderTokenIssuer
  holder: string
  /** What requests ask of the service's runners; null while too few are known. */
  mix: (service: string) => RequestMix | null
  load: (backend: BackendServer) => number
  log: Log
  nowMs: () => number
}

interface Watched {
  runners: string
  sinceMs: number
  decidedMs: number
}

/** Gives runners another role where the balance of prompts and answers asks for it. Only the keeper of a service uses it. */
export class RoleRebalancer {
  readonly #options: RoleRebalancerOptions
  readonly #watched = new Map<string, Watched>()
  /** Runners that are changing their role, until the list shows it or the time is over. */
  readonly #changing = new Map<string, { stage: RunnerRole, untilMs: number }>()
  #busy = false

  constructor (options: RoleRebalancerOptions) {
    this.#options = options
  }

  /** Whether a runner is changing its role and should get no new work. */
  isChanging (id: string): boolean {
    this.#settle()
    return this.#changing.has(id)
  }

  /** Another instance has ordered a runner to change its role: it gets no new work until the list shows it, also if this instance becomes the keeper. */
  noteForeignOrder (server: string): void {
    const { backends, nowMs } = this.#options
    const stage = backends.get(server)?.stage
    if (stage === undefined) return
    this.#changing.set(server, { stage: otherStage[stage], untilMs: nowMs() + ORDER_LIFETIME_MS })
  }

  /** Looks at a service that this instance keeps. */
  async rebalance (service: string): Promise<void> {
    const { nowMs, backends } = this.#options
    const runners = backends.all().filter((backend) => backend.service === service && backend.stage !== RunnerRole.None && backends.accepts(backend))
    this.#settle()
    if (this.#busy || this.#changing.size > 0 || !this.#isSteady(service, runners)) return
    const mix = this.#options.mix(service)
    if (mix === null || !this.#options.authority.mayAcquire(service)) return
    const change = bestRoleChange(runners, mix, this.#options.load)
    if (change === null) return
    this.#busy = true
    try {
      await this.#order(service, change.backend, change.role, mix)
    } finally {
      this.#busy = false
      const watched = this.#watched.get(service)
      if (watched !== undefined) watched.decidedMs = nowMs()
    }
  }

  async #order (service: string, backend: BackendServer, stage: RunnerRole.Prefill | RunnerRole.Decode, mix: RequestMix): Promise<void> {
    const { authority, backendClient: calls, holder, log, nowMs } = this.#options
    const report = await calls.readRunnerState(backend)
    if (report === null || report.orderInProgress) return
    const fencingNumber = await authority.acquire(service, backend.id)
    if (fencingNumber === null) return
    this.#changing.set(backend.id, { stage, untilMs: nowMs() + ORDER_LIFETIME_MS })
    const outcome = await calls.sendOrder({ backend, role: stage, holder, fencingToken: fencingNumber, ordersBefore: report.ordersAccepted })
    log.info('role.ordered', {
      server: backend.id,
      service,
      from: backend.stage,
      to: stage,
      fencingNumber,
      outcome,
      promptTokens: Math.round(mix.promptTokens),
      outputTokens: Math.round(mix.outputTokens),
      prefillTokensPerMs: Math.round(mix.prefillTokensPerMs),
      msPerToken: Math.round(mix.msPerToken * 100) / 100
    })
    if (outcome === 'refused') this.#changing.delete(backend.id)
    if (outcome === 'unknown') this.#changing.set(backend.id, { stage, untilMs: nowMs() + UNKNOWN_ORDER_MS })
  }

  /** Notes orders that have been carried out, or whose runner is gone. */
  #settle (): void {
    const { backends, nowMs } = this.#options
    for (const [id, { stage, untilMs }] of this.#changing) {
      const backend = backends.get(id)
      if (backend === undefined || backend.stage === stage || nowMs() > untilMs) this.#changing.delete(id)
    }
  }

  #isSteady (service: string, runners: BackendServer[]): boolean {
    const nowMs = this.#options.nowMs()
    const key = runners.map((backend) => `${incarnationOf(backend)} ${backend.stage}`).toSorted().join()
    const watched = this.#watched.get(service)
    if (watched === undefined || watched.runners !== key) {
      this.#watched.set(service, { runners: key, sinceMs: nowMs, decidedMs: nowMs })
      return false
    }
    return nowMs - watched.sinceMs >= STEADY_MS && nowMs - watched.decidedMs >= DECIDE_EACH_MS
  }
}
