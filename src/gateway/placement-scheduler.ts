import { type BackendServer, incarnationOf, RunnerRole } from './backend.js'
import type { BackendTable } from './backend-table.js'
import type { EngineConfiguration } from './configuration.js'
import type { RunMemory } from './memory-forecast.js'
import { expectedRemaining, type OutputLength } from './output-length.js'
import { type Decide, type Placement, PlacementRefusal, type PlacementRequest, type RefusedPlacement, type RunProgress } from './placement.js'
import { RefusedPrompts } from './refused-prompts.js'
import type { RequestMix } from './role-balance.js'
import { RunnerPool } from './runner-pool.js'

/** Share of a decode runner's memory that forecasts may fill; the rest absorbs runs longer than expected. */
export const MEMORY_FILL = 0.97

/** Part of that share which requests may fill that are late already, so that they don't keep out those that can still be on time. */
const LATE_PART = 0.9

/** Work that may wait at a prefill runner, in milliseconds: enough to keep it busy until the next prompt arrives, little enough to keep the order here. */
const PREFILL_BACKLOG_MS = 120

/** Prompt tokens a prefill runner reads in a millisecond until answers have shown it. */
const INITIAL_PREFILL_RATE = 50

/** Factor by which one more measured prefill moves the rate towards it; prompts that were cached or held up give rates far off, which must not count for more. */
const RATE_STEP = 1.04

/** Share of that speed at which decode runners read prompts. */
const SELF_READ_SPEED = 0.5

/** Weight of one more request in the averages of prompts and outputs. */
const MIX_WEIGHT = 0.05

/** Requests after which the averages mean something. */
const MIX_REQUESTS = 20

/** Time for each token of a run until reports have shown it, in milliseconds. */
const INITIAL_MS_PER_TOKEN = 0.75

/** Factor by which one report of a run moves the time for each token towards what it shows; a stalled runner's reports must not pass for the usual speed. */
const SPEED_STEP = 1.002

/** Shortest time between two reports from which a speed is taken, in milliseconds. */
const SPEED_SPAN_MS = 100

/** Runs of an instance that has not reported for this long are taken to be gone, in milliseconds; reports come several times in it. */
const REPORT_LIFETIME_MS = 2500

/** Time between two looks for places, in milliseconds: under a burst, memory comes free more often than looks are worth their processor time. */
const PASS_SPACING_MS = 10

/** Time between the placement and the first event besides prefill, in milliseconds: two hops, the transfer of memory and the first event's tokens. */
const FIRST_EVENT_MS = 120

/** A runner that failed a request is passed over for this long, in milliseconds. */
const FAILED_RUNNER_REST_MS = 1500

/** A refused request is told to return after this time, in milliseconds: runs take about four seconds, so half of the memory is free again by then. */
const RETURN_MS = 2000

/** Added to the rank of late requests: above every time in milliseconds. */
const LATE_RANK = 2 ** 50

type Shortage = PlacementRefusal.NoMemory | PlacementRefusal.PrefillBusy

interface Run {
  service: string
  decode: string
  prefill: string | null
  /** When the prefill runner began with this prompt, as far as is known. */
  prefillStartMs: number
  promptTokens: number
  output: OutputLength
  madeTokens: number
  reportedMs: number
}

interface Waiting {
  request: PlacementRequest
  decide: Decide
  arrivedMs: number
  /** When the caller asked first; before this attempt arrived if an earlier one was refused. */
  firstAskedMs: number
  objectiveMs: number
  expiresMs: number
}

interface PlacementDeskOptions {
  nowMs: () => number
  backends: BackendTable
  engine: (service: string) => EngineConfiguration | null
  /** The mix assumed of a service until enough requests are known. */
  expected: { promptTokens: number, outputTokens: number }
  /** Whether a runner is changing its role. */
  isChanging?: (id: string) => boolean
  /** Share of each decode runner's memory that this desk may fill. */
  fill?: () => number
  /** Told when a request begins to wait. */
  onWaiting?: () => void
}

/**
 * Decides which runners serve each model request of a service.
 * It keeps a forecast of each decode runner's memory and starts a prefill only when a decode runner has room for the whole run.
 */
