import { queueWaitMs } from '../admission/priority.js'
import { type BackendServer, RunnerRole, ServerState } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import { type ModelRequest, RequestStage, workId } from '../board/model-request.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { CoreActionKind } from '../core/core-action.js'
import { coordinatorOf } from '../placement/coordinator.js'
import { choosePair, reservesCapacity, runnersFor } from '../placement/placement.js'
import { abandonAttempt, abandonTransfer } from './abandon.js'
import { readyMs } from './prefill-timing.js'
import { RequestActionKind } from './request-action.js'
import { GiveUp, giveUp } from './request-end.js'
import { RequestEventKind } from './request-event.js'
import { startPrefill, startTransfer } from './stages.js'

/** An unanswered reservation is asked again elsewhere after this time. */
const RESERVATION_TIMEOUT_MS = 500

const DENIAL_BACKOFF_MS = 25

const MAX_DENIAL_BACKOFF_MS = 400

/** Placements in a row without any free pair of runners, about two seconds, before the request is refused. */
const MAX_UNPLACED = 8

const UNUSED_STAGES = new Set([RequestStage.Reserved, RequestStage.Reserving])

/** Chooses runners and asks for a reservation; a live prefill result needs a decode runner only. */
export function place (board: Board, request: ModelRequest, context: Context): Action[] {
  if (request.handle !== null && request.handleExpiresMs > context.nowMs) return placeDecode(board, request, context)
  const abandoned = request.handle === null ? [] : abandonAttempt(board, request, context)
  request.attempt += 1
  const pair = choosePair(board, request, context)
  if (pair === null) return [...abandoned, ...unplaced(board, request, context)]
  request.prefillServer = pair.prefill.id
  request.prefillAddress = pair.prefill.address
  request.prefillAttempt = request.attempt
  request.assigned = true
  pair.prefill.assignedTokens += request.promptTokens
  pair.prefill.inFlight += 1
  return [...abandoned, ...reserve(board, request, pair.decode, context)]
}

/** A runner has no room or takes no new work: another one is tried after a while. */
export function denied (board: Board, request: ModelRequest, fault: string, context: Context): Action[] {
  request.lastFault = fault
  request.denials += 1
  return [...releaseUnused(board, request, context), ...tryLater(board, request, request.denials, context)]
}

/** Places requests again that have not begun to use a runner which is leaving. */
export function rescheduleUnstarted (board: Board, context: Context): Action[] {
  return [...board.requests.values()]
    .filter((request) => UNUSED_STAGES.has(request.stage) && usesLeaving(board, request))
    .flatMap((request) => [...releaseUnused(board, request, context), ...place(board, request, context)])
}

/** Whether work that the request has yet to begin would go to a runner that is leaving. */
export function usesLeaving (board: Board, { handle, prefillServer, decodeServer }: ModelRequest): boolean {
  const servers = handle === null ? [prefillServer, decodeServer] : [decodeServer]
  return servers.some((server) => board.servers.get(server ?? '')?.state === ServerState.Leaving)
}

/** Gives up the reservation, and the prefill runner unless its result is still of use. */
export function releaseUnused (board: Board, request: ModelRequest, context: Context): Action[] {
  return request.handle === null ? abandonAttempt(board, request, context) : abandonTransfer(board, request, context)
}

function placeDecode (board: Board, request: ModelRequest, context: Context): Action[] {
  request.attempt += 1
  const decode = choosePair(board, request, context)?.decode ?? runnersFor(board, request, RunnerRole.Decode, context.nowMs)[0]
  return decode === undefined ? unplaced(board, request, context) : reserve(board, request, decode, context)
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
      keeper: request.keeper,
      request: request.id,
      attempt: request.attempt,
      work: workId(request),
      server: decode.id,
      pieces: Math.ceil((request.promptTokens + request.maxTokens) / pieceTokens),
      promptTokens: request.promptTokens,
      readyMs: request.handle === null ? readyMs(board, request, context.nowMs) : context.nowMs,
      maxTokens: request.maxTokens,
      waitedMs: queueWaitMs(board, request.id, context.nowMs)
    },
    {
      kind: CoreActionKind.Schedule,
      afterMs: RESERVATION_TIMEOUT_MS,
      event: { kind: RequestEventKind.ReservationTimedOut, request: request.id, attempt: request.attempt }
    }
  ]
}

/** Baseline policies go on without a place on the decode runner. */
function startUnreserved (board: Board, request: ModelRequest, nowMs: number): Action[] {
  return request.handle === null ? startPrefill(board, request, nowMs) : startTransfer(board, request, nowMs)
}

function unplaced (board: Board, request: ModelRequest, context: Context): Action[] {
  request.lastFault = 'no pair of runners'
  // A runner that failed the request once is better than none; its breaker still guards it.
  request.excluded = []
  request.unplaced += 1
  if (request.unplaced >= MAX_UNPLACED) return giveUp(board, request, GiveUp.NoServer, context)
  return tryLater(board, request, request.unplaced, context)
}

function tryLater (board: Board, request: ModelRequest, times: number, context: Context): Action[] {
  const delayMs = Math.min(MAX_DENIAL_BACKOFF_MS, DENIAL_BACKOFF_MS * 2 ** times) * (0.5 + context.random())
  if (context.nowMs + delayMs >= request.deadlineMs) return giveUp(board, request, GiveUp.Deadline, context)
  request.stage = RequestStage.Waiting
  return [{ kind: CoreActionKind.Schedule, afterMs: delayMs, event: { kind: RequestEventKind.RetryDue, request: request.id, attempt: request.attempt } }]
}
