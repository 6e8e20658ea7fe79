import type { BackendServer } from './backend.js'
import type { MemoryForecast, RunMemory } from './memory-forecast.js'

/** Cost of moving a prompt's KV cache to another failure domain, in milliseconds: the transfer takes twice as long there, and operators pay for the bytes. */
const KV_CACHE_CROSSING_MS = 20

/** Cost of a decode runner outside the failure domain of the requesting instance, in milliseconds: a longer way for each event, of a few bytes. */
const STREAM_CROSSING_MS = 2

/** Cost of a decode runner whose memory is full, compared with an empty one, in milliseconds: its steps take longer, and an answer longer than expected finds no room. */
const FULL_MEMORY_MS = 100

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
  /** Its speed compared with the usual one of its service; 1 is the usual one. */
  speed: number
  /** Called for each comparison, as a placement changes it. */
  forecast: () => MemoryForecast
}

export interface RunnerPair {
  decode: DecodeRunner
  /** Null if the decode runner has to process the prompt itself. */
  prefill: PrefillRunner | null
}

/** What a pool lacks for a run. */
export enum PairShortage {
  /** No decode runner that may be used has memory and a free slot. */
  NoMemory = 'no-memory',
  /** No prefill runner that may be used is free soon enough. */
  PrefillBusy = 'prefill-busy'
}

/** Whether the instance that requests a placement may use a runner. */
export type RunnerFilter = (backend: BackendServer) => boolean

/** A run for which a pair of runners is chosen. */
interface AddedRun {
  memory: RunMemory
  /** Failure domain of the requesting instance; null if all are equal. */
  failureDomain: string | null
  /** Memory that the runs of a decode runner may fill together, in tokens. */
  limitTokens: number
  /** Longest backlog of a prefill runner that may get another prompt, in milliseconds. */
  maxPrefillWaitMs: number
  mayUse?: RunnerFilter
}

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

  /** The pair with the lowest cost in time: the wait for the prefill runner, the prompt at its speed, the memory of the decode runner, and the failure domains that are left. */
  choosePair (added: AddedRun): RunnerPair | PairShortage {
    const candidates = this.#decodeCandidates(added)
    if (candidates.length === 0) return PairShortage.NoMemory
    const { maxPrefillWaitMs, memory, mayUse = () => true, failureDomain, limitTokens } = added
    const usable = this.#options.prefill.filter((runner) => this.#mayTake(runner) && mayUse(runner.backend))
    const free = usable.filter((runner) => this.#waitMs(runner) <= maxPrefillWaitMs)
    if (usable.length > 0 && free.length === 0) return PairShortage.PrefillBusy
    let best: RunnerPair | null = null
    let lowestMs = Infinity
    for (const { runner: decode, load } of candidates) {
      const decodeMs = load / limitTokens * FULL_MEMORY_MS + (failureDomain === null || decode.backend.failureDomain === failureDomain ? 0 : STREAM_CROSSING_MS)
      const prefill = this.#bestPrefill(free, decode, memory.heldTokens)
      const costMs = decodeMs + (prefill === null ? 0 : this.#prefillCostMs(prefill, decode, memory.heldTokens))
      if (costMs > lowestMs) continue
      lowestMs = costMs
      best = { decode, prefill }
    }
    return best ?? PairShortage.NoMemory
  }

  /** Whether a decode runner is passed over because its limit is used up. */
  get hasExhaustedLimit (): boolean {
    return this.#options.decode.some((runner) => !this.#mayTake(runner))
  }

  /** Assigns a prompt to a prefill runner; returns the time at which its prefill is expected to start, in milliseconds. */
  addPrompt (promptTokens: number, prefill: PrefillRunner | null): number {
    if (prefill === null) return this.#options.nowMs
    const startMs = Math.max(this.#options.nowMs, prefill.freeAtMs)
    prefill.freeAtMs = startMs + promptTokens / prefill.tokensPerMs
    return startMs
  }

  /** In each failure domain, the decode runner with memory and a free slot whose peak memory with the added run is lowest for its speed. A slow runner holds its runs longer, so it gets fewer. */
  #decodeCandidates ({ memory, limitTokens, mayUse = () => true }: AddedRun): Array<{ runner: DecodeRunner, load: number }> {
    const byDomain = new Map<string, { runner: DecodeRunner, load: number }>()
    for (const runner of this.#options.decode) {
      const forecast = runner.forecast()
      if (forecast.runCount >= this.#options.slots || !this.#mayTake(runner) || !mayUse(runner.backend)) continue
      // An empty runner accepts any run: one above the limit could otherwise never be placed.
      const isEmpty = forecast.runCount === 0
      const lowestLoad = byDomain.get(runner.backend.failureDomain)?.load ?? Infinity
      if (!isEmpty && forecast.heldTokens + memory.heldTokens > Math.min(limitTokens, lowestLoad * runner.speed)) continue
      const peakTokens = isEmpty ? memory.heldTokens : forecast.safePeakTokens(memory)
      const load = peakTokens / runner.speed
      if ((!isEmpty && peakTokens > limitTokens) || load > lowestLoad) continue
      byDomain.set(runner.backend.failureDomain, { runner, load })
    }
    return [...byDomain.values()]
  }

  #bestPrefill (runners: PrefillRunner[], decode: DecodeRunner, promptTokens: number): PrefillRunner | null {
    let best: PrefillRunner | null = null
    let lowestMs = Infinity
    for (const runner of runners) {
      const costMs = this.#prefillCostMs(runner, decode, promptTokens)
      if (costMs >= lowestMs) continue
      lowestMs = costMs
      best = runner
    }
    return best
  }

  #prefillCostMs (prefill: PrefillRunner, decode: DecodeRunner, promptTokens: number): number {
    const crossingMs = prefill.backend.failureDomain === decode.backend.failureDomain ? 0 : KV_CACHE_CROSSING_MS
    return this.#waitMs(prefill) + promptTokens / prefill.tokensPerMs + crossingMs
  }

  #waitMs ({ freeAtMs }: PrefillRunner): number {
    return Math.max(0, freeAtMs - this.#options.nowMs)
  }

  #mayTake ({ backend }: { backend: BackendServer }): boolean {
    return this.#options.mayTake?.(backend) ?? true
  }
}
