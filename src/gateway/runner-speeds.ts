import { medianOf, RecentValues } from './recent-values.js'
import { RelativeSpeed } from './relative-speed.js'

/** Prefill speed assumed before the first measured prefill, in prompt tokens per millisecond. */
const INITIAL_PREFILL_TOKENS_PER_MS = 50

/** Number of measured prefills of one runner that are kept. */
const MAX_RUNNER_PREFILLS = 9

/** Number of measured prefills of a runner from which its own speed is used instead of that of its service. */
const MIN_RUNNER_PREFILLS = 4

/** Number of measured prefills of all runners of a service that are kept. */
const MAX_SERVICE_PREFILLS = 60

/** Number of measured steps that are kept for each number of runs: those under a heavy load stay known while the load is low. */
const MAX_STEPS_PER_RUNS = 15

/** Number of measured prefills from which a service's prefill speed counts as known. */
const MIN_SERVICE_PREFILLS = 5

/** Number of measured steps from which a service's decode speed counts as known. */
const MIN_DECODE_STEPS = 15

/** Least difference in runs between slower and faster steps from which their dependence on the number of runs is derived; below it, the spread of the measurements hides it. */
const MIN_RUNS_DIFFERENCE = 2

/** Number of recorded steps of a service after which its usual time for a token is computed anew; it changes slowly and is needed for each report. */
const STEPS_PER_USUAL = 50

/** Time for each output token of a run, measured while its runner decoded this number of runs. */
interface DecodeStep {
  runs: number
  msPerToken: number
}

/** Measured prefill speeds, in prompt tokens per millisecond. */
interface PrefillSpeeds {
  /** Of prompts that began when their runner was idle: they include latency in which it could have begun another one. */
  alone: RecentValues<number>
  /** Of prompts that waited for the previous one at their runner. */
  queued: RecentValues<number>
}

interface ServiceSpeeds {
  prefills: PrefillSpeeds
  /** Measured times for a token by the number of runs. */
  stepsByRuns: Map<number, RecentValues<number>>
  /** Usual time for a token by the number of runs, in milliseconds; null while it is unknown. */
  usualMsPerToken: Map<number, number | null>
  stepsSinceUsual: number
}

/** Speeds of the runners, measured on the work that this fleet has done. */
export class RunnerSpeeds {
  readonly #prefillsByRunner = new Map<string, PrefillSpeeds>()
  readonly #services = new Map<string, ServiceSpeeds>()
  readonly #decodeSpeeds = new Map<string, RelativeSpeed>()
  readonly #nowMs: () => number

  constructor (options: { nowMs: () => number }) {
    this.#nowMs = options.nowMs
  }

