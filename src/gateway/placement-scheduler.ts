import { type BackendServer, incarnationOf, RunnerRole } from './backend.js'
import type { BackendTable } from './backend-table.js'
import type { EngineConfiguration } from './configuration.js'
import type { RunMemory } from './memory-forecast.js'
import { expectedRemaining, type OutputLength } from './output-length.js'
import { type DecisionCallback, type Placement, PlacementRefusal, type PlacementRequest, type RefusedPlacement, type RunProgress } from './placement.js'
import { RefusedPrompts } from './refused-prompts.js'
import type { RequestMix } from './role-balance.js'
import { type RunnerFilter, RunnerPool } from './runner-pool.js'

/** Share of a decode runner's memory that forecast usage may fill; the rest absorbs runs longer than expected. */
export const MEMORY_FILL_SHARE = 0.97

/** Share of a scheduler's memory limit up to which requests that are already late are placed; the rest is kept for requests that can still be on time. */
const LATE_FILL_SHARE = 0.9

/** Longest backlog of a prefill runner that may get another prompt, in milliseconds; keeps the runner busy while leaving the order of requests to the scheduler. */
const PREFILL_BACKLOG_MS = 120

/** Prefill speed assumed of a runner before its first measured prefill, in prompt tokens per millisecond. */
const INITIAL_PREFILL_TOKENS_PER_MS = 50

/** Factor by which one measured prefill raises or lowers the estimated rate; all measurements change it by the same factor, because cached or delayed prompts give rates far from the real one. */
const PREFILL_RATE_STEP = 1.04

/** Speed at which a decode runner processes prompts, as a share of a prefill runner's speed. */
const DECODE_PREFILL_SPEED_SHARE = 0.5

/** Weight of a new request in the moving averages of prompt and output tokens. */
const MIX_WEIGHT = 0.05

/** Minimum number of received requests for which a service's averages are used instead of the expected request. */
const MIN_MIX_REQUESTS = 20

/** Decode time per token assumed before progress reports have shown it, in milliseconds. */
const INITIAL_MS_PER_TOKEN = 0.75

/** Factor by which one progress report raises or lowers the estimated decode time per token; small, so that a stalled runner's reports don't distort the estimate. */
const TOKEN_TIME_STEP = 1.002

/** Minimum time between two reports of a run for the time per token to be computed from them, in milliseconds. */
const MIN_REPORT_SPAN_MS = 100

/** Time without a progress report after which a run is taken to have ended, in milliseconds; covers several report periods. */
const REPORT_LIFETIME_MS = 2500

/** Minimum time between two scheduling passes caused by a release or the end of a prefill, in milliseconds; during a burst, a pass after each of them would cost too much processor time. */
const PASS_SPACING_MS = 10

/** Time from placement to the first event, not counting the prefill, in milliseconds: two network hops, the transfer of the prompt's KV cache and the decoding of the first event's tokens. */
const FIRST_EVENT_MS = 120

/** Time for which a runner that failed a request is avoided, in milliseconds. */
const FAILED_RUNNER_BACKOFF_MS = 1500

/** Retry delay sent with a refusal, in milliseconds; runs take about four seconds, so half of the memory is free again by then. */
const RETRY_AFTER_MS = 2000

/** Added to the rank of late requests, in milliseconds; exceeds every timestamp, so late requests sort after all others. */
const LATE_RANK_OFFSET_MS = 2 ** 50

const MS_PER_SECOND = 1000

type Shortage = PlacementRefusal.NoMemory | PlacementRefusal.PrefillBusy | PlacementRefusal.RateLimited

