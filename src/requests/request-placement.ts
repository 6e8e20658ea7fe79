import { reportedWaitMs } from '../admission/priority.js'
import { type BackendServer, RunnerRole, ServerState } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import { type ModelRequest, RequestStage, workId } from '../board/model-request.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { CoreActionKind } from '../core/core-action.js'
import { coordinatorOf } from '../placement/coordinator.js'
import { choosePair, reservesCapacity, runnersFor } from '../placement/placement.js'
import { abandonAttempt, abandonTransfer } from './abandon.js'
import { estimateReadyAtMs } from './prefill-timing.js'
import { RequestActionKind } from './request-action.js'
import { GiveUpReason, giveUp } from './request-end.js'
import { RequestEventKind } from './request-event.js'
import { startPrefill, startTransfer } from './stages.js'

/** Time after which an unanswered reservation request counts as denied, in milliseconds. */
const RESERVATION_TIMEOUT_MS = 500

/** Base of the delay before a request is placed again, in milliseconds; it doubles with each failed placement. */
const PLACEMENT_BACKOFF_MS = 25

/** Upper bound of the delay before a request is placed again, before it is randomised, in milliseconds. */
const MAX_PLACEMENT_BACKOFF_MS = 400

/** Consecutive placements without a usable pair of runners after which the request is refused; with the delays, about two seconds. */
const MAX_UNPLACED_ATTEMPTS = 8

/** Stages in which the work on the chosen runners has not started. */
const UNSTARTED_STAGES = new Set([RequestStage.Reserved, RequestStage.Reserving])

/** Chooses runners and requests a reservation; a request with a valid prefill result needs only a decode runner. */
export function placeRequest (board: Board, request: ModelRequest, context: Context): Action[] {
  if (request.handle !== null && request.handleExpiresMs > context.nowMs) return placeDecodeOnly(board, request, context)
  const abandoned = request.handle === null ? [] : abandonAttempt(board, request, context)
  request.attempt += 1
  const pair = choosePair(board, request, context)
  if (pair === null) return [...abandoned, ...handleUnplaced(board, request, context)]
  request.prefillServer = pair.prefill.id
  request.prefillAddress = pair.prefill.address
  request.prefillAttempt = request.attempt
  request.assigned = true
  pair.prefill.assignedTokens += request.promptTokens
  pair.prefill.inFlight += 1
  return [...abandoned, ...reserve(board, request, pair.decode, context)]
}

/** Abandons a placement whose reservation was denied or unanswered, or whose runner accepts no new work, and schedules the next one. */
export function handleDenial (board: Board, request: ModelRequest, fault: string, context: Context): Action[] {
  request.lastFault = fault
  request.denials += 1
  return [...abandonUnstartedWork(board, request, context), ...schedulePlacementRetry(board, request, request.denials, context)]
}

/** Places again every request that has chosen a leaving runner but has not started work on it. */
export function moveUnstartedRequests (board: Board, context: Context): Action[] {
  return [...board.requests.values()]
    .filter((request) => UNSTARTED_STAGES.has(request.stage) && usesLeavingServer(board, request))
    .flatMap((request) => [...abandonUnstartedWork(board, request, context), ...placeRequest(board, request, context)])
}

/** Whether a runner that the request has yet to use is leaving; after the prefill this is the decode runner only. */
export function usesLeavingServer (board: Board, { handle, prefillServer, decodeServer }: ModelRequest): boolean {
  const servers = handle === null ? [prefillServer, decodeServer] : [decodeServer]
  return servers.some((server) => board.servers.get(server ?? '')?.state === ServerState.Leaving)
}

/** Releases the reservation, and also the prefill runner unless the request has a prefill result. */
export function abandonUnstartedWork (board: Board, request: ModelRequest, context: Context): Action[] {
  return request.handle === null ? abandonAttempt(board, request, context) : abandonTransfer(board, request, context)
}

function placeDecodeOnly (board: Board, request: ModelRequest, context: Context): Action[] {
  request.attempt += 1
  // `choosePair` also returns null if only a prefill runner is missing, which this request does not need.
  const decode = choosePair(board, request, context)?.decode ?? runnersFor(board, request, RunnerRole.Decode, context.nowMs)[0]
  return decode === undefined ? handleUnplaced(board, request, context) : reserve(board, request, decode, context)
}

function reserve (board: Board, request: ModelRequest, decode: BackendServer, context: Context): Action[] {
  request.decodeServer = decode.id
  request.stage = RequestStage.Reserving
  request.unplaced = 0
  request.tokens = 0
  request.resumes = 0
  decode.inFlight += 1
  if (!reservesCapacity(board)) return startUnreserved(board, request, context.nowMs)
  request.keeper = coordinatorOf(board, decode.id)
  const pieceTokens = board.bundle?.index.models.get(request.model)?.pieceTokens ?? request.promptTokens
  return [
    {
      kind: RequestActionKind.RequestReservation,
      coordinator: request.keeper,
      request: request.id,
      attempt: request.attempt,
      work: workId(request),
      server: decode.id,
      pieces: Math.ceil((request.promptTokens + request.maxTokens) / pieceTokens),
      promptTokens: request.promptTokens,
      readyMs: request.handle === null ? estimateReadyAtMs(board, request, context.nowMs) : context.nowMs,
      maxTokens: request.maxTokens,
      waitedMs: reportedWaitMs(board, request.id, context.nowMs)
    },
    {
      kind: CoreActionKind.Schedule,
      afterMs: RESERVATION_TIMEOUT_MS,
      event: { kind: RequestEventKind.ReservationTimedOut, request: request.id, attempt: request.attempt }
    }
  ]
}

/** Starts the next stage without a reservation on the decode runner, for the baseline policies. */
function startUnreserved (board: Board, request: ModelRequest, nowMs: number): Action[] {
  return request.handle === null ? startPrefill(board, request, nowMs) : startTransfer(board, request, nowMs)
}

function handleUnplaced (board: Board, request: ModelRequest, context: Context): Action[] {
  request.lastFault = 'no pair of runners'
  // Excluded runners may be chosen again: one that failed the request is better than none, and its breaker still limits its use.
  request.excluded = []
  request.unplaced += 1
  if (request.unplaced >= MAX_UNPLACED_ATTEMPTS) return giveUp(board, request, GiveUpReason.NoServer, context)
  return schedulePlacementRetry(board, request, request.unplaced, context)
}

function schedulePlacementRetry (board: Board, request: ModelRequest, failedPlacements: number, context: Context): Action[] {
  const delayMs = Math.min(MAX_PLACEMENT_BACKOFF_MS, PLACEMENT_BACKOFF_MS * 2 ** failedPlacements) * (0.5 + context.random())
  if (context.nowMs + delayMs >= request.deadlineMs) return giveUp(board, request, GiveUpReason.Deadline, context)
  request.stage = RequestStage.Waiting
  return [{ kind: CoreActionKind.Schedule, afterMs: delayMs, event: { kind: RequestEventKind.RetryDue, request: request.id, attempt: request.attempt } }]
}
