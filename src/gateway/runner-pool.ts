import type { BackendServer } from './backend.js'
import { type RunMemory, peakMemory } from './memory-forecast.js'

/** A prefill runner and the time at which it can start another prompt. */
export interface PrefillRunner {
  backend: BackendServer
  /** Time at which it is expected to have processed all prompts assigned to it, in milliseconds. */
  freeAtMs: number
  /** Prompt tokens that it processes per millisecond. */
  tokensPerMs: number
}

/** A decode runner and the runs that hold its memory. */
export interface DecodeRunner {
  backend: BackendServer
  runs: RunMemory[]
}

/** Whether the instance that requests a placement may use a runner. */
export type RunnerFilter = (backend: BackendServer) => boolean

interface RunnerPoolOptions {
  prefill: PrefillRunner[]
  decode: DecodeRunner[]
  /** Maximum number of runs on a decode runner. */
  slots: number
  nowMs: number
  /** Whether the limit of a runner allows another request now; always by default. */
  mayTake?: (backend: BackendServer) => boolean
}

/** Snapshot of a service's runners for one scheduling pass. It is built once per pass rather than per request, as many requests may wait for many runners. */
export class RunnerPool {
  readonly #options: RunnerPoolOptions

  constructor (options: RunnerPoolOptions) {
    this.#options = options
  }

  /** Shortest expected time until a prompt is processed, including the wait for a prefill runner, in milliseconds; null without prefill runners. */
  prefillTimeMs (promptTokens: number): number | null {
    const { prefill, nowMs } = this.#options
    const timesMs = prefill.map(({ freeAtMs, tokensPerMs }) => Math.max(0, freeAtMs - nowMs) + promptTokens / tokensPerMs)
    return timesMs.length === 0 ? null : Math.min(...timesMs)
  }

  /** The decode runner with a free slot whose peak memory with the added run is lowest; null if each would exceed the limit or has no free slot. */
  chooseDecode (added: RunMemory, limitTokens: number, mayUse: RunnerFilter = () => true): DecodeRunner | null {
    let best: DecodeRunner | null = null
    let lowestPeak = limitTokens
    for (const runner of this.#options.decode) {
      if (runner.runs.length >= this.#options.slots || !this.#mayTake(runner) || !mayUse(runner.backend)) continue
      // An empty runner accepts any run: one above the limit could otherwise never be placed.
      const peak = runner.runs.length === 0 ? 0 : peakMemory([...runner.runs, added])
      if (peak > lowestPeak) continue
      lowestPeak = peak
      best = runner
    }
    return best
  }

  /** The prefill runner that becomes free first, preferably in the decode runner's failure domain; 'busy' if none is free within `maxWaitMs` milliseconds, null if there is none that may be used. */
  choosePrefill (decode: BackendServer, maxWaitMs: number, mayUse: RunnerFilter = () => true): PrefillRunner | 'busy' | null {
    const { prefill, nowMs } = this.#options
    const distance = ({ backend }: PrefillRunner): number => backend.failureDomain === decode.failureDomain ? 0 : 1
    const waitMs = ({ freeAtMs }: PrefillRunner): number => Math.max(0, freeAtMs - nowMs)
    const first = prefill.filter((runner) => this.#mayTake(runner) && mayUse(runner.backend)).toSorted((a, b) => waitMs(a) - waitMs(b) || distance(a) - distance(b))[0]
    if (first === undefined) return null
    return waitMs(first) > maxWaitMs ? 'busy' : first
  }

  /** Whether a decode runner is passed over because its limit is used up. */
  get hasExhaustedLimit (): boolean {
    return this.#options.decode.some((runner) => !this.#mayTake(runner))
  }

  #mayTake ({ backend }: { backend: BackendServer }): boolean {
    return this.#options.mayTake?.(backend) ?? true
  }

  /** Adds a placed run to its runners; returns the time at which its prefill is expected to start, in milliseconds. */
  addRun (run: RunMemory, decode: DecodeRunner, prefill: PrefillRunner | null): number {
    decode.runs.push(run)
    if (prefill === null) return this.#options.nowMs
    const startMs = Math.max(this.#options.nowMs, prefill.freeAtMs)
    prefill.freeAtMs = startMs + run.heldTokens / prefill.tokensPerMs
    return startMs
  }
}