export class PlacementScheduler {
  readonly #options: PlacementDeskOptions
  readonly #runs = new Map<string, Run>()
  readonly #waiting = new Map<string, Waiting>()
  readonly #refusedPrompts: RefusedPrompts
  readonly #prefillRates = new Map<string, number>()
  readonly #restUntilMs = new Map<string, number>()
  readonly #mixes = new Map<string, { requests: number, promptTokens: number, outputTokens: number, msPerToken: number }>()
  /** What the first waiting request of a service lacked in the last look for places. */
  readonly #shortages = new Map<string, Shortage>()
  #learnsUntilMs = -Infinity
  #lastPassMs = -Infinity

  constructor (options: PlacementDeskOptions) {
    this.#options = options
    this.#refusedPrompts = new RefusedPrompts({ nowMs: options.nowMs })
  }

  get waitingCount (): number {
    return this.#waiting.size
  }

  get runCount (): number {
    return this.#runs.size
  }

  /** Places nothing for a while, until the instances have reported the runs that a desk before this one placed. */
  warmUpFor (periodMs: number): void {
    this.#learnsUntilMs = this.#options.nowMs() + periodMs
  }

  /** Asks for a place; the decision comes at once or when memory is free. Returns whether the request waits. */
  submit (request: PlacementRequest, decide: Decide): boolean {
    const nowMs = this.#options.nowMs()
    const impossible = this.#impossible(request)
    if (impossible !== null) {
      decide(impossible)
      return false
    }
    this.#noteRequest(request)
    const firstAskedMs = this.#refusedPrompts.firstAskedMs(request.promptId) ?? nowMs
    this.#waiting.set(request.id, { request, decide, arrivedMs: nowMs, firstAskedMs, objectiveMs: firstAskedMs + request.objectiveLeftMs, expiresMs: nowMs + request.patienceMs })
    this.placeWaiting()
    const waits = this.#waiting.has(request.id)
    if (waits) this.#options.onWaiting?.()
    return waits
  }

  /** The place that a request has been given; null if it has none. */
  placementOf (id: string): Placement | null {
    const run = this.#runs.get(id)
    return run === undefined ? null : { prefill: run.prefill, decode: run.decode }
  }

  isWaiting (id: string): boolean {
    return this.#waiting.has(id)
  }

