import { MemoryForecast } from './memory-forecast.js'
import { expectedRemaining, type OutputLength, remainingSpread } from './output-length.js'
import type { Placement, RunProgress } from './placement.js'

/** Time without a progress report after which a run is taken to have ended, in milliseconds; covers several report periods. */
const REPORT_LIFETIME_MS = 2500

/** Minimum time between two reports of a run for the time per token to be computed from them, in milliseconds. */
const MIN_REPORT_SPAN_MS = 100

export interface Run {
  id: string
  service: string
  /** Id of the decode runner. */
  decode: string
  /** Id of the prefill runner until the prefill has ended, then null; also null if the decode runner processes the prompt. */
  prefill: string | null
  /** Time of the placement, in milliseconds. */
  placedMs: number
  /** Estimated start of this prompt's prefill, in milliseconds. */
  prefillStartMs: number
  promptTokens: number
  output: OutputLength
  /** Output tokens produced by the last progress report. */
  madeTokens: number
  /** Time of the placement or the last progress report, in milliseconds. */
  reportedMs: number
  /** Time of the report that last showed new tokens, in milliseconds; null before the first. */
  progressedMs: number | null
}

/** How long a run took for its newest tokens, and how many runs its runner decoded meanwhile. */
export interface MeasuredProgress {
  service: string
  /** Id of the decode runner. */
  decode: string
  msPerToken: number
  /** Time over which the tokens were produced, in milliseconds. */
  spanMs: number
  runs: number
}

/** The runs that one scheduler knows, with an index by runner: the cost of a scheduling pass follows the runners whose runs have changed and not the number of runs. */
export class RunTable {
  readonly #nowMs: () => number
  readonly #runs = new Map<string, Run>()
  readonly #byDecode = new Map<string, Set<Run>>()
  readonly #byPrefill = new Map<string, Set<Run>>()
  /** Forecasts of the decode runners whose runs have not changed since. */
  readonly #forecasts = new Map<string, MemoryForecast>()
  /** Number of forecasts computed so far. */
  computedForecasts = 0

  constructor (options: { nowMs: () => number }) {
    this.#nowMs = options.nowMs
  }

  get size (): number {
    return this.#runs.size
  }

  get (id: string): Run | undefined {
    return this.#runs.get(id)
  }

  placementOf (id: string): Placement | null {
    const run = this.#runs.get(id)
    return run === undefined ? null : { prefill: run.prefill, decode: run.decode }
  }

  add (run: Run): void {
    this.delete(run.id)
    this.#runs.set(run.id, run)
    addTo(this.#byDecode, run.decode, run)
    if (run.prefill !== null) addTo(this.#byPrefill, run.prefill, run)
    this.#forecasts.delete(run.decode)
  }

  /** Returns whether the run was known. */
  delete (id: string): boolean {
    const run = this.#runs.get(id)
    if (run === undefined) return false
    this.#runs.delete(id)
    deleteFrom(this.#byDecode, run.decode, run)
    if (run.prefill !== null) deleteFrom(this.#byPrefill, run.prefill, run)
    this.#forecasts.delete(run.decode)
    return true
  }

  /** Records that a run needs its prefill runner no longer. */
  endPrefill (run: Run): void {
    if (run.prefill === null) return
    deleteFrom(this.#byPrefill, run.prefill, run)
    run.prefill = null
  }

  /** Updates a run from a progress report, or adds one that another scheduler has placed. Returns the measured progress, null if there is none. */
  recordProgress (report: RunProgress): MeasuredProgress | null {
    const nowMs = this.#nowMs()
    const run = this.#runs.get(report.id)
    if (run === undefined) {
      this.add({ ...report, prefill: null, placedMs: nowMs, prefillStartMs: 0, reportedMs: nowMs, progressedMs: null })
      return null
    }
    run.reportedMs = nowMs
    const newTokens = report.madeTokens - run.madeTokens
    if (newTokens <= 0) return null
    const spanMs = nowMs - (run.progressedMs ?? Infinity)
    Object.assign(run, { madeTokens: report.madeTokens, progressedMs: nowMs })
    this.#forecasts.delete(run.decode)
    if (spanMs < MIN_REPORT_SPAN_MS) return null
    return { service: run.service, decode: run.decode, msPerToken: spanMs / newTokens, spanMs, runs: this.#byDecode.get(run.decode)?.size ?? 1 }
  }

  /** Drops the runs without recent reports. */
  expire (): void {
    const sinceMs = this.#nowMs() - REPORT_LIFETIME_MS
    for (const [id, { reportedMs }] of this.#runs) if (reportedMs < sinceMs) this.delete(id)
  }

  /** Drops the runs that decode on a runner that was removed or restarted; a run that it was prefilling loses its prefill runner. */
  removeRunner (id: string): void {
    for (const run of [...this.#byDecode.get(id) ?? []]) this.delete(run.id)
    for (const run of [...this.#byPrefill.get(id) ?? []]) this.endPrefill(run)
  }

  /** Expected memory of a decode runner's runs. */
  forecastOf (runner: string): MemoryForecast {
    const known = this.#forecasts.get(runner)
    if (known !== undefined) return known
    this.computedForecasts += 1
    const runs = [...this.#byDecode.get(runner) ?? []].map(({ promptTokens, madeTokens, output }) => ({ heldTokens: promptTokens + madeTokens, remainingTokens: expectedRemaining(output, madeTokens), spreadTokens: remainingSpread(output, madeTokens) }))
    const forecast = new MemoryForecast({ runs })
    this.#forecasts.set(runner, forecast)
    return forecast
  }

  /** Runs whose prompts a prefill runner processes or will process, by their estimated start. */
  prefillsOf (runner: string): Run[] {
    return [...this.#byPrefill.get(runner) ?? []].sort((a, b) => a.prefillStartMs - b.prefillStartMs)
  }

  /** Total tokens of the runs that a runner decodes or prefills. */
  tokensOn (runner: string): number {
    let tokens = 0
    for (const { promptTokens, madeTokens } of [...this.#byDecode.get(runner) ?? [], ...this.#byPrefill.get(runner) ?? []]) tokens += promptTokens + madeTokens
    return tokens
  }

  dump (): unknown {
    return Object.fromEntries(this.#runs)
  }
}

function addTo (index: Map<string, Set<Run>>, key: string, run: Run): void {
  const runs = index.get(key)
  if (runs === undefined) index.set(key, new Set([run]))
  else runs.add(run)
}

function deleteFrom (index: Map<string, Set<Run>>, key: string, run: Run): void {
  const runs = index.get(key)
  if (runs === undefined) return
  runs.delete(run)
  if (runs.size === 0) index.delete(key)
}
