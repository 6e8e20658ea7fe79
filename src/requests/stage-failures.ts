import type { Board } from '../board/board.js'
import { type ModelRequest, RequestStage } from '../board/model-request.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { CoreActionKind } from '../core/core-action.js'
import { ServerEventKind } from '../placement/server-event.js'
import { abandonAttempt, abandonTransfer, releaseAssignedTokens } from './abandon.js'
import { handleDenial } from './request-placement.js'
import { estimateComputeMs, estimateTransferMs } from './prefill-timing.js'
import { GiveUpReason, giveUp } from './request-end.js'
import { type RequestEvent, RequestEventKind, StageFailure } from './request-event.js'
import { serviceOf, consumeRetry } from './retry-budget.js'
import { hasFreshLoadReport, recordOutcome } from './server-health.js'

/** Number of failed stages after which a request is given up. */
const MAX_FAILURES = 5

/** Number of times a decode connection is reopened without a new token before the stage counts as failed. */
const MAX_RESUMES = 3

/** Base of the delay before a new attempt or a resume, in milliseconds; it doubles with each failure. */
const RETRY_BACKOFF_MS = 50

/** Base of the delay before a transfer retry, in milliseconds; short because a prefill result is evicted in less than a second. */
const TRANSFER_BACKOFF_MS = 25

/**
 * Failures after which the engine holds no work of the stage: it refused the work, or was never reached. A failed
 * prefill or transfer then sets the stage back to `Reserved`, so that no cancel is sent for the work and it does not count as run.
 */
const FAILURES_WITHOUT_WORK = new Set([StageFailure.Full, StageFailure.Leaving, StageFailure.Rejected, StageFailure.Unreachable])

/** Failures that mean that a healthy runner refused the work before starting it. */
const REFUSALS_BEFORE_START = new Set([StageFailure.Full, StageFailure.Leaving])

/** Failures that do not exclude the server from further placements of the request. */
const NON_EXCLUDING_FAILURES = new Set([StageFailure.Evicted, StageFailure.Full, StageFailure.SourceUnreachable])

/** Failures after which the engine may still hold the stream, so that it can be resumed. */
const RESUMABLE_FAILURES = new Set([StageFailure.Broken, StageFailure.TimedOut, StageFailure.Unreachable])

/** Retries a failed prefill with a new placement. */
export function handlePrefillFailure (board: Board, request: ModelRequest, failure: StageFailure, context: Context): Action[] {
  if (REFUSALS_BEFORE_START.has(failure)) return handlePrefillRefusal(board, request, failure, context)
  const log = recordFailedStage(board, request, request.prefillServer, failure, context)
  if (FAILURES_WITHOUT_WORK.has(failure)) request.stage = RequestStage.Reserved
  return [log, ...retryAttempt(board, request, context)]
}

/** Places the request again after a runner refused the prefill. No work has to be repeated, so the retry budget is not charged. */
function handlePrefillRefusal (board: Board, request: ModelRequest, failure: StageFailure, context: Context): Action[] {
  const { prefillServer } = request
  recordOutcome(board, prefillServer, failure, context.nowMs)
  const log = logFailure(request, prefillServer, failure)
  // The runner holds no work to cancel, see `FAILURES_WITHOUT_WORK`.
  request.stage = RequestStage.Reserved
  return [log, ...reportLeaving(prefillServer, failure), ...handleDenial(board, request, `${prefillServer ?? ''} is ${failure}`, context)]
}

function reportLeaving (server: string | null, failure: StageFailure): Action[] {
  if (server === null || failure !== StageFailure.Leaving) return []
  return [{ kind: CoreActionKind.Emit, event: { kind: ServerEventKind.ServerLeaving, server } }]
}

/** Retries a failed transfer with the same prefill result as long as that is valid, otherwise with a new prefill. */
export function handleTransferFailure (board: Board, request: ModelRequest, failure: StageFailure, context: Context): Action[] {
  const leaving = reportLeaving(request.decodeServer, failure)
  const actions = [recordFailedStage(board, request, request.decodeServer, failure, context), ...leaving]
  if (FAILURES_WITHOUT_WORK.has(failure)) request.stage = RequestStage.Reserved
  if (failure === StageFailure.SourceUnreachable) excludePrefillServer(board, request, context)
  const delayMs = backoffMs(TRANSFER_BACKOFF_MS, request.failures, context)
  const resultValid = request.handle !== null && request.handleExpiresMs > context.nowMs + delayMs
  if (!resultValid || failure === StageFailure.Evicted || failure === StageFailure.SourceUnreachable) return [...actions, ...retryAttempt(board, request, context)]
  const reason = acquireRetry(board, request, estimateTransferMs(board, request), context)
  if (reason !== null) return [...actions, ...giveUp(board, request, reason, context)]
  return [...actions, ...abandonTransfer(board, request, context), scheduleRequestEvent(request, delayMs, RequestEventKind.RetryDue)]
}

