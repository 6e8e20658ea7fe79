import { Backlog, type ServiceLoad, shortestLateWaitMs, shortestWaitMs } from './backlog.js'
import { type BackendServer, incarnationOf, RunnerRole } from './backend.js'
import type { BackendTable } from './backend-table.js'
import type { EngineConfiguration } from './configuration.js'
import type { DecisionRecord } from './decision-record.js'
import { FairShares, type ShareOfRequest } from './fair-shares.js'
import type { RunMemory } from './memory-forecast.js'
import { expectedRemaining, remainingSpread } from './output-length.js'
import { type DecisionCallback, type Placement, PlacementRefusal, type PlacementRequest, type RefusedPlacement, type RunProgress } from './placement.js'
import { RefusedPrompts } from './refused-prompts.js'
import { RequestAverages } from './request-averages.js'
import { type Demand, poolCapacity, type RequestMix, runsOnFullRunner } from './role-balance.js'
import { type Run, RunTable } from './run-table.js'
import { RunnerSpeeds } from './runner-speeds.js'
import { PairShortage, type RunnerFilter, RunnerPool } from './runner-pool.js'
import { compareClaims, type WaitingClaim } from './service-order.js'

/** Share of a decode runner's memory that forecast usage may fill; the rest absorbs runs longer than expected. */
export const MEMORY_FILL_SHARE = 0.97

/** Share of a scheduler's memory limit up to which requests that are already late are placed; the rest is kept for requests that can still be on time. */
const LATE_FILL_SHARE = 0.9

/** Longest backlog of a prefill runner that may get another prompt, in milliseconds; keeps the runner busy while leaving the order of requests to the scheduler. */
const PREFILL_BACKLOG_MS = 120

/** Minimum time between two scheduling passes caused by a release, the end of a prefill or a request behind waiting ones, in milliseconds; during a burst, a pass after each of them would cost too much processor time. */
const PASS_SPACING_MS = 10

/** Speed below which a decode runner counts as slow in metrics, compared with the usual one. */
const SLOW_SPEED = 0.8

/** Time after the expected end of a prefill from which its runner counts as slowed down, as a multiple of its expected duration: a runner may answer some time after it has begun the next prompt. */
const PREFILL_OVERDUE_FACTOR = 3

/** Time from placement to the first event, not counting the prefill, in milliseconds: two network hops, the transfer of the prompt's KV cache and the decoding of the first event's tokens. */
const FIRST_EVENT_MS = 120

/** Time for which a runner that failed a request is avoided, in milliseconds. */
const FAILED_RUNNER_BACKOFF_MS = 1500

const MS_PER_SECOND = 1000

/** Speed assumed of a decode runner that processes prompts, in tokens per millisecond, to tell whether a request can be on time. */
const DECODE_PREFILL_TOKENS_PER_MS = 25

type Shortage = PlacementRefusal.NoMemory | PlacementRefusal.PrefillBusy | PlacementRefusal.RateLimited

interface WaitingRequest {
  request: PlacementRequest
  onDecision: DecisionCallback
  arrivedMs: number
  /** Arrival of the caller's first attempt; earlier than `arrivedMs` if an earlier attempt was refused. */
  firstRequestedMs: number
  /** Time by which the first event should be sent, in milliseconds. */
  objectiveMs: number
  /** Time at which the request is refused if it still waits, in milliseconds. */
  expiresMs: number
  /** By id of a runner, until when the requesting instance may not use it, in milliseconds. */
  pausedUntilMs: Map<string, number>
}

/** Permits for sends to runners that limit their requests. */
export interface RunnerPermits {
  isAvailable: (backend: BackendServer) => boolean
  tryTake: (backend: BackendServer) => boolean
  /** Time until a permit is available, in milliseconds. */
  waitMs: (backend: BackendServer) => number
  /** Permits per second; Infinity without a limit. */
  ratePerS: (backend: BackendServer) => number
}