interface Run {
  service: string
  /** Id of the decode runner. */
  decode: string
  /** Id of the prefill runner until the prefill has ended, then null; also null if the decode runner processes the prompt. */
  prefill: string | null
  /** Estimated start of this prompt's prefill, in milliseconds. */
  prefillStartMs: number
  promptTokens: number
  output: OutputLength
  /** Output tokens produced by the last progress report. */
  madeTokens: number
  /** Time of the placement or the last progress report, in milliseconds. */
  reportedMs: number
}

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
  /** Average request assumed of a service until enough requests have been received. */
  expectedRequest: { promptTokens: number, outputTokens: number }
  /** Whether a runner is changing its role. */
  isChangingRole?: (id: string) => boolean
  /** Share of each decode runner's memory that this scheduler may fill; `MEMORY_FILL_SHARE` by default. */
  memoryFillShare?: () => number
  /** Permits for runners that limit their requests; without it, no runner has a limit. */
  permits?: RunnerPermits
  /** Called when a request has to wait for a placement. */
  onWaiting?: () => void
}

/**
 * Decides which runners serve each model request.
 * It forecasts the memory of each decode runner and starts a prefill only when a decode runner has memory for the whole run.
 */
export class PlacementScheduler {
  readonly #options: PlacementSchedulerOptions
  readonly #runs = new Map<string, Run>()
  readonly #waiting = new Map<string, WaitingRequest>()
  readonly #refusedPrompts: RefusedPrompts
  readonly #prefillRates = new Map<string, number>()
  readonly #backoffUntilMs = new Map<string, number>()
  readonly #requestAverages = new Map<string, { requests: number, promptTokens: number, outputTokens: number, msPerToken: number }>()
  /** By service, the resource that was missing for the first waiting request when a scheduling pass last stopped at it. */
  readonly #shortages = new Map<string, Shortage>()
  #warmUpUntilMs = -Infinity
  #lastPassMs = -Infinity

