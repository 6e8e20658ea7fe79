import type { Board } from '../board/board.js'

/** Tolerance if the weights of goodput and wasted prefill are equal or missing. */
export const NEUTRAL_TOLERANCE = 0.5

/** Accepted risk of wasted prefill in return for goodput, from 0 (none) to 1 (any), by the active bundle's weights. */
export function wastedPrefillTolerance (board: Board): number {
  const weights = board.bundle?.content.weights
  if (weights === undefined) return NEUTRAL_TOLERANCE
  const sum = weights.goodput + weights.wastedPrefill
  return sum === 0 ? NEUTRAL_TOLERANCE : weights.goodput / sum
}
