import { type BackendServer, ServerKind, ServerState } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import { type CallAttempt, CallStage } from '../board/call-attempt.js'
import type { Route } from '../bundles/bundle.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { CoreActionKind } from '../core/core-action.js'
import { RefusalKind } from '../errors/refusal.js'
import { allowsRequest, recordFailure, recordStart, recordSuccess } from '../placement/breaker.js'
import { CallActionKind } from './call-action.js'
import { type CallFailed, CallEventKind, type CallFinished, CallOutcome } from './call-event.js'
import { endAttempt, settleWithAnswer, settleWithRefusal } from './call-ending.js'
import { consumeRetryToken } from './call-limits.js'

/** Timeout of one try of a repeatable call as a share of the route's timeout, so that a stalled server leaves time to try others. */
const TRY_TIMEOUT_SHARE = 0.3

/** Base of the backoff before a retry, in ms; it doubles with each try. */
const BASE_BACKOFF_MS = 20

/** Longest backoff before a retry, in ms. */
const MAX_BACKOFF_MS = 500

/** HTTP statuses of a server that could not serve the call; any other error status is returned as the answer. */
const UNAVAILABLE_STATUSES = new Set([502, 503, 504])

/** Sends a call to a backend server, or ends it if its route was removed, its deadline has passed or no server is available. */
export function dispatch (board: Board, attempt: CallAttempt, context: Context): Action[] {
  const route = board.bundle?.index.routes.get(attempt.route)
  if (route === undefined) return settleUnanswered(board, attempt, RefusalKind.UnknownRoute, attempt.route)
  const remainingMs = attempt.deadlineMs - context.nowMs
  // After a pause of this instance the record of a claimed key may have expired, so no call is dispatched after its deadline.
  if (remainingMs <= 0) return settleUnanswered(board, attempt, RefusalKind.DeadlineUnreachable, `no answer within ${route.timeoutMs} ms`)
  const server = chooseServer(board, attempt, route, context)
  if (server === undefined) return settleUnanswered(board, attempt, RefusalKind.NoServer, `no backend server of ${route.service} can take the call`)
  recordStart(server)
  server.inFlight += 1
  attempt.server = server.id
  attempt.attempts += 1
  attempt.stage = CallStage.Dispatched
  const tryTimeoutMs = route.repeatable ? Math.min(remainingMs, Math.ceil(route.timeoutMs * TRY_TIMEOUT_SHARE)) : remainingMs
  return [{ kind: CallActionKind.SendCall, call: attempt.call, server: server.id, route: route.name, key: attempt.key, timeoutMs: tryTimeoutMs }]
}

export function handleCallFinished (board: Board, event: CallFinished, context: Context): Action[] {
  const unavailable = UNAVAILABLE_STATUSES.has(event.status)
  recordTryResult(board, event.server, !unavailable, context.nowMs)
  const attempt = board.calls.get(event.call)
  if (attempt === undefined) return []
  const outcome = event.succeeded ? CallOutcome.Succeeded : CallOutcome.Failed
  if (!unavailable || !isRepeatable(board, attempt)) return settleWithAnswer(board, attempt, outcome, event.bytes)
  attempt.sent = true
  attempt.excluded.push(event.server)
  return retry(board, attempt, context) ?? settleWithAnswer(board, attempt, outcome, event.bytes)
}

export function handleCallFailed (board: Board, event: CallFailed, context: Context): Action[] {
  recordTryResult(board, event.server, false, context.nowMs)
  const attempt = board.calls.get(event.call)
  if (attempt === undefined) return []
  attempt.sent ||= event.sent
  attempt.excluded.push(event.server)
  if (isRepeatable(board, attempt)) return retry(board, attempt, context) ?? settleUnanswered(board, attempt, RefusalKind.NoServer, 'no backend server answered in time')
  // The call can't have run, so sending it to another server can't run it twice.
  if (!attempt.sent) return dispatch(board, attempt, context)
  return settleUnanswered(board, attempt, RefusalKind.NoServer, 'the backend server did not answer')
}

/** Ends a call without an answer. Its outcome is NotRun if no try can have run, otherwise Unknown. */
export function settleUnanswered (board: Board, attempt: CallAttempt, refusal: RefusalKind, detail: string): Action[] {
  if (attempt.sent) return settleWithRefusal(board, attempt, { outcome: CallOutcome.Unknown, refusal: RefusalKind.OutcomeUnknown, detail })
  return settleWithRefusal(board, attempt, { outcome: CallOutcome.NotRun, refusal, detail })
}

/** Schedules the next try of a repeatable call, or ends it if the caller has disconnected. Returns null if the deadline or the retry tokens don't allow another try. */
function retry (board: Board, attempt: CallAttempt, { nowMs, random }: Context): Action[] | null {
  if (!attempt.open) return endAttempt(board, attempt)
  const route = board.bundle?.index.routes.get(attempt.route)
  // Full jitter spreads the retries of calls that failed at the same time.
  const afterMs = random() * Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** attempt.attempts)
  if (route === undefined || nowMs + afterMs >= attempt.deadlineMs || !consumeRetryToken(board, route.service)) return null
  attempt.stage = CallStage.BackingOff
  return [{ kind: CoreActionKind.Schedule, afterMs, event: { kind: CallEventKind.CallRetryDue, call: attempt.call } }]
}

function chooseServer (board: Board, attempt: CallAttempt, route: Route, { nowMs, random }: Context): BackendServer | undefined {
  const eligible = [...board.servers.values()].filter((server) =>
    server.kind === ServerKind.Plain && server.service === route.service && server.state === ServerState.Live && allowsRequest(server, nowMs))
  const untried = eligible.filter((server) => !attempt.excluded.includes(server.id))
  const candidates = untried.length === 0 && route.repeatable ? eligible : untried
  const first = candidates[Math.floor(random() * candidates.length)]
  const second = candidates[Math.floor(random() * candidates.length)]
  // Takes the less busy of two random servers, so that a slow server gets fewer calls and instances don't all choose the same one.
  return first !== undefined && second !== undefined && second.inFlight < first.inFlight ? second : first
}

function recordTryResult (board: Board, id: string, available: boolean, nowMs: number): void {
  const server = board.servers.get(id)
  if (server === undefined) return
  server.inFlight = Math.max(0, server.inFlight - 1)
  if (available) recordSuccess(server)
  else recordFailure(server, nowMs)
}

function isRepeatable (board: Board, attempt: CallAttempt): boolean {
  return board.bundle?.index.routes.get(attempt.route)?.repeatable === true
}
