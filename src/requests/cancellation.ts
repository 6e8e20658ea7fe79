import { type Board, type PendingCancel, StageCall } from '../board/board.js'
import { workId } from '../board/model-request.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { RequestActionKind } from './request-action.js'
import { RequestEventKind } from './request-event.js'

/** Delay before an unconfirmed cancel is sent again, in milliseconds; it doubles with each cancel. */
const CANCEL_RETRY_MS = 200

/** Upper bound of the delay between two cancels before it is randomised, in milliseconds: allows several retries within the 5 s in which held memory must be freed. */
const MAX_CANCEL_RETRY_MS = 1000

/**
 * Time since the first cancel after which the call that started the work counts as returned, in milliseconds. The time
 * limits of all stage calls are far below it.
 */
const CALL_RETURN_TIMEOUT_MS = 60000

/**
 * Cancels work on an engine, and sends the cancel again until the engine confirms it. `awaited` is the call that starts
 * the work, or null if that call has returned; no confirmation is final before it returns. Does nothing if `server` is null.
 */
export function cancelWork (board: Board, work: string, server: string | null, context: Context, awaited: StageCall | null = null): Action[] {
  if (server === null) return []
  const pending: PendingCancel = { work, server, sinceMs: context.nowMs, attempts: 0, awaited, finalFrom: 0 }
  board.cancels.set(cancelKey(work, server), pending)
  return sendCancel(pending, context)
}

/** Resends each cancel until the engine confirms it. */
export const cancellationController: Controller = {
  name: 'cancellation',
  handlers: {
    [RequestEventKind.CancelConfirmed]: (board, { work, server, cancel }) => {
      const pending = board.cancels.get(cancelKey(work, server))
      if (pending === undefined || pending.awaited !== null) return []
      // A cancel before `finalFrom` may have reached the engine before the call that started the work: its confirmation is not final.
      if ((cancel ?? pending.attempts) >= pending.finalFrom) board.cancels.delete(cancelKey(work, server))
      return []
    },
    [RequestEventKind.CancelDue]: (board, { work, server }, context) => {
      const pending = board.cancels.get(cancelKey(work, server))
      if (pending === undefined) return []
      // A server that is no longer listed holds no memory that a cancel could free.
      if (!board.servers.has(server)) {
        board.cancels.delete(cancelKey(work, server))
        return []
      }
      if (context.nowMs - pending.sinceMs > CALL_RETURN_TIMEOUT_MS) pending.awaited = null
      return sendCancel(pending, context)
    },
    [RequestEventKind.PrefillFinished]: (board, event) => cancelAfterCallReturned(board, event, StageCall.Prefill),
    [RequestEventKind.PrefillFailed]: (board, event) => cancelAfterCallReturned(board, event, StageCall.Prefill),
    [RequestEventKind.TransferFinished]: (board, event) => cancelAfterCallReturned(board, event, StageCall.Transfer),
    [RequestEventKind.TransferFailed]: (board, event) => cancelAfterCallReturned(board, event, StageCall.Transfer)
  }
}

/** Sends one more cancel when the call that started the work has returned: the work may have started after the earlier cancels. */
function cancelAfterCallReturned (board: Board, event: { request: string, attempt: number }, call: StageCall): Action[] {
  const work = workId({ id: event.request, attempt: event.attempt })
  const actions: Action[] = []
  for (const pending of board.cancels.values()) {
    if (pending.work !== work || pending.awaited !== call) continue
    pending.awaited = null
    pending.attempts += 1
    pending.finalFrom = pending.attempts
    actions.push({ kind: RequestActionKind.CancelWork, work, server: pending.server, cancel: pending.attempts })
  }
  return actions
}

export function cancelKey (work: string, server: string): string {
  return `${work}@${server}`
}

function sendCancel (pending: PendingCancel, { random }: Context): Action[] {
  const { work, server, attempts } = pending
  const afterMs = Math.min(MAX_CANCEL_RETRY_MS, CANCEL_RETRY_MS * 2 ** attempts) * (0.75 + random() / 2)
  pending.attempts += 1
  return [
    { kind: RequestActionKind.CancelWork, work, server, cancel: pending.attempts },
    { kind: CoreActionKind.Schedule, afterMs, event: { kind: RequestEventKind.CancelDue, work, server } }
  ]
}