  /** Ends a request or a run, whatever its state. */
  release (id: string): void {
    this.#waiting.delete(id)
    if (this.#runs.delete(id)) this.#placeSoon()
  }

  /** The prompt of a run has been read; frees the prefill runner for the next one. */
  recordPrefillDone (id: string, tokensPerMs: number | null): void {
    const run = this.#runs.get(id)
    if (run === undefined || run.prefill === null) return
    if (tokensPerMs !== null) {
      const rate = this.#prefillRate(run.prefill)
      const measured = run.promptTokens / Math.max(1, this.#options.nowMs() - run.prefillStartMs)
      this.#prefillRates.set(run.prefill, measured > rate ? rate * RATE_STEP : rate / RATE_STEP)
    }
    const prefill = run.prefill
    run.prefill = null
    this.#startNextPrefill(prefill)
    this.#placeSoon()
  }

  /** Passes over a runner for a while that has just failed a request. */
  recordRunnerFailure (server: string): void {
    this.#restUntilMs.set(server, this.#options.nowMs() + FAILED_RUNNER_REST_MS)
  }

  /** Takes the progress of runs; runs that this desk has not placed itself are learnt. */
  recordProgress (reports: RunProgress[]): void {
    const reportedMs = this.#options.nowMs()
    for (const { id, ...report } of reports) {
      const run = this.#runs.get(id)
      if (run === undefined) this.#runs.set(id, { ...report, prefill: null, prefillStartMs: 0, reportedMs })
      else {
        this.#noteSpeed(run, report.madeTokens, reportedMs)
        Object.assign(run, { madeTokens: report.madeTokens, reportedMs })
      }
    }
  }

  /** Drops runs that nobody reports any more and refuses requests whose patience has ended. */
  tick (): void {
    const nowMs = this.#options.nowMs()
    for (const [id, run] of this.#runs) if (nowMs - run.reportedMs > REPORT_LIFETIME_MS) this.#runs.delete(id)
    this.placeWaiting()
    const withoutRunner = new Map<string, boolean>()
    for (const [id, { request: { service, promptId }, decide, expiresMs, firstAskedMs }] of this.#waiting) {
      const impossible = withoutRunner.get(service) ?? !this.#hasDecode(service)
      withoutRunner.set(service, impossible)
      if (!impossible && nowMs < expiresMs) continue
      this.#waiting.delete(id)
      this.#refusedPrompts.add(promptId, firstAskedMs)
      decide(this.#refused(impossible ? PlacementRefusal.NoRunner : this.#shortages.get(service) ?? PlacementRefusal.NoMemory))
    }
  }

  /** Places waiting requests: those that can still be on time first, the earliest objective before later ones. */
  placeWaiting (): void {
    const nowMs = this.#options.nowMs()
    if (this.#waiting.size === 0 || nowMs < this.#learnsUntilMs) return
    this.#lastPassMs = nowMs
    const byService = new Map<string, Waiting[]>()
    for (const waiting of this.#waiting.values()) {
      const { service } = waiting.request
      const known = byService.get(service)
      if (known === undefined) byService.set(service, [waiting])
      else known.push(waiting)
    }
    for (const [service, waiting] of byService) this.#placeFor(service, waiting)
  }

  /** Looks for places after memory came free, unless that was done a moment ago; the next tick does it then. */
  #placeSoon (): void {
    if (this.#options.nowMs() - this.#lastPassMs >= PASS_SPACING_MS) this.placeWaiting()
  }

  #placeFor (service: string, waiting: Waiting[]): void {
    const pool = this.#poolOf(service)
    if (pool === null) return
    const nowMs = this.#options.nowMs()
    const ranked = waiting.map((one) => ({ waiting: one, onTime: canBeOnTime(one, pool, nowMs) }))
    for (const { waiting: { request, decide }, onTime } of ranked.sort((a, b) => precedence(a) - precedence(b))) {
      const run = this.#place(request, pool, onTime ? 1 : LATE_PART)
      // A request that finds no room keeps its turn: smaller ones behind it must not starve it.
      if (typeof run === 'string') {
        this.#shortages.set(service, run)
        return
      }
      this.#waiting.delete(request.id)
      this.#runs.set(request.id, run)
      decide({ prefill: run.prefill, decode: run.decode })
    }
  }

  #place (request: PlacementRequest, pool: RunnerPool, part: number): Run | Shortage {
    const { service, promptTokens, output } = request
    const memoryTokens = this.#options.engine(service)?.memoryTokens ?? 0
    const memory: RunMemory = { heldTokens: promptTokens, remainingTokens: expectedRemaining(output, 0) }
    const decode = pool.chooseDecode(memory, memoryTokens * (this.#options.fill?.() ?? MEMORY_FILL) * part)
    if (decode === null) return PlacementRefusal.NoMemory
    const prefill = pool.choosePrefill(decode.backend, PREFILL_BACKLOG_MS)
    if (prefill === 'busy') return PlacementRefusal.PrefillBusy
    const prefillStartMs = pool.add(memory, decode, prefill)
    return {
      service,
      decode: decode.backend.id,
      prefill: prefill?.backend.id ?? null,
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
    const nowMs = this.#options.nowMs()
    const prefill = new Map(this.#usable(service, RunnerRole.Prefill).map((backend) => [backend.id, { backend, freeAtMs: nowMs, tokensPerMs: this.#prefillRate(backend.id) }]))
    const decode = new Map(this.#usable(service, RunnerRole.Decode).map((backend) => [backend.id, { backend, runs: [] as RunMemory[] }]))
    for (const run of this.#runs.values()) {
      decode.get(run.decode)?.runs.push({ heldTokens: run.promptTokens + run.madeTokens, remainingTokens: expectedRemaining(run.output, run.madeTokens) })
      const reader = run.prefill === null ? undefined : prefill.get(run.prefill)
      if (reader !== undefined) reader.freeAtMs = Math.max(reader.freeAtMs, run.prefillStartMs + run.promptTokens / reader.tokensPerMs)
    }
    return new RunnerPool({ prefill: [...prefill.values()], decode: [...decode.values()], slots: engine.slots, nowMs })
  }

  /** The runner has finished a prompt: the earliest of the others is next now, whatever was expected. */
  #startNextPrefill (id: string): void {
    const waiting = [...this.#runs.values()].filter((run) => run.prefill === id).sort((a, b) => a.prefillStartMs - b.prefillStartMs)
    let startMs = this.#options.nowMs()
    for (const run of waiting) {
      run.prefillStartMs = startMs
      startMs += run.promptTokens / this.#prefillRate(id)
    }
  }

  #prefillRate (id: string): number {
    return this.#prefillRates.get(id) ?? INITIAL_PREFILL_RATE
  }

  #usable (service: string, stage: RunnerRole): BackendServer[] {
    const nowMs = this.#options.nowMs()
    const ready = this.#options.backends.ready(service, stage).filter(({ id }) => this.#options.isChanging?.(id) !== true)
    const rested = ready.filter(({ id }) => (this.#restUntilMs.get(id) ?? 0) <= nowMs)
    return rested.length > 0 ? rested : ready
  }

  #impossible (request: PlacementRequest): RefusedPlacement | null {
    const engine = this.#options.engine(request.service)
    if (engine === null || !this.#hasDecode(request.service)) return this.#refused(PlacementRefusal.NoRunner)
    if (request.promptTokens >= engine.memoryTokens) return this.#refused(PlacementRefusal.TooLarge)
    return null
  }

  #hasDecode (service: string): boolean {
    return this.#options.backends.ready(service, RunnerRole.Decode).length > 0
  }

  #refused (refusal: PlacementRefusal): RefusedPlacement {
    return { refusal, retryAfterMs: RETURN_MS, waiting: this.#waiting.size, runs: this.#runs.size }
  }

  /** What the requests of a service have asked for lately, or are expected to; null for a plain service. */
  mix (service: string): RequestMix | null {
    const known = this.#mixes.get(service)
    const engine = this.#options.engine(service)
    if (engine === null) return null
    const enough = known !== undefined && known.requests >= MIX_REQUESTS
    const { promptTokens, outputTokens } = enough ? known : this.#options.expected
    const rates = this.#options.backends.ready(service, RunnerRole.Prefill).map(({ id }) => this.#prefillRate(id))
    return {
      promptTokens,
      outputTokens,
      msPerToken: known?.msPerToken ?? INITIAL_MS_PER_TOKEN,
      prefillTokensPerMs: rates.length === 0 ? INITIAL_PREFILL_RATE : rates.reduce((sum, rate) => sum + rate, 0) / rates.length,
      memoryTokens: engine.memoryTokens * MEMORY_FILL
    }
  }

  /** Tokens of the runs and prompts on a runner. */
  load ({ id }: BackendServer): number {
    let tokens = 0
    for (const run of this.#runs.values()) if (run.decode === id || run.prefill === id) tokens += run.promptTokens + run.madeTokens
    return tokens
  }

  #noteRequest ({ service, promptTokens, output }: PlacementRequest): void {
    const outputTokens = expectedRemaining(output, 0)
    const known = this.#mixes.get(service)
    if (known === undefined) {
      this.#mixes.set(service, { requests: 1, promptTokens, outputTokens, msPerToken: INITIAL_MS_PER_TOKEN })
      return
    }
    known.requests += 1
    known.promptTokens += (promptTokens - known.promptTokens) * MIX_WEIGHT
    known.outputTokens += (outputTokens - known.outputTokens) * MIX_WEIGHT
  }

  #noteSpeed (run: Run, madeTokens: number, nowMs: number): void {
    const known = this.#mixes.get(run.service)
    const made = madeTokens - run.madeTokens
    const spanMs = nowMs - run.reportedMs
    if (known === undefined || run.madeTokens === 0 || made <= 0 || spanMs < SPEED_SPAN_MS) return
    known.msPerToken *= spanMs / made > known.msPerToken ? SPEED_STEP : 1 / SPEED_STEP
  }

  /** Forgets what is known of runners that are gone. */
  retain (backends: BackendServer[]): void {
    const ids = new Set(backends.map(({ id }) => id))
    for (const table of [this.#prefillRates, this.#restUntilMs]) {
      for (const id of table.keys()) if (!ids.has(id)) table.delete(id)
    }
  }

  /** A life of a runner has ended: its runs are gone. */
  forgetRunner (backend: BackendServer): void {
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

/** Whether the first event can come before the objective if the request is placed now. */
function canBeOnTime ({ request, objectiveMs }: Waiting, pool: RunnerPool, nowMs: number): boolean {
  const promptMs = pool.promptMs(request.promptTokens) ?? request.promptTokens / (INITIAL_PREFILL_RATE * SELF_READ_SPEED)
  return objectiveMs - nowMs > promptMs + FIRST_EVENT_MS
}

/** Requests that can still be on time go by their objective, late ones after them by their arrival. */
function precedence ({ waiting, onTime }: { waiting: Waiting, onTime: boolean }): number {
  return onTime ? waiting.objectiveMs : LATE_RANK + waiting.arrivedMs
}
