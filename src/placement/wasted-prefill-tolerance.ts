import type { Board } from '../board/board.js'

export const EVEN_TOLERANCE = 0.5

/** How much of a risk of wasted prefill is worth taking for goodput: from 0, none, to 1, all. */
export function wastedPrefillTolerance (board: Board): number {
  const weights = board.bundle?.content.weights
  if (weights === undefined) return EVEN_TOLERANCE
  const sum = weights.goodput + weights.wastedPrefill
  return sum === 0 ? EVEN_TOLERANCE : weights.goodput / sum
}
