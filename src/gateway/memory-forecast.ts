/** Current and expected memory of one run on a decode runner. */
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
  const byEnd = runs.toSorted((a, b) => a.remainingTokens - b.remainingTokens)
  let held = byEnd.reduce((sum, { heldTokens }) => sum + heldTokens, 0)
  let peak = held
  let grown = 0
  byEnd.forEach((run, index) => {
    held += (run.remainingTokens - grown) * (byEnd.length - index)
    grown = run.remainingTokens
    peak = Math.max(peak, held)
    held -= run.heldTokens + run.remainingTokens
  })
  return peak
}
