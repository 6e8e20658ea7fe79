import type { Log } from '../logs/log.js'
import type { BackendServer } from './backend.js'
import { type BackendClient, type Dispatch, ResponseMeaning } from './backend-client.js'
import type { BackendTable } from './backend-table.js'
import { countsAsAttempt, ExchangeOutcome, isSurelyNotRun, mayTryOtherServer } from './exchange-outcome.js'
import { type ResponseHead, isFailure } from './http-exchange.js'
import type { PendingRequest } from './pending-request.js'
import { GatewayRefusal } from './refusal.js'
import type { RetryBudget } from './retry-budget.js'
import type { ServerHealth } from './server-health.js'

/** Dependencies that forwarding shares between all requests. */
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

/** Result of sending a request to one server: the head of the server's own response, or the reason why there is none. */
export type DispatchResult =
  | { outcome: ExchangeOutcome.Answered, head: ResponseHead }
  | { outcome: Exclude<ExchangeOutcome, ExchangeOutcome.Answered>, detail: string }

const outcomeOfMeaning: Record<Exclude<ResponseMeaning, ResponseMeaning.Answer>, Exclude<ExchangeOutcome, ExchangeOutcome.Answered>> = {
  [ResponseMeaning.NotRun]: ExchangeOutcome.Rejected,
  [ResponseMeaning.OtherServer]: ExchangeOutcome.Misdirected,
  [ResponseMeaning.Invalid]: ExchangeOutcome.Broken
}

/** Sends a request to a server, waits for the response head and updates the server's health and the request's state with the outcome. */
export async function dispatch (forwarding: Forwarding, pending: PendingRequest, options: Dispatch): Promise<DispatchResult> {
  const { backendClient, health } = forwarding
  const startedMs = forwarding.nowMs()
  health.recordStart(options.backend)
  const exchange = pending.cancelOnEnd(backendClient.send(options))
  const head = await exchange.head
  health.recordEnd(options.backend)
  const result = resultOfHead(forwarding, options, head)
  if (result.outcome !== ExchangeOutcome.Answered) exchange.cancel()
  if (pending.ended) return result
  if (result.outcome === ExchangeOutcome.Answered) health.recordSuccess(options.backend, forwarding.nowMs() - startedMs)
  else health.recordFailure(options.backend, result.outcome)
  if (options.prefillOnly !== true) {
    if (countsAsAttempt(result.outcome)) pending.sentTo.add(options.backend.id)
    if (!isSurelyNotRun(result.outcome)) pending.mayHaveRun = true
  }
  return result
}

function resultOfHead ({ backendClient }: Forwarding, options: Dispatch, head: Awaited<ReturnType<BackendClient['send']>['head']>): DispatchResult {
  if (isFailure(head)) return head
  const meaning = backendClient.meaningOf(options, head)
  if (meaning === ResponseMeaning.Answer) return { outcome: ExchangeOutcome.Answered, head }
  return { outcome: outcomeOfMeaning[meaning], detail: `status ${head.status}` }
}

/** Logs one failed send, with the details that an operator needs to explain it. */
export function logFailedSend ({ log, health }: Forwarding, pending: PendingRequest, backend: BackendServer, result: DispatchResult): void {
  log.warn('send.failed', {
    request: pending.request.id,
    route: pending.route.name,
    server: backend.id,
    outcome: result.outcome,
    detail: 'detail' in result ? result.detail : '',
    ageMs: Math.round(pending.ageMs()),
    failureShare: Math.round(health.failureShare(backend) * 100) / 100
  })
}

/** Whether the request may be sent to one more server after this outcome. If it may, takes a retry from the service's budget, except after `NotSent`. */
export function takeRetry (forwarding: Forwarding, pending: PendingRequest, outcome: ExchangeOutcome): boolean {
  if (pending.ended || !mayTryOtherServer(pending.route, outcome)) return false
  if (pending.sentTo.size >= pending.route.attempts) return false
  return outcome === ExchangeOutcome.NotSent || forwarding.retryBudget.takeRetry(pending.service)
}

/** Refuses a request that no server has answered. The refusal states whether the request is known not to have run. */
export function refuseUnanswered (pending: PendingRequest, retryAfterMs: number): void {
  if (pending.remainingMs() <= 0) {
    return pending.refuse(pending.mayHaveRun ? GatewayRefusal.TimedOut : GatewayRefusal.TimedOutBeforeRun)
  }
  if (pending.mayHaveRun) return pending.refuse(GatewayRefusal.OutcomeUnknown)
  pending.refuse(pending.sentTo.size > 0 ? GatewayRefusal.Rejected : GatewayRefusal.NoServer, retryAfterMs)
}

/** Refuses a request whose time is over. While it is being sent (`sending`), a server may still run it. */
export function refuseAtTimeout (pending: PendingRequest, sending: boolean): void {
  pending.refuse(pending.mayHaveRun || sending ? GatewayRefusal.TimedOut : GatewayRefusal.TimedOutBeforeRun)
}
