import type { Board } from '../board/board.js'
import { type ModelRequest, RequestStage } from '../board/model-request.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { abandonAttempt, releaseAssignedTokens, releaseDecodeServer, releasePrefillServer } from './abandon.js'
import { mayHaveRun } from './held-work.js'
import { newRequest } from './new-request.js'
import { handleDenial, placeRequest, abandonUnstartedWork, usesLeavingServer } from './request-placement.js'
import { prefillDelayMs } from './prefill-timing.js'
import { RequestActionKind } from './request-action.js'
import { endRequest, GiveUpReason, giveUp, refuse } from './request-end.js'
import { type DecodeFinished, RequestEnd, RequestEventKind, StageFailure } from './request-event.js'
import { addRetryShare, serviceOf } from './retry-budget.js'
import { recordOutcome } from './server-health.js'
import { handleDecodeFailure, handlePrefillFailure, handleTransferFailure } from './stage-failures.js'
import { startDecode, startPrefill, startTransfer } from './stages.js'

/** Drives a model request from its arrival to its answer or refusal. */
export const requestController: Controller = {
  name: 'requests',
  handlers: {
    [RequestEventKind.RequestArrived]: (board, event, { nowMs }) => {
      const request = newRequest(board, event, nowMs)
      board.requests.set(request.id, request)
      addRetryShare(board, serviceOf(board, request.model))
      const expired = { kind: RequestEventKind.RequestExpired, request: request.id } as const
      return [{ kind: CoreActionKind.Schedule, afterMs: request.deadlineMs - nowMs, event: expired }]
    },
    [RequestEventKind.RequestAdmitted]: (board, { request }, context) => withRequest(board, request, (found) => placeRequest(board, found, context)),
    [RequestEventKind.RequestRefused]: (board, { request, refusal, detail, retryAfterMs }, context) => withRequest(board, request, (found) => {
      // Admission may refuse a request after a denied reservation too; an engine may have worked on it in an earlier attempt.
      if (mayHaveRun(found)) return giveUp(board, found, GiveUpReason.Deadline, context)
      return refuse(board, found, refusal, detail, retryAfterMs)
    }),
    [RequestEventKind.RequestExpired]: (board, { request }, context) =>
      withRequest(board, request, (found) => giveUp(board, found, GiveUpReason.Deadline, context)),
    [RequestEventKind.CallerDisconnected]: (board, { request }, context) => withRequest(board, request, (found) => [
      ...abandonAttempt(board, found, context),
      ...endRequest(board, found, RequestEnd.CallerDisconnected)
    ]),
    [RequestEventKind.ReservationAnswered]: (board, event, context) => withAttempt(board, event, RequestStage.Reserving, (found) => {
      if (!event.granted) return handleDenial(board, found, `no room on ${event.server}`, context)
      found.reserved = true
      found.transferMs = event.transferMs
      if (found.handle !== null) return startTransfer(board, found, context.nowMs)
      return schedulePrefill(board, found, context.nowMs)
    }),
    [RequestEventKind.PrefillDue]: (board, event, { nowMs }) =>
      withAttempt(board, event, RequestStage.Reserved, (found) => startPrefill(board, found, nowMs)),
    [RequestEventKind.ReservationTimedOut]: (board, event, context) =>
      withAttempt(board, event, RequestStage.Reserving, (found) => handleDenial(board, found, `the keeper of ${found.decodeServer ?? ''} did not answer`, context)),
    [RequestEventKind.PrefillFinished]: (board, event, context) => withAttempt(board, event, RequestStage.Prefilling, (found) => {
      recordOutcome(board, found.prefillServer, null, context.nowMs)
      releaseAssignedTokens(board, found)
      found.ran = true
      found.handle = event.handle
      found.handleExpiresMs = event.expiresMs
      if (usesLeavingServer(board, found)) return [...abandonUnstartedWork(board, found, context), ...placeRequest(board, found, context)]
      return startTransfer(board, found, context.nowMs)
    }),
    [RequestEventKind.PrefillFailed]: (board, event, context) =>
      withAttempt(board, event, RequestStage.Prefilling, (found) => handlePrefillFailure(board, found, event.failure, context)),
    [RequestEventKind.TransferFinished]: (board, event, { nowMs }) => withAttempt(board, event, RequestStage.Transferring, (found) => {
      recordOutcome(board, found.decodeServer, null, nowMs)
      // The prefill runner freed its result when the import ended.
      found.handle = null
      return startDecode(board, found)
    }),
    [RequestEventKind.TransferFailed]: (board, event, context) =>
      withAttempt(board, event, RequestStage.Transferring, (found) => handleTransferFailure(board, found, event.failure, context)),
    [RequestEventKind.DecodeProgress]: (board, event, { nowMs }) => withAttempt(board, event, RequestStage.Decoding, (found) => {
      found.firstTokenMs ??= nowMs
      recordTokenCount(found, event.tokens)
      return []
    }),
    [RequestEventKind.DecodeFinished]: (board, event, context) =>
      withAttempt(board, event, RequestStage.Decoding, (found) => finishDecode(board, found, event, context)),
    [RequestEventKind.DecodeFailed]: (board, event, context) => withAttempt(board, event, RequestStage.Decoding, (found) => {
      recordTokenCount(found, event.tokens)
      return handleDecodeFailure(board, found, event.failure, context)
    }),
    [RequestEventKind.ResumeDue]: (board, event) => withAttempt(board, event, RequestStage.Decoding, (found) => startDecode(board, found)),
    [RequestEventKind.RetryDue]: (board, event, context) =>
      withAttempt(board, event, RequestStage.Waiting, (found) => placeRequest(board, found, context))
  }
}

