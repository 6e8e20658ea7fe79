import type { Board } from '../board/board.js'

/** Other instances give out this one's address until they know that it is leaving: the lag of the instance list and a period of reading it. */
export const LEAVE_PROPAGATION_MS = 3000

/** Whether a caller may still hold an address answer that names this instance. */
export function acceptsWork (board: Board, nowMs: number): boolean {
  const { drainingSinceMs, tuning } = board
  return drainingSinceMs === null || nowMs - drainingSinceMs < tuning.addressLifetimeMs + LEAVE_PROPAGATION_MS
}