/** Resumes a broken stream on the same runner. A lost stream starts over, or ends the request if the caller has already received a part of it. */
export function handleDecodeFailure (board: Board, request: ModelRequest, failure: StageFailure, context: Context): Action[] {
  const { decodeServer } = request
  const serverDead = failure === StageFailure.TimedOut && !hasFreshLoadReport(board, decodeServer, context.nowMs)
  if (RESUMABLE_FAILURES.has(failure) && !serverDead && request.resumes < MAX_RESUMES) {
    recordOutcome(board, decodeServer, failure, context.nowMs)
    request.resumes += 1
    const delayMs = backoffMs(RETRY_BACKOFF_MS, request.resumes, context)
    return [logFailure(request, decodeServer, failure), scheduleRequestEvent(request, delayMs, RequestEventKind.ResumeDue)]
  }
  const log = recordFailedStage(board, request, decodeServer, failure, context)
  // A new attempt may generate a different text, which must not follow tokens that the caller has already received.
  if (request.stream && request.tokens > 0) return [log, ...giveUp(board, request, GiveUpReason.StreamLost, context)]
  return [log, ...retryAttempt(board, request, context)]
}

/** Abandons the attempt and starts over with a new prefill, or gives the request up if no retry is allowed. */
function retryAttempt (board: Board, request: ModelRequest, context: Context): Action[] {
  const delayMs = backoffMs(RETRY_BACKOFF_MS, request.failures, context)
  const reason = acquireRetry(board, request, delayMs + estimateComputeMs(board, request) + estimateTransferMs(board, request), context)
  if (reason !== null) return giveUp(board, request, reason, context)
  return [...abandonAttempt(board, request, context), scheduleRequestEvent(request, delayMs, RequestEventKind.RetryDue)]
}

/** Takes a retry from the budget of the service and returns null, or returns why no further attempt is allowed. */
function acquireRetry (board: Board, request: ModelRequest, neededMs: number, { nowMs }: Context): GiveUpReason | null {
  if (request.failures >= MAX_FAILURES) return GiveUpReason.Failures
  if (nowMs + neededMs >= request.deadlineMs) return GiveUpReason.Deadline
  return consumeRetry(board, serviceOf(board, request.model)) ? null : GiveUpReason.RetryBudget
}

function recordFailedStage (board: Board, request: ModelRequest, server: string | null, failure: StageFailure, { nowMs }: Context): Action {
  recordOutcome(board, server, failure, nowMs)
  if (request.stage === RequestStage.Prefilling) releaseAssignedTokens(board, request)
  request.failures += 1
  request.lastFault = `${request.stage} on ${server ?? ''}: ${failure}`
  if (server !== null && !NON_EXCLUDING_FAILURES.has(failure)) request.excluded.push(server)
  return logFailure(request, server, failure)
}

function excludePrefillServer (board: Board, request: ModelRequest, { nowMs }: Context): void {
  recordOutcome(board, request.prefillServer, StageFailure.Unreachable, nowMs)
  if (request.prefillServer !== null) request.excluded.push(request.prefillServer)
}

function logFailure (request: ModelRequest, server: string | null, failure: StageFailure): Action {
  const fields = { request: request.id, attempt: request.attempt, stage: request.stage, server: server ?? '', failure }
  return { kind: CoreActionKind.Log, name: 'stage_failed', fields }
}

function backoffMs (baseMs: number, failures: number, { random }: Context): number {
  return baseMs * 2 ** Math.max(0, failures - 1) * (0.5 + random())
}

function scheduleRequestEvent (request: ModelRequest, afterMs: number, kind: RequestEventKind.ResumeDue | RequestEventKind.RetryDue): Action {
  const event: RequestEvent = { kind, request: request.id, attempt: request.attempt }
  return { kind: CoreActionKind.Schedule, afterMs, event }
}
