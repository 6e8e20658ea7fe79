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
import { takeRetry } from './call-limits.js'

/** One try of a repeatable call gets this share of the route's deadline, so that a stalled server leaves time for others. */
const TRY_SHARE = 0.3

const BACK_OFF_MS = 20

const MAX_BACK_OFF_MS = 500

/** The server could not serve the call; other error statuses are answers. */
const UNSERVED_STATUSES = new Set([502, 503, 504])

/** Sends an attempt to a backend server, or ends it if there is none. */
export function dispatch (board: Board, attempt: CallAttempt, context: Context): Action[] {
  const route = board.bundle?.index.routes.get(attempt.route)
  if (route === undefined) return giveUp(board, attempt, RefusalKind.UnknownRoute, attempt.route)
  const remainingMs = attempt.deadlineMs - context.nowMs
  // A claim whose holder was paused is never dispatched late: its record may have lapsed meanwhile.
  if (remainingMs <= 0) return giveUp(board, attempt, RefusalKind.DeadlineUnreachable, `no answer within ${route.timeoutMs} ms`)
  const server = chooseServer(board, attempt, route, context)
  if (server === undefined) return giveUp(board, attempt, RefusalKind.NoServer, `no backend server of ${route.service} can take the call`)
  recordStart(server)
  server.inFlight += 1
  attempt.server = server.id
  attempt.attempts += 1
  attempt.stage = CallStage.Dispatched
  const tryMs = route.repeatable ? Math.min(remainingMs, Math.ceil(route.timeoutMs * TRY_SHARE)) : remainingMs
  return [{ kind: CallActionKind.SendCall, call: attempt.call, server: server.id, route: route.name, key: attempt.key, timeoutMs: tryMs }]
}

export function callFinished (board: Board, event: CallFinished, context: Context): Action[] {
  const unserved = UNSERVED_STATUSES.has(event.status)
  recordTry(board, event.server, !unserved, context.nowMs)
  const attempt = board.calls.get(event.call)
  if (attempt === undefined) return []
  const outcome = event.succeeded ? CallOutcome.Succeeded : CallOutcome.Failed
  if (!unserved || !isRepeatable(board, attempt)) return settleWithAnswer(board, attempt, outcome, event.bytes)
  attempt.sent = true
  attempt.excluded.push(event.server)
  return retry(board, attempt, context) ?? settleWithAnswer(board, attempt, outcome, event.bytes)
}

export function callFailed (board: Board, event: CallFailed, context: Context): Action[] {
  recordTry(board, event.server, false, context.nowMs)
  const attempt = board.calls.get(event.call)
  if (attempt === undefined) return []
  attempt.sent ||= event.sent
  attempt.excluded.push(event.server)
  if (isRepeatable(board, attempt)) return retry(board, attempt, context) ?? giveUp(board, attempt, RefusalKind.NoServer, 'no backend server answered in time')
  // Nothing was written, so the only run of the call can still be given to another server.
  if (!attempt.sent) return dispatch(board, attempt, context)
  return giveUp(board, attempt, RefusalKind.NoServer, 'the backend server did not answer')
}

/** Ends an attempt without an answer: as not run only if no byte of it was written. */
export function giveUp (board: Board, attempt: CallAttempt, refusal: RefusalKind, detail: string): Action[] {
  if (attempt.sent) return settleWithRefusal(board, attempt, { outcome: CallOutcome.Unknown, refusal: RefusalKind.OutcomeUnknown, detail })
  return settleWithRefusal(board, attempt, { outcome: CallOutcome.NotRun, refusal, detail })
}

/** Schedules the next try of a repeatable call; null if its deadline or the retry budget rules it out. */
function retry (board: Board, attempt: CallAttempt, { nowMs, random }: Context): Action[] | null {
  if (!attempt.open) return endAttempt(board, attempt)
  const route = board.bundle?.index.routes.get(attempt.route)
  // Full jitter: callers that failed together do not come back together.
  const afterMs = random() * Math.min(MAX_BACK_OFF_MS, BACK_OFF_MS * 2 ** attempt.attempts)
  if (route === undefined || nowMs + afterMs >= attempt.deadlineMs || !takeRetry(board, route.service)) return null
  attempt.stage = CallStage.BackingOff
  return [{ kind: CoreActionKind.Schedule, afterMs, event: { kind: CallEventKind.CallRetryDue, call: attempt.call } }]
}

function chooseServer (board: Board, attempt: CallAttempt, route: Route, { nowMs, random }: Context): BackendServer | undefined {
  const able = [...board.servers.values()].filter((server) =>
    server.kind === ServerKind.Plain && server.service === route.service && server.state === ServerState.Live && allowsRequest(server, nowMs))
  const fresh = able.filter((server) => !attempt.excluded.includes(server.id))
  const choice = fresh.length === 0 && route.repeatable ? able : fresh
  const first = choice[Math.floor(random() * choice.length)]
  const second = choice[Math.floor(random() * choice.length)]
  // The less busy of two random servers: a slow one gets less, and instances do not all choose the same.
  return first !== undefined && second !== undefined && second.inFlight < first.inFlight ? second : first
}

function recordTry (board: Board, id: string, served: boolean, nowMs: number): void {
  const server = board.servers.get(id)
  if (server === undefined) return
  server.inFlight = Math.max(0, server.inFlight - 1)
  if (served) recordSuccess(server)
  else recordFailure(server, nowMs)
}

function isRepeatable (board: Board, attempt: CallAttempt): boolean {
  return board.bundle?.index.routes.get(attempt.route)?.repeatable === true
}
