/** Number of standard deviations by which the runs of a runner may together be longer than expected without exceeding its memory. A preempted run is read again, during which all streams of its runner pause. */
const SAFETY_DEVIATIONS = 1

/** Current and expected memory of one run on a decode runner, counted in tokens. */
export interface RunMemory {
  /** Tokens that the run holds now: its prompt and its output so far. */
  heldTokens: number
  /** Output tokens that it is still expected to produce. */
  remainingTokens: number
  /** Standard deviation of the remaining tokens; 0 by default. */
  spreadTokens?: number
}

/** Expected memory of the runs on one decode runner. */
export class MemoryForecast {
  /** Sorted by remaining tokens. */
  readonly #runs: RunMemory[]
  #heldTokens = 0
  #variance = 0

  constructor (options: { runs: RunMemory[] }) {
    this.#runs = options.runs.toSorted((a, b) => a.remainingTokens - b.remainingTokens)
    for (const { heldTokens, spreadTokens = 0 } of this.#runs) {
      this.#heldTokens += heldTokens
      this.#variance += spreadTokens ** 2
    }
  }

  get runCount (): number {
    return this.#runs.length
  }

  /** Tokens that the runs hold now. */
  get heldTokens (): number {
    return this.#heldTokens
  }

  /** Peak of the memory that the runs and the added one are unlikely to exceed, in tokens: lengths are expected right on average only, and the more runs share a runner, the more their differences cancel out. */
  safePeakTokens (added: RunMemory): number {
    return this.peakTokens(added) + SAFETY_DEVIATIONS * Math.sqrt(this.#variance + (added.spreadTokens ?? 0) ** 2)
  }

  /**
   * Expected peak of the memory that the runs hold together, in tokens, with one more run if there is `added`.
   * All runs of a runner grow by the same number of tokens per step, so the peak is either the present total or the total just before one of them ends.
   */
  peakTokens (added: RunMemory | null = null): number {
    let isAddedDue = added !== null
    let growing = this.#runs.length + (isAddedDue ? 1 : 0)
    let totalTokens = this.#heldTokens + (added?.heldTokens ?? 0)
    let peakTokens = totalTokens
    let grownTokens = 0
    for (let index = 0; growing > 0; growing -= 1) {
      const next = this.#runs[index]
      const endsAdded = isAddedDue && added !== null && (next === undefined || added.remainingTokens <= next.remainingTokens)
      const run = endsAdded ? added : next
      if (run === undefined) break
      if (endsAdded) isAddedDue = false
      else index += 1
      totalTokens += (run.remainingTokens - grownTokens) * growing
      grownTokens = run.remainingTokens
      if (totalTokens > peakTokens) peakTokens = totalTokens
      totalTokens -= run.heldTokens + run.remainingTokens
    }
    return peakTokens
  }
}
