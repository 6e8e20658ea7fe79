import type { Board } from '../board/board.js'
import { type ModelRequest, RequestStage } from '../board/model-request.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { abandonAttempt, endAssignment, releaseDecodeSide, releasePrefillServer } from './abandon.js'
import { mayHaveRun } from './held-work.js'
import { newRequest } from './new-request.js'
import { denied, place, releaseUnused, usesLeaving } from './request-placement.js'
import { prefillDelayMs } from './prefill-timing.js'
import { RequestActionKind } from './request-action.js'
import { endRequest, GiveUp, giveUp, refuse } from './request-end.js'
import { type DecodeFinished, RequestEnd, RequestEventKind, StageFailure } from './request-event.js'
import { addRetryShare, serviceOf } from './retry-budget.js'
import { recordOutcome } from './server-health.js'
import { decodeFailed, prefillFailed, transferFailed } from './stage-failures.js'
import { startDecode, startPrefill, startTransfer } from './stages.js'

/** Takes a model request from arrival to its answer or refusal. */
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
    [RequestEventKind.RequestAdmitted]: (board, { request }, context) => withRequest(board, request, (found) => place(board, found, context)),
    [RequestEventKind.RequestRefused]: (board, { request, refusal, detail, retryAfterMs }, context) => withRequest(board, request, (found) => {
      // Admission refuses later placements too; by then an engine may have worked on the request.
      if (mayHaveRun(found)) return giveUp(board, found, GiveUp.Deadline, context)
      return refuse(board, found, refusal, detail, retryAfterMs)
    }),
    [RequestEventKind.RequestExpired]: (board, { request }, context) =>
      withRequest(board, request, (found) => giveUp(board, found, GiveUp.Deadline, context)),
    [RequestEventKind.CallerDisconnected]: (board, { request }, context) => withRequest(board, request, (found) => [
      ...abandonAttempt(board, found, context),
      ...endRequest(board, found, RequestEnd.CallerDisconnected)
    ]),
    [RequestEventKind.ReservationAnswered]: (board, event, context) => withAttempt(board, event, RequestStage.Reserving, (found) => {
      if (!event.granted) return denied(board, found, `no room on ${event.server}`, context)
      found.reserved = true
      found.transferMs = event.transferMs
      if (found.handle !== null) return startTransfer(board, found, context.nowMs)
      return awaitPrefill(board, found, context.nowMs)
    }),
    [RequestEventKind.PrefillDue]: (board, event, { nowMs }) =>
      withAttempt(board, event, RequestStage.Reserved, (found) => startPrefill(board, found, nowMs)),
    [RequestEventKind.ReservationTimedOut]: (board, event, context) =>
      withAttempt(board, event, RequestStage.Reserving, (found) => denied(board, found, `the keeper of ${found.decodeServer ?? ''} did not answer`, context)),
    [RequestEventKind.PrefillFinished]: (board, event, context) => withAttempt(board, event, RequestStage.Prefilling, (found) => {
      recordOutcome(board, found.prefillServer, null, context.nowMs)
      endAssignment(board, found)
      found.ran = true
      found.handle = event.handle
      found.handleExpiresMs = event.expiresMs
      if (usesLeaving(board, found)) return [...releaseUnused(board, found, context), ...place(board, found, context)]
      return startTransfer(board, found, context.nowMs)
    }),
    [RequestEventKind.PrefillFailed]: (board, event, context) =>
      withAttempt(board, event, RequestStage.Prefilling, (found) => prefillFailed(board, found, event.failure, context)),
    [RequestEventKind.TransferFinished]: (board, event, { nowMs }) => withAttempt(board, event, RequestStage.Transferring, (found) => {
      recordOutcome(board, found.decodeServer, null, nowMs)
      // The prefill runner freed its result when the import ended.
      found.handle = null
      return startDecode(board, found)
    }),
    [RequestEventKind.TransferFailed]: (board, event, context) =>
      withAttempt(board, event, RequestStage.Transferring, (found) => transferFailed(board, found, event.failure, context)),
    [RequestEventKind.DecodeProgress]: (board, event, { nowMs }) => withAttempt(board, event, RequestStage.Decoding, (found) => {
      found.firstTokenMs ??= nowMs
      receiveTokens(found, event.tokens)
      return []
    }),
    [RequestEventKind.DecodeFinished]: (board, event, context) =>
      withAttempt(board, event, RequestStage.Decoding, (found) => finishDecode(board, found, event, context)),
    [RequestEventKind.DecodeFailed]: (board, event, context) => withAttempt(board, event, RequestStage.Decoding, (found) => {
      receiveTokens(found, event.tokens)
      return decodeFailed(board, found, event.failure, context)
    }),
    [RequestEventKind.ResumeDue]: (board, event) => withAttempt(board, event, RequestStage.Decoding, (found) => startDecode(board, found)),
    [RequestEventKind.RetryDue]: (board, event, context) =>
      withAttempt(board, event, RequestStage.Waiting, (found) => place(board, found, context))
  }
}

/** Starts the prefill when its result will be ready for the link. */
function awaitPrefill (board: Board, request: ModelRequest, nowMs: number): Action[] {
  const afterMs = prefillDelayMs(board, request, nowMs)
  if (afterMs === 0) return startPrefill(board, request, nowMs)
  request.stage = RequestStage.Reserved
  const event = { kind: RequestEventKind.PrefillDue, request: request.id, attempt: request.attempt } as const
  return [{ kind: CoreActionKind.Schedule, afterMs, event }]
}

/** Answers only with as many tokens as the engine says it sent. */
function finishDecode (board: Board, request: ModelRequest, event: DecodeFinished, context: Context): Action[] {
  receiveTokens(request, event.tokens)
  if (event.tokens < event.announcedTokens) return decodeFailed(board, request, StageFailure.Broken, context)
  if (event.tokens > event.announcedTokens) return decodeFailed(board, request, StageFailure.Rejected, context)
  recordOutcome(board, request.decodeServer, null, context.nowMs)
  releasePrefillServer(board, request)
  return [
    { kind: RequestActionKind.AnswerRequest, request: request.id, tokens: event.tokens },
    ...releaseDecodeSide(board, request),
    ...endRequest(board, request, RequestEnd.Answered)
  ]
}

function receiveTokens (request: ModelRequest, tokens: number): void {
  if (tokens <= request.tokens) return
  request.tokens = tokens
  request.resumes = 0
}

function withRequest (board: Board, id: string, then: (request: ModelRequest) => Action[]): Action[] {
  const request = board.requests.get(id)
  return request === undefined ? [] : then(request)
}

/** Ignores late answers: those of another attempt or for another stage. */
function withAttempt (board: Board, event: { request: string, attempt: number }, stage: RequestStage, then: (request: ModelRequest) => Action[]): Action[] {
  return withRequest(board, event.request, (request) => {
    if (request.attempt !== event.attempt || request.stage !== stage) return []
    return then(request)
  })
}
