import type { BackendServer } from './backend.js'
import type { MemoryForecast, RunMemory } from './memory-forecast.js'

/** A prefill runner and the time at which it can start another prompt. */
export interface PrefillRunner {
  backend: BackendServer
  /** Time at which it is expected to have processed all prompts assigned to it, in milliseconds. */
  freeAtMs: number
  /** Prompt tokens that it processes per millisecond. */
  tokensPerMs: number
}

/** A decode runner and the expected memory of its runs. */
export interface DecodeRunner {
  backend: BackendServer
  /** Called for each comparison, as a placement changes it. */
  forecast: () => MemoryForecast
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

/** The runners of a service during one scheduling pass. It is built once per pass rather than per request, as many requests may wait for many runners. */
export class RunnerPool {
  readonly #options: RunnerPoolOptions

  constructor (options: RunnerPoolOptions) {
    this.#options = options
  }

  /** Shortest expected time until a prompt is processed, including the wait for a prefill runner, in milliseconds; null without prefill runners. */
  prefillTimeMs (promptTokens: number): number | null {
    const { prefill, nowMs } = this.#options
    let shortestMs = Infinity
    for (const { freeAtMs, tokensPerMs } of prefill) shortestMs = Math.min(shortestMs, Math.max(0, freeAtMs - nowMs) + promptTokens / tokensPerMs)
    return prefill.length === 0 ? null : shortestMs
  }

  /** The decode runner with a free slot whose peak memory with the added run is lowest; null if each would exceed the limit or has no free slot. */
  chooseDecode (added: RunMemory, limitTokens: number, mayUse: RunnerFilter = () => true): DecodeRunner | null {
    let best: DecodeRunner | null = null
    let lowestPeak = limitTokens
    for (const runner of this.#options.decode) {
      const forecast = runner.forecast()
      if (forecast.runCount >= this.#options.slots || !this.#mayTake(runner) || !mayUse(runner.backend)) continue
      // An empty runner accepts any run: one above the limit could otherwise never be placed.
      const isEmpty = forecast.runCount === 0
      if (!isEmpty && forecast.heldTokens + added.heldTokens > lowestPeak) continue
      const peak = isEmpty ? 0 : forecast.peakTokens(added)
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
    let first: PrefillRunner | null = null
    for (const runner of prefill) {
      if (!this.#mayTake(runner) || !mayUse(runner.backend)) continue
      if (first === null || waitMs(runner) - waitMs(first) < 0 || (waitMs(runner) === waitMs(first) && distance(runner) < distance(first))) first = runner
    }
    if (first === null) return null
    return waitMs(first) > maxWaitMs ? 'busy' : first
  }

  /** Whether a decode runner is passed over because its limit is used up. */
  get hasExhaustedLimit (): boolean {
    return this.#options.decode.some((runner) => !this.#mayTake(runner))
  }

  #mayTake ({ backend }: { backend: BackendServer }): boolean {
    return this.#options.mayTake?.(backend) ?? true
  }

  /** Assigns a prompt to a prefill runner; returns the time at which its prefill is expected to start, in milliseconds. */
  addPrompt (promptTokens: number, prefill: PrefillRunner | null): number {
    if (prefill === null) return this.#options.nowMs
    const startMs = Math.max(this.#options.nowMs, prefill.freeAtMs)
    prefill.freeAtMs = startMs + promptTokens / prefill.tokensPerMs
    return startMs
  }
}
