import { type Backend, incarnationOf, Stage } from './backend.js'
import type { BackendTable } from './backend-table.js'
import type { Engine } from './configuration.js'
import { type RunMemory, peakMemory } from './memory-forecast.js'
import { expectedRemaining, type OutputLength } from './output-length.js'
import type { RequestMix } from './role-balance.js'

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

/** Weight of one more request in the averages of prompts, outputs and speeds. */
const MIX_WEIGHT = 0.05

/** Requests after which the averages mean something. */
const MIX_REQUESTS = 20

/** Time for each token of a run until reports have shown it, in milliseconds. */
const INITIAL_MS_PER_TOKEN = 0.75

/** Shortest time between two reports from which a speed is taken, in milliseconds. */
const SPEED_SPAN_MS = 100

/** Runs of an instance that has not reported for this long are taken to be gone, in milliseconds; reports come several times in it. */
const REPORT_LIFETIME_MS = 2500

/** Time between the placement and the first event besides prefill, in milliseconds: two hops, the transfer of memory and the first event's tokens. */
const FIRST_EVENT_MS = 120

/** A runner that failed a request is passed over for this long, in milliseconds. */
const FAILED_RUNNER_REST_MS = 1500

/** A refused request is told to return after this time, in milliseconds: runs take about four seconds, so half of the memory is free again by then. */
const RETURN_MS = 2000

/** Added to the rank of late requests: above every time in milliseconds. */
const LATE_RANK = 2 ** 50

/** A model request that wants a place on a prefill and a decode runner. */
export interface PlacementRequest {
  id: string
  service: string
  failureDomain: string
  promptTokens: number
  output: OutputLength
  /** Time left until the first event is late; negative for a request that is late already. */
  objectiveLeftMs: number
  /** How long the request may wait here before it is refused. */
  patienceMs: number
}

export interface Placement {
  /** Id of the prefill runner; null if the decode runner has to read the prompt itself. */
  prefill: string | null
  decode: string
}

export enum PlacementRefusal {
  /** No decode runner is known. */
  NoRunner = 'no-runner',
  /** Larger than the memory of every runner. */
  TooLarge = 'too-large',
  /** No memory came free in time. */
  Overloaded = 'overloaded'
}

export interface RefusedPlacement {
  refusal: PlacementRefusal
  /** When memory is expected to be free, in milliseconds. */
  retryAfterMs: number
  /** Requests that wait and runs that hold memory, as the desk saw them. */
  waiting: number
  runs: number
}

/** Called once with the decision on a request. */
export type Decide = (decision: Placement | RefusedPlacement) => void

/** How far a run has come, as reported by the instance that serves it. */
export interface RunReport {
  id: string
  service: string
  decode: string
  promptTokens: number
  output: OutputLength
  madeTokens: number
}

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
  objectiveMs: number
  expiresMs: number
}

interface PlacementDeskOptions {
  nowMs: () => number
  backends: BackendTable
  engine: (service: string) => Engine | null
  /** The mix assumed of a service until enough requests are known. */
  expected: { promptTokens: number, outputTokens: number }
  /** Whether a runner is changing its role. */
  isChanging?: (id: string) => boolean
  /** Share of each decode runner's memory that this desk may fill. */
  fill?: () => number
}

/**
 * Decides which runners serve each model request of a service.
 * It keeps a forecast of each decode runner's memory and starts a prefill only when a decode runner has room for the whole run.
 */
export class PlacementDesk {
  readonly #options: PlacementDeskOptions
  readonly #runs = new Map<string, Run>()
  readonly #waiting = new Map<string, Waiting>()
  readonly #prefillRates = new Map<string, number>()
  readonly #restUntilMs = new Map<string, number>()
  readonly #mixes = new Map<string, { requests: number, promptTokens: number, outputTokens: number, msPerToken: number }>()
  #learnsUntilMs = -Infinity

  constructor (options: PlacementDeskOptions) {
    this.#options = options
  }

  get waitingCount (): number {
    return this.#waiting.size
  }

  get runCount (): number {
    return this.#runs.size
  }