interface PlacementSchedulerOptions {
  nowMs: () => number
  backends: BackendTable
  /** Engine configuration of a service; null if it has none. */
  engine: (service: string) => EngineConfiguration | null
  /** Whether a runner is changing its role. */
  isChangingRole?: (id: string) => boolean
  /** Share of each decode runner's memory that this scheduler may fill; `MEMORY_FILL_SHARE` by default. */
  memoryFillShare?: () => number
  /** Whether other instances may place requests on the same runners without knowing of each other: then equal runners are taken in random order. */
  placesBlindly?: () => boolean
  random?: () => number
  /** Permits for runners that limit their requests; without it, no runner has a limit. */
  permits?: RunnerPermits
  /** Called when a request has to wait for a placement. */
  onWaiting?: () => void
  /** Called with each decision on a request that had to wait, and with each refusal. */
  onDecision?: (record: DecisionRecord) => void
  /** Called when a runner has failed a request. */
  onRunnerFailure?: (server: string) => void
}

/**
 * Decides which runners serve each model request.
 * It forecasts the memory of each decode runner and starts a prefill only when a decode runner has memory for the whole run.
 */
export class PlacementScheduler {
  readonly #options: PlacementSchedulerOptions
  readonly #runs: RunTable
  readonly #waiting = new Map<string, WaitingRequest>()
  readonly #refusedPrompts: RefusedPrompts
  readonly #speeds: RunnerSpeeds
  readonly #shares: FairShares
  readonly #requests: RequestAverages
  readonly #backlog: Backlog
  readonly #backoffUntilMs = new Map<string, number>()
  /** By prefill runner, when its last prefill ended, in milliseconds. */
  readonly #prefillEndsMs = new Map<string, number>()
  /** By service, the resource that was missing for the first waiting request when a scheduling pass last stopped at it. */
  readonly #shortages = new Map<string, Shortage>()
  #warmUpUntilMs = -Infinity
  #lastPassMs = -Infinity

  constructor (options: PlacementSchedulerOptions) {
    this.#options = options
    this.#runs = new RunTable(options)
    const { nowMs } = options
    this.#speeds = new RunnerSpeeds({ nowMs })
    this.#shares = new FairShares({ nowMs })
    this.#refusedPrompts = new RefusedPrompts({ nowMs })
    this.#requests = new RequestAverages({ nowMs })
    this.#backlog = new Backlog({ nowMs, ...(options.random === undefined ? {} : { random: options.random }) })
  }

  get waitingCount (): number {
    return this.#waiting.size
  }

  get runCount (): number {
    return this.#runs.size
  }

  /** Places nothing for this period, so that the instances can first report the runs that an earlier coordinator placed. */
  warmUpFor (periodMs: number): void {
    this.#warmUpUntilMs = this.#options.nowMs() + periodMs
  }

