import type { BackendServer } from './backend.js'
import { type RunMemory, peakMemory } from './memory-forecast.js'

/** A prefill runner with the prompts given to it. */
export interface PrefillRunner {
  backend: BackendServer
  /** When it is expected to have read them. */
  freeAtMs: number
  /** Prompt tokens that it reads in a millisecond. */
  tokensPerMs: number
}

/** A decode runner with its runs. */
export interface DecodeRunner {
  backend: BackendServer
  runs: RunMemory[]
}

interface RunnerPoolOptions {
  prefill: PrefillRunner[]
  decode: DecodeRunner[]
  slots: number
  nowMs: number
}

/** The runners of a service as one pass over the waiting requests sees them; built once a pass, as many requests may wait for many runners. */
export class RunnerPool {
  readonly #options: RunnerPoolOptions

  constructor (options: RunnerPoolOptions) {
    this.#options = options
  }

  /** Time until a prompt would be read, in milliseconds; null without prefill runners. */
  promptMs (promptTokens: number): number | null {
    const { prefill, nowMs } = this.#options
    const waits = prefill.map(({ freeAtMs, tokensPerMs }) => Math.max(0, freeAtMs - nowMs) + promptTokens / tokensPerMs)
    return waits.length === 0 ? null : Math.min(...waits)
  }

  /** The decode runner whose memory peaks lowest with the run, if that is within the limit. */
  chooseDecode (added: RunMemory, limitTokens: number): DecodeRunner | null {
    let best: DecodeRunner | null = null
    let lowest = limitTokens
    for (const runner of this.#options.decode) {
      if (runner.runs.length >= this.#options.slots) continue
      // A run larger than the usual share may have an empty runner for itself.
      const peak = runner.runs.length === 0 ? 0 : peakMemory([...runner.runs, added])
      if (peak > lowest) continue
      lowest = peak
      best = runner
    }
    return best
  }

  /** The prefill runner that is free first, near the decode runner if several are; 'busy' if none is free soon, null if there is none. */
  choosePrefill (decode: BackendServer, longestWaitMs: number): PrefillRunner | 'busy' | null {
    const { prefill, nowMs } = this.#options
    const far = ({ backend }: PrefillRunner): number => backend.failureDomain === decode.failureDomain ? 0 : 1
    const wait = ({ freeAtMs }: PrefillRunner): number => Math.max(0, freeAtMs - nowMs)
    const first = prefill.toSorted((a, b) => wait(a) - wait(b) || far(a) - far(b))[0]
    if (first === undefined) return null
    return wait(first) > longestWaitMs ? 'busy' : first
  }

  /** Notes a run that has been placed; returns when its prefill begins. */
  add (run: RunMemory, decode: DecodeRunner, prefill: PrefillRunner | null): number {
    decode.runs.push(run)
    if (prefill === null) return this.#options.nowMs
    const startMs = Math.max(this.#options.nowMs, prefill.freeAtMs)
    prefill.freeAtMs = startMs + run.heldTokens / prefill.tokensPerMs
    return startMs
  }
}
