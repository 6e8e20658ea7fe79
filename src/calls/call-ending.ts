import type { Board } from '../board/board.js'
import type { CallAttempt } from '../board/call-attempt.js'
import type { Action } from '../core/action.js'
import type { RefusalKind } from '../errors/refusal.js'
import { CallActionKind } from './call-action.js'
import { CallOutcome } from './call-event.js'
import { releaseQuota } from './call-limits.js'
import { abandonClaim, storeAnswer, findDispatchedRecord } from './key-records.js'

/** Time after which a refused caller may retry, in ms. */
export const RETRY_AFTER_MS = 1000

/** Removes an attempt from the blackboard and releases its quota; its answer stays stored if `keepAnswer` is set. */
export function endAttempt (board: Board, attempt: CallAttempt, keepAnswer = false): Action[] {
  releaseQuota(board, attempt)
  board.calls.delete(attempt.call)
  return [{ kind: CallActionKind.ReleaseCall, call: attempt.call, keepAnswer }]
}

/** Refuses an attempt if its connection still waits for an answer, and ends the attempt. */
export function refuse (board: Board, attempt: CallAttempt, refusal: RefusalKind, detail: string): Action[] {
  return [...refuseConnection(attempt, refusal, detail), ...endAttempt(board, attempt)]
}

/** Refuses the connection of an attempt if it still waits for an answer; the attempt itself continues. */
export function refuseConnection (attempt: CallAttempt, refusal: RefusalKind, detail: string): Action[] {
  if (!attempt.open) return []
  attempt.open = false
  return [{ kind: CallActionKind.RefuseCall, call: attempt.call, refusal, detail, retryAfterMs: RETRY_AFTER_MS }]
}

/** Ends a dispatched call with the backend server's answer. The newest connection gets it, and the key record stores it. */
export function settleWithAnswer (board: Board, attempt: CallAttempt, outcome: CallOutcome, bytes: number): Action[] {
  const record = findDispatchedRecord(board, attempt)
  const recipient = record === undefined ? attempt : board.calls.get(record.newest)
  const actions: Action[] = []
  if (recipient?.open === true) {
    recipient.open = false
    actions.push({ kind: CallActionKind.AnswerCall, call: recipient.call, source: attempt.call, replayed: false })
  }
  if (recipient !== undefined && recipient !== attempt) actions.push(...endAttempt(board, recipient))
  actions.push(...endAttempt(board, attempt, record !== undefined))
  if (record === undefined) return actions
  return [...actions, ...recordOutcome(board, attempt, outcome), ...storeAnswer(board, record, attempt.call, bytes)]
}

interface UnansweredResult {
  outcome: CallOutcome.NotRun | CallOutcome.Unknown
  refusal: RefusalKind
  detail: string
}

/** Ends a call that got no answer from a backend server: records the outcome and refuses the connections that wait. */
export function settleWithRefusal (board: Board, attempt: CallAttempt, { outcome, refusal, detail }: UnansweredResult): Action[] {
  const record = findDispatchedRecord(board, attempt)
  const actions = recordOutcome(board, attempt, outcome)
  const newestAttempt = record === undefined ? undefined : board.calls.get(record.newest)
  if (newestAttempt !== undefined && newestAttempt !== attempt) actions.push(...refuse(board, newestAttempt, refusal, detail))
  return [...actions, ...refuse(board, attempt, refusal, detail)]
}

function recordOutcome (board: Board, attempt: CallAttempt, outcome: CallOutcome): Action[] {
  const record = findDispatchedRecord(board, attempt)
  if (record === undefined) return []
  record.outcome = outcome
  if (record.nonce === null) return []
  const { organisation, key, bodyHash, nonce } = record
  if (outcome === CallOutcome.NotRun) abandonClaim(record)
  return [{ kind: CallActionKind.RecordOutcome, organisation, key, bodyHash, nonce, outcome }]
}
