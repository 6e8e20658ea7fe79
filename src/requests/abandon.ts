import type { Board } from '../board/board.js'
import { type ModelRequest, RequestStage, workId } from '../board/model-request.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { cancelWork } from './cancellation.js'
import { heldWork, mayHaveRun } from './held-work.js'
import { RequestActionKind } from './request-action.js'

/** Cancels all work that engines may hold for the request, including a prefill result, and releases its reservation. */
export function abandonAttempt (board: Board, request: ModelRequest, context: Context): Action[] {
  request.ran = mayHaveRun(request)
  const cancels = heldWork(request).flatMap(({ work, server, awaited }) => cancelWork(board, work, server, context, awaited))
  request.handle = null
  request.stage = RequestStage.Waiting
  releasePrefillServer(board, request)
  return [...cancels, ...releaseDecodeServer(board, request)]
}

/** Cancels the work on the decode runner and releases its reservation; keeps the prefill result for another decode runner. */
export function abandonTransfer (board: Board, request: ModelRequest, context: Context): Action[] {
  const decodeWork = heldWork(request).filter(({ server }) => server === request.decodeServer)
  const cancels = decodeWork.flatMap(({ work, server, awaited }) => cancelWork(board, work, server, context, awaited))
  request.stage = RequestStage.Waiting
  return [...cancels, ...releaseDecodeServer(board, request)]
}

/** Releases the reservation at its coordinator; returns no action if none was requested. */
export function releaseReservation (request: ModelRequest): Action[] {
  const { keeper, decodeServer } = request
  request.keeper = null
  request.reserved = false
  if (keeper === null || decodeServer === null) return []
  return [{ kind: RequestActionKind.ReleaseReservation, coordinator: keeper, work: workId(request), server: decodeServer }]
}

/** Subtracts the prompt from the prefill runner's assigned tokens and in-flight count when its prefill ends or is abandoned. */
export function releaseAssignedTokens (board: Board, request: ModelRequest): void {
  if (!request.assigned) return
  request.assigned = false
  const prefill = board.servers.get(request.prefillServer ?? '')
  if (prefill === undefined) return
  prefill.assignedTokens -= request.promptTokens
  prefill.inFlight -= 1
}

export function releasePrefillServer (board: Board, request: ModelRequest): void {
  releaseAssignedTokens(board, request)
  request.prefillServer = null
}

/** Releases the decode runner and the reservation on it, also if the work has already used the reservation. */
export function releaseDecodeServer (board: Board, request: ModelRequest): Action[] {
  const released = releaseReservation(request)
  const decode = board.servers.get(request.decodeServer ?? '')
  if (decode !== undefined) decode.inFlight -= 1
  request.decodeServer = null
  return released
}
