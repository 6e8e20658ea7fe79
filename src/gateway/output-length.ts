/** Quantiles of the standard normal distribution at the midpoints of nine equal probability intervals. */
const NORMAL_QUANTILES = [-1.593, -0.967, -0.589, -0.282, 0, 0.282, 0.589, 0.967, 1.593]

/** Spread of actual lengths around a caller's estimate, as the sigma of a log-normal distribution; the platform states that the estimates are correct at the median and often far off. */
const ESTIMATE_SIGMA = 0.5

/** Expected length of an output without an estimate, as a share of its maximum. */
const DEFAULT_LENGTH_SHARE = 0.55

/** Expected remaining length of an output that is already longer than all quantiles, as a share of the median length. */
const OVERRUN_SHARE = 0.1

export interface OutputLength {
  /** The caller's estimate in tokens; null if there is none. */
  estimateTokens: number | null
  /** Upper limit in tokens. */
  maxTokens: number
}

/** Expected number of output tokens beyond those already produced; never more than the maximum allows. */
export function expectedRemaining ({ estimateTokens, maxTokens }: OutputLength, madeTokens: number): number {
  const limitTokens = Math.max(0, maxTokens - madeTokens)
  const median = estimateTokens ?? maxTokens * DEFAULT_LENGTH_SHARE
  const lengths = NORMAL_QUANTILES.map((quantile) => Math.min(maxTokens, median * Math.exp(ESTIMATE_SIGMA * quantile)))
  const longer = lengths.filter((length) => length > madeTokens)
  if (longer.length === 0) return Math.min(limitTokens, median * OVERRUN_SHARE)
  const mean = longer.reduce((sum, length) => sum + length, 0) / longer.length
  return Math.min(limitTokens, mean - madeTokens)
}
