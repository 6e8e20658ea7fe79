/** Current and expected memory of one run on a decode runner, counted in tokens. */
export interface RunMemory {
  /** Tokens that the run holds now: its prompt and its output so far. */
  heldTokens: number
  /** Output tokens that it is still expected to produce. */
  remainingTokens: number
}

/**
 * Expected peak of the memory that the runs hold together, in tokens.
 * All runs of a runner grow by the same number of tokens per step, so the peak is either the present total or the total just before one of them ends.
 */
export function peakMemory (runs: RunMemory[]): number {
  const byRemaining = runs.toSorted((a, b) => a.remainingTokens - b.remainingTokens)
  let totalTokens = byRemaining.reduce((sum, { heldTokens }) => sum + heldTokens, 0)
  let peakTokens = totalTokens
  let grownTokens = 0
  byRemaining.forEach((run, index) => {
    totalTokens += (run.remainingTokens - grownTokens) * (byRemaining.length - index)
    grownTokens = run.remainingTokens
    peakTokens = Math.max(peakTokens, totalTokens)
    totalTokens -= run.heldTokens + run.remainingTokens
  })
  return peakTokens
}
