import type { Board } from '../board/board.js'
import type { ModelRequest } from '../board/model-request.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { CoreActionKind } from '../core/core-action.js'
import { RefusalKind } from '../errors/refusal.js'
import { abandonAttempt } from './abandon.js'
import { mayHaveRun } from './held-work.js'
import { RequestActionKind } from './request-action.js'
import { RequestEnd, RequestEventKind } from './request-event.js'

/** Why a request is given up. */
export enum GiveUpReason {
  Deadline = 'deadline',
  NoServer = 'no-server',
  Failures = 'failures',
  RetryBudget = 'retry-budget',
  StreamLost = 'stream-lost'
}

/** The refusals for a reason to give up, and the beginning of their detail text. */
interface RefusalChoice {
  /** The refusal if no engine can have worked on the request. */
  notRun: RefusalKind
  /** The refusal if an engine may have worked on it. */
  ran: RefusalKind
  detail: string
}

const refusalChoices: Record<GiveUpReason, RefusalChoice> = {
  [GiveUpReason.Deadline]: { notRun: RefusalKind.DeadlineUnreachable, ran: RefusalKind.DeadlinePassed, detail: 'the deadline allows no further attempt' },
  [GiveUpReason.NoServer]: { notRun: RefusalKind.NoServer, ran: RefusalKind.StreamLost, detail: 'no runner can take the request' },
  [GiveUpReason.Failures]: { notRun: RefusalKind.NoServer, ran: RefusalKind.StreamLost, detail: 'too many runners failed the request' },
  [GiveUpReason.RetryBudget]: { notRun: RefusalKind.Overloaded, ran: RefusalKind.StreamLost, detail: 'the retry budget of the service is spent' },
  [GiveUpReason.StreamLost]: { notRun: RefusalKind.StreamLost, ran: RefusalKind.StreamLost, detail: 'the runner was lost and another one may continue with another text' }
}

/** Retry-After time of a request that is given up, in milliseconds. */
const RETRY_AFTER_MS = 1000

/** Cancels the remaining work of the request and refuses it; the detail gives its attempts, tokens and last fault. */
export function giveUp (board: Board, request: ModelRequest, reason: GiveUpReason, context: Context): Action[] {
  const choice = refusalChoices[reason]
  const refusal = mayHaveRun(request) ? choice.ran : choice.notRun
  const history = `${request.attempt} attempts, ${request.tokens} tokens received`
  const lastFault = request.lastFault === '' ? '' : `, last fault: ${request.lastFault}`
  return [
    ...abandonAttempt(board, request, context),
    ...refuse(board, request, refusal, `${choice.detail} (${history}${lastFault})`, RETRY_AFTER_MS)
  ]
}

/** Refuses a request for which no engine holds work. */
export function refuse (board: Board, request: ModelRequest, refusal: RefusalKind, detail: string, retryAfterMs: number): Action[] {
  return [
    { kind: RequestActionKind.RefuseRequest, request: request.id, refusal, detail, retryAfterMs },
    ...endRequest(board, request, RequestEnd.Refused)
  ]
}

/** Removes the request from the blackboard and emits its end to all controllers. */
export function endRequest (board: Board, request: ModelRequest, end: RequestEnd): Action[] {
  board.requests.delete(request.id)
  const { id, organisation } = request
  return [{ kind: CoreActionKind.Emit, event: { kind: RequestEventKind.RequestEnded, request: id, organisation, end } }]
}
