/** Quantiles of the standard normal distribution at the midpoints of nine equal probability intervals. */
const NORMAL_QUANTILES = [-1.593, -0.967, -0.589, -0.282, 0, 0.282, 0.589, 0.967, 1.593]

/** Spread of actual lengths around a caller's estimate, as the sigma of a log-normal distribution; the platform states that the estimates are correct at the median and often far off. */
const ESTIMATE_SIGMA = 0.5

/** Lengths at the quantiles, as multiples of the median. */
const LENGTH_FACTORS = NORMAL_QUANTILES.map((quantile) => Math.exp(ESTIMATE_SIGMA * quantile))

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
  let longer = 0
  let sum = 0
  // The loop allocates nothing: it runs for each run whenever the forecast of its runner changes.
  for (const factor of LENGTH_FACTORS) {
    const length = Math.min(maxTokens, median * factor)
    if (length <= madeTokens) continue
    longer += 1
    sum += length
  }
  if (longer === 0) return Math.min(limitTokens, median * OVERRUN_SHARE)
  return Math.min(limitTokens, sum / longer - madeTokens)
}

/** Standard deviation of the remaining length around `expectedRemaining`, in tokens. */
export function remainingSpread ({ estimateTokens, maxTokens }: OutputLength, madeTokens: number): number {
  const median = estimateTokens ?? maxTokens * DEFAULT_LENGTH_SHARE
  let longer = 0
  let sum = 0
  let squares = 0
  for (const factor of LENGTH_FACTORS) {
    const length = Math.min(maxTokens, median * factor)
    if (length <= madeTokens) continue
    longer += 1
    sum += length
    squares += length * length
  }
  return longer === 0 ? 0 : Math.sqrt(Math.max(0, squares / longer - (sum / longer) ** 2))
}