  /** Records a prefill; `queued` is true if its prompt had to wait for the previous one at its runner, with whose end the time of this one begins. */
  recordPrefill (service: string, runner: string, { tokensPerMs, queued }: { tokensPerMs: number, queued: boolean }): void {
    const own = this.#prefillsByRunner.get(runner) ?? newPrefillSpeeds(MAX_RUNNER_PREFILLS)
    this.#prefillsByRunner.set(runner, own)
    for (const speeds of [own, this.#speedsOf(service).prefills]) (queued ? speeds.queued : speeds.alone).add(tokensPerMs)
  }

  /** Records the progress of a run on a decode runner, over `spanMs` milliseconds. */
  recordDecodeStep (service: string, runner: string, { runs, msPerToken, spanMs }: DecodeStep & { spanMs: number }): void {
    const speeds = this.#speedsOf(service)
    const steps = speeds.stepsByRuns.get(runs) ?? new RecentValues<number>({ maxValues: MAX_STEPS_PER_RUNS })
    speeds.stepsByRuns.set(runs, steps)
    steps.add(msPerToken)
    speeds.stepsSinceUsual += 1
    const usualMs = this.#usualMsPerToken(service, runs)
    if (usualMs === null) return
    const own = this.#decodeSpeeds.get(runner) ?? new RelativeSpeed({ nowMs: this.#nowMs })
    this.#decodeSpeeds.set(runner, own)
    own.record({ expectedMs: spanMs * usualMs / msPerToken, takenMs: spanMs })
  }

  /** Speed of a decode runner compared with the usual one of its service with as many runs; 1 before it has been measured. */
  decodeSpeed (runner: string): number {
    return this.#decodeSpeeds.get(runner)?.value ?? 1
  }

  /** Usual time for a token with this number of runs, in milliseconds; null before enough steps. */
  #usualMsPerToken (service: string, runs: number): number | null {
    const speeds = this.#speedsOf(service)
    if (speeds.stepsSinceUsual >= STEPS_PER_USUAL) {
      speeds.usualMsPerToken.clear()
      speeds.stepsSinceUsual = 0
    }
    const known = speeds.usualMsPerToken.get(runs)
    if (known !== undefined) return known
    const usualMs = this.msPerToken(service, runs)
    speeds.usualMsPerToken.set(runs, usualMs)
    return usualMs
  }

  /** Expected speed of one prefill runner, in prompt tokens per millisecond: its own if enough prefills were measured, else that of its service, else an assumption. */
  expectedPrefillSpeed (service: string, runner: string): number {
    return speedOf(this.#prefillsByRunner.get(runner), MIN_RUNNER_PREFILLS) ?? speedOf(this.#services.get(service)?.prefills, 1) ?? INITIAL_PREFILL_TOKENS_PER_MS
  }

  /** Measured speed of the service's prefill runners, in prompt tokens per millisecond; null before enough prefills. */
  prefillSpeed (service: string): number | null {
    return speedOf(this.#services.get(service)?.prefills, MIN_SERVICE_PREFILLS)
  }

  /**
   * Measured time for each output token while a runner decodes this number of runs, in milliseconds; null before enough steps.
   * It is read from a line through the medians of the steps with few and with many runs.
   */
  msPerToken (service: string, runs: number): number | null {
    const groups = [...this.#services.get(service)?.stepsByRuns ?? []].sort(([a], [b]) => a - b)
    const byRuns = groups.flatMap(([groupRuns, steps]) => steps.all().map((msPerToken) => ({ runs: groupRuns, msPerToken })))
    if (byRuns.length < MIN_DECODE_STEPS) return null
    const middle = byRuns.length >> 1
    const few = medianStep(byRuns.slice(0, middle))
    const many = medianStep(byRuns.slice(middle))
    if (many.runs - few.runs < MIN_RUNS_DIFFERENCE) return medianOf(byRuns.map(({ msPerToken }) => msPerToken))
    const slope = Math.max(0, (many.msPerToken - few.msPerToken) / (many.runs - few.runs))
    return Math.max(Math.min(few.msPerToken, many.msPerToken) / 2, many.msPerToken + slope * (runs - many.runs))
  }

  /** Deletes the measurements of all runners except the given ones; those of the services are kept. */
  retain (runners: Set<string>): void {
    for (const table of [this.#prefillsByRunner, this.#decodeSpeeds]) {
      for (const runner of table.keys()) if (!runners.has(runner)) table.delete(runner)
    }
  }

  #speedsOf (service: string): ServiceSpeeds {
    const existing = this.#services.get(service)
    if (existing !== undefined) return existing
    const speeds = {
      prefills: newPrefillSpeeds(MAX_SERVICE_PREFILLS),
      stepsByRuns: new Map<number, RecentValues<number>>(),
      usualMsPerToken: new Map<number, number | null>(),
      stepsSinceUsual: 0
    }
    this.#services.set(service, speeds)
    return speeds
  }
}

function newPrefillSpeeds (maxValues: number): PrefillSpeeds {
  return { alone: new RecentValues<number>({ maxValues }), queued: new RecentValues<number>({ maxValues }) }
}

/**
 * The higher one of the median speeds of queued and of other prompts; null if there are too few of either. Latency lowers the one, prompts of
 * other instances lower the other, and neither would show again that a runner has become faster once it is given few prompts.
 */
function speedOf (speeds: PrefillSpeeds | undefined, minPrefills: number): number | null {
  const medians = [speeds?.queued, speeds?.alone].flatMap((values) => values !== undefined && values.count >= minPrefills ? [medianOf(values.all())] : [])
  return medians.length === 0 ? null : Math.max(...medians)
}

function medianStep (steps: readonly DecodeStep[]): DecodeStep {
  return { runs: medianOf(steps.map(({ runs }) => runs)), msPerToken: medianOf(steps.map(({ msPerToken }) => msPerToken)) }
}
