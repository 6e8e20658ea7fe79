import type { Log } from '../logs/log.js'
import type { BackendServer } from './backend.js'
import { type BackendClient, type Dispatch, ResponseMeaning } from './backend-client.js'
import type { BackendTable } from './backend-table.js'
import { countsAsAttempt, ExchangeOutcome, isSurelyNotRun, mayTryElsewhere } from './exchange-outcome.js'
import { type ResponseHead, isFailure } from './http-exchange.js'
import type { PendingRequest } from './pending-request.js'
import { GatewayRefusal } from './refusal.js'
import type { RetryBudget } from './retry-budget.js'
import type { ServerHealth } from './server-health.js'

/** What forwarding needs besides the request. */
export interface Forwarding {
  backends: BackendTable
  backendClient: BackendClient
  health: ServerHealth
  retryBudget: RetryBudget
  failureDomain: string
  log: Log
  nowMs: () => number
  random: () => number
}

/** How the head of an answer, or its absence, is to be taken. */
export type Reply =
  | { outcome: ExchangeOutcome.Answered, head: ResponseHead }
  | { outcome: Exclude<ExchangeOutcome, ExchangeOutcome.Answered>, detail: string }

const outcomeOfMeaning: Record<Exclude<ResponseMeaning, ResponseMeaning.Answer>, Exclude<ExchangeOutcome, ExchangeOutcome.Answered>> = {
  [ResponseMeaning.NotRun]: ExchangeOutcome.Rejected,
  [ResponseMeaning.OtherServer]: ExchangeOutcome.Misdirected,
  [ResponseMeaning.Invalid]: ExchangeOutcome.Broken
}

/** Sends a request to a server, waits for the head of the answer and records what it says about the server. */
export async function dispatch (forwarding: Forwarding, pending: PendingRequest, options: Dispatch): Promise<Reply> {
  const { backendClient: calls, health } = forwarding
  const startedMs = forwarding.nowMs()
  health.recordStart(options.backend)
  const exchange = pending.cancelOnEnd(calls.send(options))
  const head = await exchange.head
  health.recordEnd(options.backend)
  const reply = replyOf(forwarding, options, head)
  if (reply.outcome !== ExchangeOutcome.Answered) exchange.cancel()
  if (pending.ended) return reply
  if (reply.outcome === ExchangeOutcome.Answered) health.recordSuccess(options.backend, forwarding.nowMs() - startedMs)
  else health.recordFailure(options.backend, reply.outcome)
  if (options.prefillOnly !== true) {
    if (countsAsAttempt(reply.outcome)) pending.sentTo.add(options.backend.id)
    if (!isSurelyNotRun(reply.outcome)) pending.mayHaveRun = true
  }
  return reply
}

function replyOf ({ backendClient: calls }: Forwarding, options: Dispatch, head: Awaited<ReturnType<BackendClient['send']>['head']>): Reply {
  if (isFailure(head)) return head
  const meaning = calls.meaningOf(options, head)
  if (meaning === ResponseMeaning.Answer) return { outcome: ExchangeOutcome.Answered, head }
  return { outcome: outcomeOfMeaning[meaning], detail: `status ${head.status}` }
}

/** Writes the line that explains one send which did not bring an answer. */
export function logFailedSend ({ log, health }: Forwarding, pending: PendingRequest, backend: BackendServer, reply: Reply): void {
  log.warn('send.failed', {
    request: pending.request.id,
    route: pending.route.name,
    server: backend.id,
    outcome: reply.outcome,
    detail: 'detail' in reply ? reply.detail : '',
    ageMs: Math.round(pending.ageMs()),
    failureShare: Math.round(health.failureShare(backend) * 100) / 100
  })
}

/** Whether the request may go to one more server after this outcome; takes the repeat from the shared budget. */
export function takeRetry (forwarding: Forwarding, pending: PendingRequest, outcome: ExchangeOutcome): boolean {
  if (pending.ended || !mayTryElsewhere(pending.route, outcome)) return false
  if (pending.sentTo.size >= pending.route.attempts) return false
  return outcome === ExchangeOutcome.NotSent || forwarding.retryBudget.takeRetry(pending.service)
}

/** Ends a request that no server has answered, with a status that says what is known of it. */
export function refuseUnanswered (pending: PendingRequest, retryAfterMs: number): void {
  if (pending.remainingMs() <= 0) {
    return pending.refuse(pending.mayHaveRun ? GatewayRefusal.TimedOut : GatewayRefusal.TimedOutBeforeRun)
  }
  if (pending.mayHaveRun) return pending.refuse(GatewayRefusal.OutcomeUnknown)
  pending.refuse(pending.sentTo.size > 0 ? GatewayRefusal.Rejected : GatewayRefusal.NoServer, retryAfterMs)
}

/** Whether a request may still be run by someone when its time is over. */
export function refuseAtTimeout (pending: PendingRequest, sending: boolean): void {
  pending.refuse(pending.mayHaveRun || sending ? GatewayRefusal.TimedOut : GatewayRefusal.TimedOutBeforeRun)
}
