import type { Board } from '../board/board.js'

/** Time until other instances no longer return the address of a leaving instance, in milliseconds: the lag of the instance list plus one period of reading it. */
export const LEAVE_PROPAGATION_MS = 3000

/** Whether this instance accepts new work: always outside a drain, and during a drain as long as a caller may use an earlier address response that names it. */
export function acceptsWork (board: Board, nowMs: number): boolean {
  const { drainingSinceMs, tuning } = board
  return drainingSinceMs === null || nowMs - drainingSinceMs < tuning.addressLifetimeMs + LEAVE_PROPAGATION_MS
}
