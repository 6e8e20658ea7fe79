import type { Board } from '../board/board.js'

/** Tolerance for equal weights, and without weights. */
export const NEUTRAL_TOLERANCE = 0.5

/** How much risk of wasted prefill is accepted for more goodput, from 0 (none) to 1 (any), by the active bundle's weights. */
export function wastedPrefillTolerance (board: Board): number {
  const weights = board.bundle?.content.weights
  if (weights === undefined) return NEUTRAL_TOLERANCE
  const sum = weights.goodput + weights.wastedPrefill
  return sum === 0 ? NEUTRAL_TOLERANCE : weights.goodput / sum
}
