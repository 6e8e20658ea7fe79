/** Standard normal quantiles at the middles of nine equal shares. */
const NORMAL_QUANTILES = [-1.593, -0.967, -0.589, -0.282, 0, 0.282, 0.589, 0.967, 1.593]

/** Spread of real lengths around a caller's estimate, as the sigma of a log-normal distribution; the platform calls its hints right at the median and often far off. */
const HINT_SIGMA = 0.5

/** Share of the maximum that is expected of a request without an estimate. */
const DEFAULT_SHARE = 0.55

/** Share of the estimate expected as the rest of a run that outgrew every quantile. */
const OVERRUN_SHARE = 0.1

export interface OutputLength {
  /** The caller's estimate in tokens, or null. */
  estimateTokens: number | null
  maxTokens: number
}

/** Output tokens expected beyond those made already. */
export function expectedRemaining ({ estimateTokens, maxTokens }: OutputLength, madeTokens: number): number {
  const left = Math.max(0, maxTokens - madeTokens)
  const median = estimateTokens ?? maxTokens * DEFAULT_SHARE
  const lengths = NORMAL_QUANTILES.map((quantile) => Math.min(maxTokens, median * Math.exp(HINT_SIGMA * quantile)))
  const longer = lengths.filter((length) => length > madeTokens)
  if (longer.length === 0) return Math.min(left, median * OVERRUN_SHARE)
  const mean = longer.reduce((sum, length) => sum + length, 0) / longer.length
  return Math.min(left, mean - madeTokens)
}