  /** Places nothing for a while, until the instances have reported the runs that a desk before this one placed. */
  learnFor (periodMs: number): void {
    this.#learnsUntilMs = this.#options.nowMs() + periodMs
  }

  /** Asks for a place; the decision comes at once or when memory is free. Returns whether the request waits. */
  request (request: PlacementRequest, decide: Decide): boolean {
    const nowMs = this.#options.nowMs()
    const impossible = this.#impossible(request)
    if (impossible !== null) {
      decide(impossible)
      return false
    }
    this.#noteRequest(request)
    this.#waiting.set(request.id, { request, decide, arrivedMs: nowMs, objectiveMs: nowMs + request.objectiveLeftMs, expiresMs: nowMs + request.patienceMs })
    this.placeWaiting()
    return this.#waiting.has(request.id)
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
    if (this.#runs.delete(id)) this.placeWaiting()
  }

  /** The prompt of a run has been read; frees the prefill runner for the next one. */
  prefilled (id: string, tokensPerMs: number | null): void {
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
    this.placeWaiting()
  }

  /** Passes over a runner for a while that has just failed a request. */
  failed (server: string): void {
    this.#restUntilMs.set(server, this.#options.nowMs() + FAILED_RUNNER_REST_MS)
  }

  /** Takes the progress of runs; runs that this desk has not placed itself are learnt. */
  report (reports: RunReport[]): void {
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
    for (const [id, { request, decide, expiresMs }] of this.#waiting) {
      const impossible = this.#impossible(request)
      if (impossible === null && nowMs < expiresMs) continue
      this.#waiting.delete(id)
      decide(impossible ?? this.#refused(PlacementRefusal.Overloaded))
    }
  }

  /** Places waiting requests: those that can still be on time first, the earliest objective before later ones. */
  placeWaiting (): void {
    const nowMs = this.#options.nowMs()
    if (nowMs < this.#learnsUntilMs) return
    if (this.#waiting.size === 0) return
    const ranked = [...this.#waiting.values()].map((waiting) => ({ waiting, onTime: this.#canBeOnTime(waiting, nowMs) }))
    const order = ranked.sort((a, b) => precedence(a) - precedence(b))
    const full = new Set<string>()
    for (const { waiting: { request, decide }, onTime } of order) {
      const placement = full.has(request.service) ? null : this.#place(request, onTime ? 1 : LATE_PART)
      if (placement === null) {
        // A request that finds no room keeps its turn: smaller ones behind it must not starve it.
        full.add(request.service)
        continue
      }
      this.#waiting.delete(request.id)
      this.#runs.set(request.id, {
        service: request.service,
        decode: placement.decode,
        prefill: placement.prefill,
        prefillStartMs: nowMs + (placement.prefill === null ? 0 : this.#prefillBacklogMs(placement.prefill)),
        promptTokens: request.promptTokens,
        output: request.output,
        madeTokens: 0,
        reportedMs: nowMs
      })
      decide(placement)
    }
  }

  #place (request: PlacementRequest, part: number): Placement | null {
    const decode = this.#chooseDecode(request, part)
    if (decode === null) return null
    const prefills = this.#usable(request.service, Stage.Prefill)
    if (prefills.length === 0) return { prefill: null, decode: decode.id }
    const prefill = this.#choosePrefill(prefills, decode)
    return prefill === null ? null : { prefill: prefill.id, decode: decode.id }
  }

  #chooseDecode (request: PlacementRequest, part: number): Backend | null {
    const engine = this.#options.engine(request.service)
    if (engine === null) return null
    const added: RunMemory = { heldTokens: request.promptTokens, remainingTokens: expectedRemaining(request.output, 0) }
    let best: Backend | null = null
    let lowest = engine.memoryTokens * (this.#options.fill?.() ?? MEMORY_FILL) * part
    for (const backend of this.#usable(request.service, Stage.Decode)) {
      const runs = this.#runsOn(backend.id)
      // A run larger than the usual share may have an empty runner for itself.
      const peak = runs.length === 0 ? 0 : peakMemory([...runs, added])
      if (runs.length >= engine.slots || peak > lowest) continue
      lowest = peak
      best = backend
    }
    return best
  }

  #choosePrefill (prefills: Backend[], decode: Backend): Backend | null {
    const ranked = prefills
      .map((backend) => ({ backend, backlogMs: this.#prefillBacklogMs(backend.id), far: backend.failureDomain === decode.failureDomain ? 0 : 1 }))
      .sort((a, b) => a.backlogMs - b.backlogMs || a.far - b.far)
    const first = ranked[0]
    return first === undefined || first.backlogMs > PREFILL_BACKLOG_MS ? null : first.backend
  }

  /** Time until a prefill runner is expected to have read the prompts given to it. */
  #prefillBacklogMs (id: string): number {
    let endMs = this.#options.nowMs()
    for (const run of this.#runs.values()) {
      if (run.prefill === id) endMs = Math.max(endMs, run.prefillStartMs + run.promptTokens / this.#prefillRate(id))
    }
    return endMs - this.#options.nowMs()
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

  #runsOn (decode: string): RunMemory[] {
    const runs: RunMemory[] = []
    for (const run of this.#runs.values()) {
      if (run.decode !== decode) continue
      runs.push({ heldTokens: run.promptTokens + run.madeTokens, remainingTokens: expectedRemaining(run.output, run.madeTokens) })
    }
    return runs
  }

  /** Whether the first event can come before the objective if the request is placed now. */
  #canBeOnTime ({ request, objectiveMs }: Waiting, nowMs: number): boolean {
    const waits = this.#usable(request.service, Stage.Prefill).map(({ id }) => this.#prefillBacklogMs(id) + request.promptTokens / this.#prefillRate(id))
    const prefillMs = waits.length === 0 ? request.promptTokens / (INITIAL_PREFILL_RATE / 2) : Math.min(...waits)
    return objectiveMs - nowMs > prefillMs + FIRST_EVENT_MS
  }

  #usable (service: string, stage: Stage): Backend[] {
    const nowMs = this.#options.nowMs()
    const ready = this.#options.backends.ready(service, stage).filter(({ id }) => this.#options.isChanging?.(id) !== true)
    const rested = ready.filter(({ id }) => (this.#restUntilMs.get(id) ?? 0) <= nowMs)
    return rested.length > 0 ? rested : ready
  }

  #impossible (request: PlacementRequest): RefusedPlacement | null {
    const engine = this.#options.engine(request.service)
    if (engine === null || this.#options.backends.ready(request.service, Stage.Decode).length === 0) {
      return this.#refused(PlacementRefusal.NoRunner)
    }
    if (request.promptTokens >= engine.memoryTokens) return this.#refused(PlacementRefusal.TooLarge)
    return null
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
    const rates = this.#options.backends.ready(service, Stage.Prefill).map(({ id }) => this.#prefillRate(id))
    return {
      promptTokens,
      outputTokens,
      msPerToken: known?.msPerToken ?? INITIAL_MS_PER_TOKEN,
      prefillTokensPerMs: rates.length === 0 ? INITIAL_PREFILL_RATE : rates.reduce((sum, rate) => sum + rate, 0) / rates.length,
      memoryTokens: engine.memoryTokens * MEMORY_FILL
    }
  }

  /** Tokens of the runs and prompts on a runner. */
  load ({ id }: Backend): number {
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
    known.msPerToken += (spanMs / made - known.msPerToken) * MIX_WEIGHT
  }

  /** Forgets what is known of runners that are gone. */
  retain (backends: Backend[]): void {
    const ids = new Set(backends.map(({ id }) => id))
    for (const table of [this.#prefillRates, this.#restUntilMs]) {
      for (const id of table.keys()) if (!ids.has(id)) table.delete(id)
    }
  }

  /** A life of a runner has ended: its runs are gone. */
  forgetRunner (backend: Backend): void {
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

/** Requests that can still be on time go by their objective, late ones after them by their arrival. */
function precedence ({ waiting, onTime }: { waiting: Waiting, onTime: boolean }): number {
  return onTime ? waiting.objectiveMs : LATE_RANK + waiting.arrivedMs
}