  /** Queues a request; `onDecision` is called at once, or later when runners can take the request, its `patienceMs` have passed or its service has no decode runner. Returns whether the request waits. */
  submit (request: PlacementRequest, onDecision: DecisionCallback): boolean {
    const nowMs = this.#options.nowMs()
    const refusal = this.#immediateRefusal(request)
    if (refusal !== null) {
      onDecision(refusal)
      return false
    }
    const { id, service, promptId } = request
    this.#requests.recordArrival(service, { promptTokens: request.promptTokens, outputTokens: expectedRemaining(request.output, 0) })
    const refusedSinceMs = this.#refusedPrompts.firstRequestedMs(promptId)
    if (refusedSinceMs === null) this.#shares.recordDemand(shareOf(request))
    const firstRequestedMs = refusedSinceMs ?? nowMs
    this.#waiting.set(id, { request, onDecision, arrivedMs: nowMs, firstRequestedMs, objectiveMs: firstRequestedMs + request.objectiveLeftMs, expiresMs: nowMs + request.patienceMs, pausedUntilMs: new Map(request.pauses.map(({ server, leftMs }) => [server, nowMs + leftMs])) })
    // Behind a request that found no room a moment ago, it would find none either.
    if (this.#shortages.has(service)) this.#placeIfDue()
    else this.placeWaiting()
    const waiting = this.#waiting.get(id)
    if (waiting === undefined) return false
    if (this.#exceedsLimits(request)) {
      this.#refuseWaiting(waiting, PlacementRefusal.RateLimited)
      return false
    }
    this.#options.onWaiting?.()
    return true
  }

  /** The placement of a request's run; null if it has none. */
  placementOf (id: string): Placement | null {
    return this.#runs.placementOf(id)
  }

  isWaiting (id: string): boolean {
    return this.#waiting.has(id)
  }

  /** Removes a waiting request without a decision, or a run; unknown ids are ignored. */
  release (id: string): void {
    this.#waiting.delete(id)
    if (this.#runs.delete(id)) this.#placeIfDue()
  }

  /** Records that a run's prefill has ended, which frees the prefill runner for its next prompt. `tokensPerMs` is null if the prefill gave no rate; its value is not used, as the rate is computed from the prefill's estimated start. */
  recordPrefillDone (id: string, tokensPerMs: number | null): void {
    const run = this.#runs.get(id)
    if (run === undefined || run.prefill === null) return
    const { service, prefill } = run
    if (tokensPerMs !== null) this.#measurePrefill(run, prefill)
    this.#runs.endPrefill(run)
    this.#updatePrefillStarts(service, prefill)
    this.#placeIfDue()
  }

  /** Avoids a runner for a while after it has failed a request. */
  recordRunnerFailure (server: string): void {
    this.#backoffUntilMs.set(server, this.#options.nowMs() + FAILED_RUNNER_BACKOFF_MS)
    this.#options.onRunnerFailure?.(server)
  }

  /** Updates runs from progress reports and adds the runs that this scheduler has not placed itself. */
  recordProgress (reports: RunProgress[]): void {
    for (const report of reports) {
      if (this.#runs.get(report.id) === undefined) this.#requests.recordSize(report.service, { promptTokens: report.promptTokens, outputTokens: expectedRemaining(report.output, 0) })
      const progress = this.#runs.recordProgress(report)
      if (progress !== null) this.#speeds.recordDecodeStep(progress.service, progress.decode, progress)
    }
  }

  /** Drops runs without recent reports, places waiting requests, and refuses those whose `patienceMs` have passed or whose service has no decode runner. */
  tick (): void {
    const nowMs = this.#options.nowMs()
    this.#runs.expire()
    this.placeWaiting()
    const hasNoRunnerByService = new Map<string, boolean>()
    for (const waiting of this.#waiting.values()) {
      const { request: { service }, expiresMs } = waiting
      const hasNoRunner = hasNoRunnerByService.get(service) ?? !this.#hasDecodeRunner(service)
      hasNoRunnerByService.set(service, hasNoRunner)
      if (hasNoRunner || nowMs >= expiresMs) this.#refuseWaiting(waiting, hasNoRunner ? PlacementRefusal.NoRunner : this.#shortageOf(service))
    }
    if (nowMs < this.#warmUpUntilMs) return
    for (const service of hasNoRunnerByService.keys()) this.#refuseHopeless(service)
  }

  /** Places waiting requests in the order of `compareClaims`. */
  placeWaiting (): void {
    const nowMs = this.#options.nowMs()
    if (this.#waiting.size === 0 || nowMs < this.#warmUpUntilMs) return
    this.#lastPassMs = nowMs
    const byService = new Map<string, WaitingRequest[]>()
    for (const waiting of this.#waiting.values()) {
      const { service } = waiting.request
      const group = byService.get(service)
      if (group === undefined) byService.set(service, [waiting])
      else group.push(waiting)
    }
    for (const [service, waitingRequests] of byService) this.#placeWaitingOf(service, waitingRequests)
  }

  /** Runs a scheduling pass unless the last one was too recent; then the next tick runs one. */
  #placeIfDue (): void {
    if (this.#options.nowMs() - this.#lastPassMs >= PASS_SPACING_MS) this.placeWaiting()
  }

  #placeWaitingOf (service: string, waitingRequests: WaitingRequest[]): void {
    const pool = this.#poolOf(service)
    if (pool === null) return
    const nowMs = this.#options.nowMs()
    this.#shortages.delete(service)
    for (const { waiting, onTime } of this.#inOrder(service, waitingRequests, (candidate) => canBeOnTime(candidate, pool, nowMs))) {
      const { request, onDecision, pausedUntilMs } = waiting
      const run = this.#place(request, pool, onTime ? 1 : LATE_FILL_SHARE, ({ id }) => (pausedUntilMs.get(id) ?? -Infinity) <= nowMs)
      // The pass stops at the first request that does not fit, so that smaller requests behind it cannot starve it.
      if (typeof run === 'string') {
        // The runners that its instance may not use may have room for the requests of other instances.
        if ([...pausedUntilMs.values()].some((untilMs) => untilMs > nowMs)) continue
        this.#shortages.set(service, run)
        return
      }
      this.#waiting.delete(request.id)
      this.#runs.add(run)
      this.#shares.recordPlacement(shareOf(request))
      if (nowMs > waiting.arrivedMs) this.#recordDecision(waiting, onTime, 'placed')
      onDecision({ prefill: run.prefill, decode: run.decode })
    }
  }

  #inOrder (service: string, waitingRequests: WaitingRequest[], isOnTime: (waiting: WaitingRequest) => boolean): Array<WaitingClaim & { waiting: WaitingRequest }> {
    const shareUse = memoize((organisation: string) => this.#shares.useOf(service, organisation))
    const underserved = memoize((priority: number) => this.#shares.isUnderserved(service, priority))
    const claims = waitingRequests.map((waiting) => {
      const { request: { organisation, priority }, objectiveMs, firstRequestedMs } = waiting
      return { waiting, onTime: isOnTime(waiting), priority, isUnderserved: underserved(priority), shareUse: shareUse(organisation), objectiveMs, firstRequestedMs }
    })
    return claims.sort(compareClaims)
  }

  #place (request: PlacementRequest, pool: RunnerPool, fillShare: number, mayUse: RunnerFilter): Run | Shortage {
    const { id, service, promptTokens, output, failureDomain } = request
    const memoryTokens = this.#options.engine(service)?.memoryTokens ?? 0
    const memory: RunMemory = { heldTokens: promptTokens, remainingTokens: expectedRemaining(output, 0), spreadTokens: remainingSpread(output, 0) }
    const limitTokens = memoryTokens * (this.#options.memoryFillShare?.() ?? MEMORY_FILL_SHARE) * fillShare
    // Instances that place without knowing of each other would fill the runners of the domain with the most of them.
    const preferredDomain = this.#options.placesBlindly?.() === true ? null : failureDomain
    const pair = pool.choosePair({ memory, failureDomain: preferredDomain, limitTokens, maxPrefillWaitMs: PREFILL_BACKLOG_MS, mayUse })
    if (pair === PairShortage.NoMemory) return pool.hasExhaustedLimit ? PlacementRefusal.RateLimited : PlacementRefusal.NoMemory
    if (pair === PairShortage.PrefillBusy) return PlacementRefusal.PrefillBusy
    const { decode: decodeRunner, prefill: prefillRunner } = pair
    for (const runner of [decodeRunner, prefillRunner]) if (runner !== null) this.#options.permits?.tryTake(runner.backend)
    const nowMs = this.#options.nowMs()
    const prefillStartMs = pool.addPrompt(promptTokens, prefillRunner)
    return {
      id,
      service,
      decode: decodeRunner.backend.id,
      prefill: prefillRunner?.backend.id ?? null,
      placedMs: nowMs,
      prefillStartMs,
      promptTokens,
      output,
      madeTokens: 0,
      reportedMs: nowMs,
      progressedMs: null
    }
  }

  #poolOf (service: string): RunnerPool | null {
    const engine = this.#options.engine(service)
    if (engine === null) return null
    const { permits } = this.#options
    const nowMs = this.#options.nowMs()
    const prefill = this.#availableRunners(service, RunnerRole.Prefill).map((backend) => {
      const tokensPerMs = this.#speeds.expectedPrefillSpeed(service, backend.id)
      return { backend, freeAtMs: freeAtMs(this.#runs.prefillsOf(backend.id), tokensPerMs, nowMs), tokensPerMs }
    })
    const decode = this.#availableRunners(service, RunnerRole.Decode).map((backend) => ({ backend, speed: this.#speeds.decodeSpeed(backend.id), forecast: () => this.#runs.forecastOf(backend.id) }))
    if (this.#options.placesBlindly?.() === true) for (const runners of [prefill, decode]) rotate(runners, this.#options.random ?? Math.random)
    return new RunnerPool({ prefill, decode, slots: engine.slots, nowMs, ...(permits === undefined ? {} : { mayTake: (backend) => permits.isAvailable(backend) }) })
  }

  #measurePrefill ({ service, promptTokens, placedMs }: Run, runner: string): void {
    const nowMs = this.#options.nowMs()
    const previousEndMs = this.#prefillEndsMs.get(runner) ?? -Infinity
    this.#prefillEndsMs.set(runner, nowMs)
    const startMs = Math.max(placedMs, previousEndMs)
    this.#speeds.recordPrefill(service, runner, { tokensPerMs: promptTokens / Math.max(1, nowMs - startMs), queued: previousEndMs > placedMs })
  }

  /** Recomputes the estimated prefill starts of the prompts still assigned to a runner that has just finished one. */
  #updatePrefillStarts (service: string, runner: string): void {
    const tokensPerMs = this.#speeds.expectedPrefillSpeed(service, runner)
    let startMs = this.#options.nowMs()
    for (const run of this.#runs.prefillsOf(runner)) {
      run.prefillStartMs = startMs
      startMs += run.promptTokens / tokensPerMs
    }
  }

  /** Ready runners of a role, without those changing their role; avoids recently failed runners unless all ready ones have failed. */
  #availableRunners (service: string, role: RunnerRole): BackendServer[] {
    const nowMs = this.#options.nowMs()
    const ready = this.#options.backends.ready(service, role).filter(({ id }) => this.#options.isChangingRole?.(id) !== true)
    const available = ready.filter(({ id }) => (this.#backoffUntilMs.get(id) ?? 0) <= nowMs)
    return available.length > 0 ? available : ready
  }

  /** The refusal of a request whose service has no decode runner that its instance may use, or whose prompt fits in no runner's memory; null for any other. */
  #immediateRefusal (request: PlacementRequest): RefusedPlacement | null {
    const engine = this.#options.engine(request.service)
    if (engine === null || !this.#hasDecodeRunner(request.service)) return this.#refuse(PlacementRefusal.NoRunner, request)
    if (request.promptTokens >= engine.memoryTokens) return this.#refuse(PlacementRefusal.TooLarge, request)
    if (request.pauses.length === 0) return null
    const leftMsById = new Map(request.pauses.map(({ server, leftMs }) => [server, leftMs]))
    const shortestPauseMs = Math.min(...this.#options.backends.ready(request.service, RunnerRole.Decode).map(({ id }) => leftMsById.get(id) ?? 0))
    if (shortestPauseMs > 0) return { ...this.#refuse(PlacementRefusal.Paused, request), retryAfterMs: shortestPauseMs }
    return null
  }

  /** Whether a waiting request can't be placed in time because all decode runners limit their requests and too many wait already. */
  #exceedsLimits ({ service, patienceMs }: PlacementRequest): boolean {
    const { permits } = this.#options
    if (permits === undefined) return false
    const runners = this.#availableRunners(service, RunnerRole.Decode)
    const ratePerS = runners.reduce((sum, backend) => sum + permits.ratePerS(backend), 0)
    if (ratePerS === Infinity) return false
    if (ratePerS === 0) return true
    const waitingCount = [...this.#waiting.values()].filter(({ request }) => request.service === service).length
    const firstWaitMs = Math.min(...runners.map((backend) => permits.waitMs(backend)))
    return firstWaitMs + (waitingCount - 1) / ratePerS * MS_PER_SECOND > patienceMs
  }

  /**
   * Refuses the waiting requests that so many others go before that they can't be placed before their `patienceMs` have passed. Does nothing before the speeds of the runners have been measured.
   * A returning caller may have no further attempt, so its request waits on, as the load may end sooner than expected.
   */
  #refuseHopeless (service: string): void {
    const load = this.#loadOf(service)
    if (load === null) return
    const nowMs = this.#options.nowMs()
    let ahead = 0
    const waitingRequests = [...this.#waiting.values()].filter(({ request }) => request.service === service)
    const arrivalsPerS = this.#requests.currentRate(service)
    for (const { waiting, onTime } of this.#inOrder(service, waitingRequests, ({ objectiveMs }) => objectiveMs > nowMs)) {
      const waitMs = onTime ? shortestWaitMs(load, ahead) : shortestLateWaitMs(load, ahead, arrivalsPerS)
      const isReturning = waiting.firstRequestedMs < waiting.arrivedMs
      if (!isReturning && waitMs > waiting.expiresMs - nowMs) this.#refuseWaiting(waiting, this.#shortageOf(service))
      else ahead += 1
    }
  }

  /** Null before the requests and the speeds of the runners are known. */
  #loadOf (service: string): ServiceLoad | null {
    const mix = this.requestMix(service)
    if (mix === null) return null
    const capacityPerS = poolCapacity(this.#availableRunners(service, RunnerRole.Prefill).length, this.#availableRunners(service, RunnerRole.Decode).length, mix)
    return { capacityPerS, usualArrivalsPerS: this.#requests.meanRate(service) }
  }

  #hasDecodeRunner (service: string): boolean {
    return this.#options.backends.ready(service, RunnerRole.Decode).length > 0
  }

  #shortageOf (service: string): Shortage {
    return this.#shortages.get(service) ?? PlacementRefusal.NoMemory
  }

  #refuseWaiting (waiting: WaitingRequest, refusal: PlacementRefusal): void {
    const { request, onDecision, firstRequestedMs, objectiveMs } = waiting
    this.#waiting.delete(request.id)
    this.#recordDecision(waiting, objectiveMs > this.#options.nowMs(), refusal)
    this.#refusedPrompts.add(request.promptId, firstRequestedMs)
    onDecision(this.#refuse(refusal, request))
  }

  #recordDecision ({ request, arrivedMs, firstRequestedMs }: WaitingRequest, onTime: boolean, outcome: DecisionRecord['outcome']): void {
    const { id, service, organisation, priority } = request
    this.#options.onDecision?.({
      request: id,
      service,
      organisation,
      priority,
      onTime,
      returning: firstRequestedMs < arrivedMs,
      underserved: this.#shares.isUnderserved(service, priority),
      shareUse: this.#shares.useOf(service, organisation),
      waitedMs: Math.round(this.#options.nowMs() - arrivedMs),
      outcome,
      waiting: this.#waiting.size,
      runs: this.#runs.size
    })
  }

  /** Number of decode runners that are clearly slower than usual for their service. */
  get slowRunnerCount (): number {
    return this.#options.backends.all().filter(({ id, stage }) => stage === RunnerRole.Decode && this.#speeds.decodeSpeed(id) < SLOW_SPEED).length
  }

  #refuse (refusal: PlacementRefusal, { service, longestReturnMs }: PlacementRequest): RefusedPlacement {
    return { refusal, retryAfterMs: this.#backlog.returnAfterMs(service, this.#loadOf(service), this.#waiting.size, longestReturnMs), waiting: this.#waiting.size, runs: this.#runs.size }
  }

  /** Average request of a service and the measured speeds of its runners; null before enough of either is known, or without an engine configuration. */
  requestMix (service: string): RequestMix | null {
    const engine = this.#options.engine(service)
    const average = this.#requests.average(service)
    if (engine === null || average === null) return null
    const memory = { memoryTokens: engine.memoryTokens * MEMORY_FILL_SHARE, slots: engine.slots, ...average }
    const prefillTokensPerMs = this.#speeds.prefillSpeed(service)
    const msPerToken = this.#speeds.msPerToken(service, runsOnFullRunner(memory))
    return prefillTokensPerMs === null || msPerToken === null ? null : { ...memory, prefillTokensPerMs, msPerToken }
  }

  demand (service: string): Demand {
    return { currentPerS: this.#requests.currentRate(service), peakPerS: this.#requests.peakRate(service) }
  }

  /** Total tokens of the runs that a runner decodes or prefills. */
  load ({ id }: BackendServer): number {
    return this.#runs.tokensOn(id)
  }

  /** Evicts the speeds and failures of runners that are not in the given list. */
  retain (backends: BackendServer[]): void {
    const ids = new Set(backends.map(({ id }) => id))
    this.#speeds.retain(ids)
    for (const table of [this.#backoffUntilMs, this.#prefillEndsMs]) {
      for (const id of table.keys()) if (!ids.has(id)) table.delete(id)
    }
  }

  /** Drops the runs that decode on a runner that was removed or restarted; a run that it was prefilling loses its prefill runner. */
  removeRunner ({ id }: BackendServer): void {
    this.#runs.removeRunner(id)
    this.placeWaiting()
  }

  dump (): unknown {
    return {
      waiting: [...this.#waiting.values()].map(({ request, arrivedMs }) => ({ id: request.id, arrivedMs })),
      runs: this.#runs.dump(),
      backends: this.#options.backends.all().map(incarnationOf)
    }
  }
}

/** Moves a random number of runners to the end. */
function rotate (runners: unknown[], random: () => number): void {
  runners.push(...runners.splice(0, Math.floor(random() * runners.length)))
}

/** Whether the first event can be sent before the objective if the request is placed now. */
function canBeOnTime ({ request, objectiveMs }: WaitingRequest, pool: RunnerPool, nowMs: number): boolean {
  const promptMs = pool.prefillTimeMs(request.promptTokens) ?? request.promptTokens / DECODE_PREFILL_TOKENS_PER_MS
  return objectiveMs - nowMs > promptMs + FIRST_EVENT_MS
}

/** Time at which a prefill runner is expected to have processed its prompts, in milliseconds. One that is overdue is expected to take as long again as it is overdue, so that a runner that slows down for a moment does not count as free. */
function freeAtMs (prefills: Run[], tokensPerMs: number, nowMs: number): number {
  const lastEndMs = Math.max(nowMs, ...prefills.map((run) => run.prefillStartMs + run.promptTokens / tokensPerMs))
  const [first] = prefills
  if (first === undefined) return lastEndMs
  const expectedMs = first.promptTokens / tokensPerMs
  const overdueMs = nowMs - first.prefillStartMs - expectedMs
  return overdueMs > PREFILL_OVERDUE_FACTOR * expectedMs ? lastEndMs + overdueMs : lastEndMs
}

function shareOf ({ service, organisation, priority, promptTokens, output }: PlacementRequest): ShareOfRequest {
  return { service, organisation, priority, tokens: promptTokens + expectedRemaining(output, 0) }
}

function memoize<K, V> (compute: (key: K) => V): (key: K) => V {
  const values = new Map<K, V>()
  return (key) => {
    if (!values.has(key)) values.set(key, compute(key))
    return values.get(key) as V
  }
}
