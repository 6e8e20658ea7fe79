import type { Board } from '../board/board.js'
import type { Action } from '../core/action.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { acceptsWork } from './accepts-work.js'
import { DrainActionKind } from './drain-action.js'
import { DrainEventKind } from './drain-event.js'

/** Period at which a drain checks whether it has finished, in milliseconds. */
const DRAIN_CHECK_MS = 100

/** Age from which an unconfirmed cancel no longer delays the exit, in milliseconds: the coordinators release streams whose owner has exited. */
const CANCEL_WAIT_MS = 10000

/** Shuts the instance down when its requests have ended, or when the time limit of the drain has passed. */
export const drainController: Controller = {
  name: 'drain',
  handlers: {
    [DrainEventKind.DrainRequested]: (board, _event, { nowMs }) => {
      if (board.drainingSinceMs !== null) return []
      board.drainingSinceMs = nowMs
      return [{ kind: CoreActionKind.Log, name: 'drain_started', fields: { inFlight: countInFlight(board, nowMs) } }, scheduleDrainCheck()]
    },
    [DrainEventKind.DrainTick]: (board, _event, { nowMs }) => {
      if (board.drainingSinceMs === null) return []
      const sinceMs = nowMs - board.drainingSinceMs
      const idle = !acceptsWork(board, nowMs) && countInFlight(board, nowMs) === 0
      if (!idle && sinceMs < board.tuning.drainLimitMs) return [scheduleDrainCheck()]
      return [
        { kind: CoreActionKind.Log, name: 'drain_finished', fields: { sinceMs, cut: countInFlight(board, nowMs) } },
        { kind: DrainActionKind.Exit }
      ]
    }
  }
}

/** Counts the requests, calls and recent unconfirmed cancels that the exit waits for. */
function countInFlight (board: Board, nowMs: number): number {
  const cancels = [...board.cancels.values()].filter(({ sinceMs }) => nowMs - sinceMs < CANCEL_WAIT_MS)
  return board.requests.size + board.calls.size + cancels.length
}

function scheduleDrainCheck (): Action {
  return { kind: CoreActionKind.Schedule, afterMs: DRAIN_CHECK_MS, event: { kind: DrainEventKind.DrainTick } }
}
