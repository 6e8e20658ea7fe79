import type { Board } from '../board/board.js'
import { type ModelRequest, RequestStage } from '../board/model-request.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { CoreActionKind } from '../core/core-action.js'
import { ServerEventKind } from '../placement/server-event.js'
import { abandonAttempt, abandonTransfer, endAssignment } from './abandon.js'
import { denied } from './request-placement.js'
import { computeMs, transferMs } from './prefill-timing.js'
import { GiveUp, giveUp } from './request-end.js'
import { type RequestEvent, RequestEventKind, StageFailure } from './request-event.js'
import { serviceOf, takeRetry } from './retry-budget.js'
import { isAlive, recordOutcome } from './server-health.js'

/** Failed stages of one request, after which it is given up. */
const MAX_FAILURES = 5

/** Decode connections opened again without a new token in between. */
const MAX_RESUMES = 3

const RETRY_BACKOFF_MS = 50

/** Shorter than the back-off of other retries: a prefill result lives for less than a second. */
const TRANSFER_BACKOFF_MS = 25

/** The engine answered, or was never reached, and holds nothing of the stage. */
const HOLDS_NOTHING = new Set([StageFailure.Full, StageFailure.Leaving, StageFailure.Rejected, StageFailure.Unreachable])

/** The runner is in order and has not begun. */
const TAKES_NO_WORK = new Set([StageFailure.Full, StageFailure.Leaving])

/** Failures after which the same server is tried again. */
const SERVER_IS_FINE = new Set([StageFailure.Evicted, StageFailure.Full, StageFailure.SourceUnreachable])

/** After these the engine may still hold the stream, so that it can be resumed. */
const RESUMABLE = new Set([StageFailure.Broken, StageFailure.TimedOut, StageFailure.Unreachable])

/** A failed prefill is repeated on another pair of runners. */
export function prefillFailed (board: Board, request: ModelRequest, failure: StageFailure, context: Context): Action[] {
  if (TAKES_NO_WORK.has(failure)) return refusedPrefill(board, request, failure, context)
  const log = noteFailure(board, request, request.prefillServer, failure, context)
  if (HOLDS_NOTHING.has(failure)) request.stage = RequestStage.Reserved
  return [log, ...retry(board, request, context)]
}

/** No work is repeated, so the retry budget is not charged. */
function refusedPrefill (board: Board, request: ModelRequest, failure: StageFailure, context: Context): Action[] {
  const { prefillServer } = request
  recordOutcome(board, prefillServer, failure, context.nowMs)
  const log = logFailure(request, prefillServer, failure)
  request.stage = RequestStage.Reserved
  return [log, ...reportLeaving(prefillServer, failure), ...denied(board, request, `${prefillServer ?? ''} is ${failure}`, context)]
}

function reportLeaving (server: string | null, failure: StageFailure): Action[] {
  if (server === null || failure !== StageFailure.Leaving) return []
  return [{ kind: CoreActionKind.Emit, event: { kind: ServerEventKind.ServerLeaving, server } }]
}

/** A failed transfer is repeated while the prefill result lives, else with a new prefill. */
export function transferFailed (board: Board, request: ModelRequest, failure: StageFailure, context: Context): Action[] {
  const leaving = reportLeaving(request.decodeServer, failure)
  const log = [noteFailure(board, request, request.decodeServer, failure, context), ...leaving]
  if (HOLDS_NOTHING.has(failure)) request.stage = RequestStage.Reserved
  if (failure === StageFailure.SourceUnreachable) excludeSource(board, request, context)
  const delayMs = backoff(TRANSFER_BACKOFF_MS, request.failures, context)
  const alive = request.handle !== null && request.handleExpiresMs > context.nowMs + delayMs
  if (!alive || failure === StageFailure.Evicted || failure === StageFailure.SourceUnreachable) return [...log, ...retry(board, request, context)]
  const refusal = mayRetry(board, request, transferMs(board, request), context)
  if (refusal !== null) return [...log, ...giveUp(board, request, refusal, context)]
  return [...log, ...abandonTransfer(board, request, context), schedule(request, delayMs, RequestEventKind.RetryDue)]
}

/** A broken stream is resumed on the same runner; a lost one starts over unless the caller has seen a part of it. */
export function decodeFailed (board: Board, request: ModelRequest, failure: StageFailure, context: Context): Action[] {
  const { decodeServer } = request
  const dead = failure === StageFailure.TimedOut && !isAlive(board, decodeServer, context.nowMs)
  if (RESUMABLE.has(failure) && !dead && request.resumes < MAX_RESUMES) {
    recordOutcome(board, decodeServer, failure, context.nowMs)
    request.resumes += 1
    const delayMs = backoff(RETRY_BACKOFF_MS, request.resumes, context)
    return [logFailure(request, decodeServer, failure), schedule(request, delayMs, RequestEventKind.ResumeDue)]
  }
  const log = noteFailure(board, request, decodeServer, failure, context)
  // A new attempt may sample another text, which must not follow tokens that the caller has already.
  if (request.stream && request.tokens > 0) return [log, ...giveUp(board, request, GiveUp.StreamLost, context)]
  return [log, ...retry(board, request, context)]
}

/** Gives up the attempt and starts over with a new prefill. */
function retry (board: Board, request: ModelRequest, context: Context): Action[] {
  const delayMs = backoff(RETRY_BACKOFF_MS, request.failures, context)
  const refusal = mayRetry(board, request, delayMs + computeMs(board, request) + transferMs(board, request), context)
  if (refusal !== null) return giveUp(board, request, refusal, context)
  return [...abandonAttempt(board, request, context), schedule(request, delayMs, RequestEventKind.RetryDue)]
}

/** Returns why no further attempt is made, or null if one may be. */
function mayRetry (board: Board, request: ModelRequest, neededMs: number, { nowMs }: Context): GiveUp | null {
  if (request.failures >= MAX_FAILURES) return GiveUp.Failures
  if (nowMs + neededMs >= request.deadlineMs) return GiveUp.Deadline
  return takeRetry(board, serviceOf(board, request.model)) ? null : GiveUp.RetryBudget
}

function noteFailure (board: Board, request: ModelRequest, server: string | null, failure: StageFailure, { nowMs }: Context): Action {
  recordOutcome(board, server, failure, nowMs)
  if (request.stage === RequestStage.Prefilling) endAssignment(board, request)
  request.failures += 1
  request.lastFault = `${request.stage} on ${server ?? ''}: ${failure}`
  if (server !== null && !SERVER_IS_FINE.has(failure)) request.excluded.push(server)
  return logFailure(request, server, failure)
}

function excludeSource (board: Board, request: ModelRequest, { nowMs }: Context): void {
  recordOutcome(board, request.prefillServer, StageFailure.Unreachable, nowMs)
  if (request.prefillServer !== null) request.excluded.push(request.prefillServer)
}

function logFailure (request: ModelRequest, server: string | null, failure: StageFailure): Action {
  const fields = { request: request.id, attempt: request.attempt, stage: request.stage, server: server ?? '', failure }
  return { kind: CoreActionKind.Log, name: 'stage_failed', fields }
}

function backoff (baseMs: number, times: number, { random }: Context): number {
  return baseMs * 2 ** Math.max(0, times - 1) * (0.5 + random())
}

function schedule (request: ModelRequest, afterMs: number, kind: RequestEventKind.ResumeDue | RequestEventKind.RetryDue): Action {
  const event: RequestEvent = { kind, request: request.id, attempt: request.attempt }
  return { kind: CoreActionKind.Schedule, afterMs, event }
}