  constructor (options: PlacementSchedulerOptions) {
    this.#options = options
    this.#refusedPrompts = new RefusedPrompts({ nowMs: options.nowMs })
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
    this.#recordRequest(request)
    const firstRequestedMs = this.#refusedPrompts.firstRequestedMs(request.promptId) ?? nowMs
    this.#waiting.set(request.id, { request, onDecision, arrivedMs: nowMs, firstRequestedMs, objectiveMs: firstRequestedMs + request.objectiveLeftMs, expiresMs: nowMs + request.patienceMs, pausedUntilMs: new Map(request.pauses.map(({ server, leftMs }) => [server, nowMs + leftMs])) })
    this.placeWaiting()
    if (this.#waiting.has(request.id) && this.#exceedsLimits(request)) {
      this.#waiting.delete(request.id)
      this.#refusedPrompts.add(request.promptId, firstRequestedMs)
      onDecision(this.#refuse(PlacementRefusal.RateLimited))
      return false
    }
    const waits = this.#waiting.has(request.id)
    if (waits) this.#options.onWaiting?.()
    return waits
  }

  /** The placement of a request's run; null if it has none. */
  placementOf (id: string): Placement | null {
    const run = this.#runs.get(id)
    return run === undefined ? null : { prefill: run.prefill, decode: run.decode }
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
    if (tokensPerMs !== null) {
      const rate = this.#prefillRate(run.prefill)
      const measuredRate = run.promptTokens / Math.max(1, this.#options.nowMs() - run.prefillStartMs)
      this.#prefillRates.set(run.prefill, measuredRate > rate ? rate * PREFILL_RATE_STEP : rate / PREFILL_RATE_STEP)
    }
    const runnerId = run.prefill
    run.prefill = null
    this.#updatePrefillStarts(runnerId)
    this.#placeIfDue()
  }

  /** Avoids a runner for a while after it has failed a request. */
  recordRunnerFailure (server: string): void {
    this.#backoffUntilMs.set(server, this.#options.nowMs() + FAILED_RUNNER_BACKOFF_MS)
  }

  /** Updates runs from progress reports and adds the runs that this scheduler has not placed itself. */
  recordProgress (reports: RunProgress[]): void {
    const reportedMs = this.#options.nowMs()
    for (const { id, ...report } of reports) {
      const run = this.#runs.get(id)
      if (run === undefined) this.#runs.set(id, { ...report, prefill: null, prefillStartMs: 0, reportedMs })
      else {
        this.#updateTokenTime(run, report.madeTokens, reportedMs)
        Object.assign(run, { madeTokens: report.madeTokens, reportedMs })
      }
    }
  }

  /** Drops runs without recent reports, places waiting requests, and refuses those whose `patienceMs` have passed or whose service has no decode runner. */
  tick (): void {
    const nowMs = this.#options.nowMs()
    for (const [id, run] of this.#runs) if (nowMs - run.reportedMs > REPORT_LIFETIME_MS) this.#runs.delete(id)
    this.placeWaiting()
    const hasNoRunnerByService = new Map<string, boolean>()
    for (const [id, { request: { service, promptId }, onDecision, expiresMs, firstRequestedMs }] of this.#waiting) {
      const hasNoRunner = hasNoRunnerByService.get(service) ?? !this.#hasDecodeRunner(service)
      hasNoRunnerByService.set(service, hasNoRunner)
      if (!hasNoRunner && nowMs < expiresMs) continue
      this.#waiting.delete(id)
      this.#refusedPrompts.add(promptId, firstRequestedMs)
      onDecision(this.#refuse(hasNoRunner ? PlacementRefusal.NoRunner : this.#shortages.get(service) ?? PlacementRefusal.NoMemory))
    }
  }

  /** Places waiting requests: first those that can still be on time, by their objective, then late ones, by their arrival. */
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

  /** Runs a scheduling pass after a release or the end of a prefill; if the last pass was too recent, the next tick runs one. */
  #placeIfDue (): void {
    if (this.#options.nowMs() - this.#lastPassMs >= PASS_SPACING_MS) this.placeWaiting()
  }

  #placeWaitingOf (service: string, waitingRequests: WaitingRequest[]): void {
    const pool = this.#poolOf(service)
    if (pool === null) return
    const nowMs = this.#options.nowMs()
    const candidates = waitingRequests.map((waiting) => ({ waiting, onTime: canBeOnTime(waiting, pool, nowMs) }))
    for (const { waiting: { request, onDecision, pausedUntilMs }, onTime } of candidates.sort((a, b) => rankMs(a) - rankMs(b))) {
      const run = this.#place(request, pool, onTime ? 1 : LATE_FILL_SHARE, ({ id }) => (pausedUntilMs.get(id) ?? -Infinity) <= nowMs)
      // The pass stops at the first request that does not fit, so that smaller requests behind it cannot starve it.
      if (typeof run === 'string') {
        // The runners that its instance may not use may have room for the requests of other instances.
        if ([...pausedUntilMs.values()].some((untilMs) => untilMs > nowMs)) continue
        this.#shortages.set(service, run)
        return
      }
      this.#waiting.delete(request.id)
      this.#runs.set(request.id, run)
      onDecision({ prefill: run.prefill, decode: run.decode })
    }
  }

  #place (request: PlacementRequest, pool: RunnerPool, fillShare: number, mayUse: RunnerFilter): Run | Shortage {
    const { service, promptTokens, output } = request
    const memoryTokens = this.#options.engine(service)?.memoryTokens ?? 0
    const memory: RunMemory = { heldTokens: promptTokens, remainingTokens: expectedRemaining(output, 0) }
    const decodeRunner = pool.chooseDecode(memory, memoryTokens * (this.#options.memoryFillShare?.() ?? MEMORY_FILL_SHARE) * fillShare, mayUse)
    if (decodeRunner === null) return pool.hasExhaustedLimit ? PlacementRefusal.RateLimited : PlacementRefusal.NoMemory
    const prefillRunner = pool.choosePrefill(decodeRunner.backend, PREFILL_BACKLOG_MS, mayUse)
    if (prefillRunner === 'busy') return PlacementRefusal.PrefillBusy
    for (const runner of [decodeRunner, prefillRunner]) if (runner !== null) this.#options.permits?.tryTake(runner.backend)
    const prefillStartMs = pool.addRun(memory, decodeRunner, prefillRunner)
    return {
      service,
      decode: decodeRunner.backend.id,
      prefill: prefillRunner?.backend.id ?? null,
      prefillStartMs,
      promptTokens,
      output,
      madeTokens: 0,
      reportedMs: this.#options.nowMs()
    }
  }

  #poolOf (service: string): RunnerPool | null {
    const engine = this.#options.engine(service)
    if (engine === null) return null
    const { permits } = this.#options
    const nowMs = this.#options.nowMs()
    const prefillRunners = new Map(this.#availableRunners(service, RunnerRole.Prefill).map((backend) => [backend.id, { backend, freeAtMs: nowMs, tokensPerMs: this.#prefillRate(backend.id) }]))
    const decodeRunners = new Map(this.#availableRunners(service, RunnerRole.Decode).map((backend) => [backend.id, { backend, runs: [] as RunMemory[] }]))
    for (const run of this.#runs.values()) {
      decodeRunners.get(run.decode)?.runs.push({ heldTokens: run.promptTokens + run.madeTokens, remainingTokens: expectedRemaining(run.output, run.madeTokens) })
      const prefillRunner = run.prefill === null ? undefined : prefillRunners.get(run.prefill)
      if (prefillRunner !== undefined) prefillRunner.freeAtMs = Math.max(prefillRunner.freeAtMs, run.prefillStartMs + run.promptTokens / prefillRunner.tokensPerMs)
    }
    return new RunnerPool({ prefill: [...prefillRunners.values()], decode: [...decodeRunners.values()], slots: engine.slots, nowMs, ...(permits === undefined ? {} : { mayTake: (backend) => permits.isAvailable(backend) }) })
  }

  /** Recomputes the estimated prefill starts of the prompts still assigned to a runner that has just finished one. */
  #updatePrefillStarts (id: string): void {
    const queuedRuns = [...this.#runs.values()].filter((run) => run.prefill === id).sort((a, b) => a.prefillStartMs - b.prefillStartMs)
    let startMs = this.#options.nowMs()
    for (const run of queuedRuns) {
      run.prefillStartMs = startMs
      startMs += run.promptTokens / this.#prefillRate(id)
    }
  }

  #prefillRate (id: string): number {
    return this.#prefillRates.get(id) ?? INITIAL_PREFILL_TOKENS_PER_MS
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
    if (engine === null || !this.#hasDecodeRunner(request.service)) return this.#refuse(PlacementRefusal.NoRunner)
    if (request.promptTokens >= engine.memoryTokens) return this.#refuse(PlacementRefusal.TooLarge)
    if (request.pauses.length === 0) return null
    const leftMsById = new Map(request.pauses.map(({ server, leftMs }) => [server, leftMs]))
    const shortestPauseMs = Math.min(...this.#options.backends.ready(request.service, RunnerRole.Decode).map(({ id }) => leftMsById.get(id) ?? 0))
    if (shortestPauseMs > 0) return { ...this.#refuse(PlacementRefusal.Paused), retryAfterMs: shortestPauseMs }
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

  #hasDecodeRunner (service: string): boolean {
    return this.#options.backends.ready(service, RunnerRole.Decode).length > 0
  }

  #refuse (refusal: PlacementRefusal): RefusedPlacement {
    return { refusal, retryAfterMs: RETRY_AFTER_MS, waiting: this.#waiting.size, runs: this.#runs.size }
  }

  /** Average recent request of a service, or the expected request while too few have been received; null if the service has no engine configuration. */
  requestMix (service: string): RequestMix | null {
    const averages = this.#requestAverages.get(service)
    const engine = this.#options.engine(service)
    if (engine === null) return null
    const hasEnoughRequests = averages !== undefined && averages.requests >= MIN_MIX_REQUESTS
    const { promptTokens, outputTokens } = hasEnoughRequests ? averages : this.#options.expectedRequest
    const rates = this.#options.backends.ready(service, RunnerRole.Prefill).map(({ id }) => this.#prefillRate(id))
    return {
      promptTokens,
      outputTokens,
      msPerToken: averages?.msPerToken ?? INITIAL_MS_PER_TOKEN,
      prefillTokensPerMs: rates.length === 0 ? INITIAL_PREFILL_TOKENS_PER_MS : rates.reduce((sum, rate) => sum + rate, 0) / rates.length,
      memoryTokens: engine.memoryTokens * MEMORY_FILL_SHARE
    }
  }

  /** Total tokens of the runs that a runner decodes or prefills. */
  load ({ id }: BackendServer): number {
    let tokens = 0
    for (const run of this.#runs.values()) if (run.decode === id || run.prefill === id) tokens += run.promptTokens + run.madeTokens
    return tokens
  }

  #recordRequest ({ service, promptTokens, output }: PlacementRequest): void {
    const outputTokens = expectedRemaining(output, 0)
    const averages = this.#requestAverages.get(service)
    if (averages === undefined) {
      this.#requestAverages.set(service, { requests: 1, promptTokens, outputTokens, msPerToken: INITIAL_MS_PER_TOKEN })
      return
    }
    averages.requests += 1
    averages.promptTokens += (promptTokens - averages.promptTokens) * MIX_WEIGHT
    averages.outputTokens += (outputTokens - averages.outputTokens) * MIX_WEIGHT
  }

  #updateTokenTime (run: Run, madeTokens: number, nowMs: number): void {
    const averages = this.#requestAverages.get(run.service)
    const newTokens = madeTokens - run.madeTokens
    const spanMs = nowMs - run.reportedMs
    if (averages === undefined || run.madeTokens === 0 || newTokens <= 0 || spanMs < MIN_REPORT_SPAN_MS) return
    averages.msPerToken *= spanMs / newTokens > averages.msPerToken ? TOKEN_TIME_STEP : 1 / TOKEN_TIME_STEP
  }

  /** Evicts the rates and failures of runners that are not in the given list. */
  retain (backends: BackendServer[]): void {
    const ids = new Set(backends.map(({ id }) => id))
    for (const table of [this.#prefillRates, this.#backoffUntilMs]) {
      for (const id of table.keys()) if (!ids.has(id)) table.delete(id)
    }
  }

  /** Drops the runs that decode on a runner that was removed or restarted; a run that it was prefilling loses its prefill runner. */
  removeRunner (backend: BackendServer): void {
    for (const [id, run] of this.#runs) {
      if (run.decode === backend.id) this.#runs.delete(id)
      else if (run.prefill === backend.id) run.prefill = null
    }
    this.placeWaiting()
  }

  dump (): unknown {
    return {
      waiting: [...this.#waiting.values()].map(({ request, arrivedMs }) => ({ id: request.id, arrivedMs })),
      runs: Object.fromEntries(this.#runs),
      backends: this.#options.backends.all().map(incarnationOf)
    }
  }
}

/** Whether the first event can be sent before the objective if the request is placed now. */
function canBeOnTime ({ request, objectiveMs }: WaitingRequest, pool: RunnerPool, nowMs: number): boolean {
  const promptMs = pool.prefillTimeMs(request.promptTokens) ?? request.promptTokens / (INITIAL_PREFILL_TOKENS_PER_MS * DECODE_PREFILL_SPEED_SHARE)
  return objectiveMs - nowMs > promptMs + FIRST_EVENT_MS
}

/** Sort key of a waiting request: the objective if it can still be on time, otherwise the arrival, behind all requests that are on time. */
function rankMs ({ waiting, onTime }: { waiting: WaitingRequest, onTime: boolean }): number {
  return onTime ? waiting.objectiveMs : LATE_RANK_OFFSET_MS + waiting.arrivedMs
}