/** Starts the prefill, or schedules its start so that the result is ready when the link is free. */
function schedulePrefill (board: Board, request: ModelRequest, nowMs: number): Action[] {
  const afterMs = prefillDelayMs(board, request, nowMs)
  if (afterMs === 0) return startPrefill(board, request, nowMs)
  request.stage = RequestStage.Reserved
  const event = { kind: RequestEventKind.PrefillDue, request: request.id, attempt: request.attempt } as const
  return [{ kind: CoreActionKind.Schedule, afterMs, event }]
}

/** Answers the caller if the tokens received are as many as the engine announced; otherwise the decode counts as failed. */
function finishDecode (board: Board, request: ModelRequest, event: DecodeFinished, context: Context): Action[] {
  recordTokenCount(request, event.tokens)
  if (event.tokens < event.announcedTokens) return handleDecodeFailure(board, request, StageFailure.Broken, context)
  if (event.tokens > event.announcedTokens) return handleDecodeFailure(board, request, StageFailure.Rejected, context)
  recordOutcome(board, request.decodeServer, null, context.nowMs)
  releasePrefillServer(board, request)
  return [
    { kind: RequestActionKind.AnswerRequest, request: request.id, tokens: event.tokens },
    ...releaseDecodeServer(board, request),
    ...endRequest(board, request, RequestEnd.Answered)
  ]
}

/** Updates the number of received tokens; a new token resets the count of resumes. */
function recordTokenCount (request: ModelRequest, tokens: number): void {
  if (tokens <= request.tokens) return
  request.tokens = tokens
  request.resumes = 0
}

function withRequest (board: Board, id: string, handle: (request: ModelRequest) => Action[]): Action[] {
  const request = board.requests.get(id)
  return request === undefined ? [] : handle(request)
}

/** Handles the event unless it is late: one of another attempt, or of a stage that the request is not in. */
function withAttempt (board: Board, event: { request: string, attempt: number }, stage: RequestStage, handle: (request: ModelRequest) => Action[]): Action[] {
  return withRequest(board, event.request, (request) => {
    if (request.attempt !== event.attempt || request.stage !== stage) return []
    return handle(request)
  })
}
