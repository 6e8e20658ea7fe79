/** Standard normal quantiles at the midpoints of nine equal probability shares. */
const NORMAL_QUANTILES = [-1.593, -0.967, -0.589, -0.282, 0, 0.282, 0.589, 0.967, 1.593]

/** Spread of actual lengths around a caller's estimate, as the sigma of a log-normal distribution; the platform states that its hints are correct at the median and often far off. */
const HINT_SIGMA = 0.5

/** Expected length of an output without an estimate, as a share of its maximum. */
const DEFAULT_LENGTH_SHARE = 0.55

/** Expected rest of an output longer than every quantile, as a share of its median. */
const OVERRUN_SHARE = 0.1

export interface OutputLength {
  /** The caller's estimate in tokens; null if there is none. */
  estimateTokens: number | null
  /** Upper limit in tokens. */
  maxTokens: number
}

/** Expected number of output tokens beyond those already produced; never more than the maximum allows. */
export function expectedRemaining ({ estimateTokens, maxTokens }: OutputLength, madeTokens: number): number {
  const limit = Math.max(0, maxTokens - madeTokens)
  const median = estimateTokens ?? maxTokens * DEFAULT_LENGTH_SHARE
  const lengths = NORMAL_QUANTILES.map((quantile) => Math.min(maxTokens, median * Math.exp(HINT_SIGMA * quantile)))
  const longer = lengths.filter((length) => length > madeTokens)
  if (longer.length === 0) return Math.min(limit, median * OVERRUN_SHARE)
  const mean = longer.reduce((sum, length) => sum + length, 0) / longer.length
  return Math.min(limit, mean - madeTokens)
}
