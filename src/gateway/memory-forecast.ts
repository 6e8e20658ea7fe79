/** One run as a decode runner's memory sees it. */
export interface RunMemory {
  /** Tokens that the run holds now: its prompt and what it has made. */
  heldTokens: number
  /** Tokens that it is expected to make still. */
  remainingTokens: number
}

/**
 * Highest memory in tokens that the runs are expected to hold together.
 * All runs of a runner grow by the same number of tokens a step, so memory peaks just before one of them ends.
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
