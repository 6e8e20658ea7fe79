import type { Log } from '../logs/log.js'
import type { BackendServer } from './backend.js'
import { type BackendClient, type KvCacheHandle, type SendOptions, ResponseMeaning } from './backend-client.js'
import type { BackendTable } from './backend-table.js'
import { countsAsAttempt, ExchangeOutcome, provesNotRun, mayTryOtherServer } from './exchange-outcome.js'
import type { GatewayMetrics } from './gateway-metrics.js'
import type { KeyCheck } from './key-check.js'
import type { LimitClient } from './limit-client.js'
import type { ServerLimits } from './server-limits.js'
import { type ResponseHead, isFailure } from './http-exchange.js'
import type { DomainCrossing } from './domain-crossing.js'
import type { PlaceClient } from './place-client.js'
import type { PendingRequest } from './pending-request.js'
import { GatewayRefusal } from './refusal.js'
import type { RetryBudget } from './retry-budget.js'
import type { ServerHealth } from './server-health.js'
import type { ServerPauses } from './server-pauses.js'

/** Lowest HTTP status that is not a success. */
export const FIRST_UNSUCCESSFUL_STATUS = 300

/** Retry delay given to callers when this instance can't serve a request but another one may, in milliseconds. */
export const RETRY_ELSEWHERE_MS = 50

/** Dependencies for forwarding requests, shared by all of them. */
export interface ForwardingContext {
  backends: BackendTable
  backendClient: BackendClient
  health: ServerHealth
  retryBudget: RetryBudget
  failureDomain: string
  log: Log
  metrics: Pick<GatewayMetrics, 'staleSends' | 'limitedSends' | 'pausedSends' | 'crossings' | 'crossingBytes'>
  limits: ServerLimits
  limitClient: LimitClient
  pauses: ServerPauses
  keyCheck: Pick<KeyCheck, 'admits'>
  places: PlaceClient
  crossing: DomainCrossing
  nowMs: () => number
  random: () => number
}

/** Result of sending a request to one server: the head of its response, or why the request failed there. */
export type SendResult =
  | { outcome: ExchangeOutcome.Answered, head: ResponseHead }
  | { outcome: Exclude<ExchangeOutcome, ExchangeOutcome.Answered>, detail: string, reusedConnection?: boolean }

const outcomeByMeaning: Record<Exclude<ResponseMeaning, ResponseMeaning.Answer>, Exclude<ExchangeOutcome, ExchangeOutcome.Answered>> = {
  [ResponseMeaning.NotRun]: ExchangeOutcome.Rejected,
  [ResponseMeaning.OtherServer]: ExchangeOutcome.Misdirected,
  [ResponseMeaning.Invalid]: ExchangeOutcome.Broken
}

/** Sends a request to a server, waits for the response head and records the outcome in the server's health and in the pending request. */
export async function sendToServer (context: ForwardingContext, pending: PendingRequest, options: SendOptions): Promise<SendResult> {
  const { backendClient, health } = context
  const startedMs = context.nowMs()
  health.recordStart(options.backend)
  let written = false
  pending.sendStarted = true
  const exchange = pending.cancelOnEnd(backendClient.send({
    ...options,
    organisation: pending.organisation?.name ?? null,
    maySend: () => {
      if (!maySend(context, pending, options)) return false
      countCrossing(context, options)
      written = options.prefillOnly !== true
      if (written) pending.openSends += 1
      return true
    }
  }))
  const head = await exchange.head
  if (written) pending.openSends -= 1
  health.recordEnd(options.backend)
  const result = resultOfHead(context, options, head)
  if (!isFailure(head)) observeLimit(context, options.backend, head, result.outcome, startedMs)
  if (result.outcome !== ExchangeOutcome.Answered) exchange.cancel()
  if (pending.ended) {
    chargeAtTimeout(context, pending, options.backend)
    return result
  }
  if (result.outcome === ExchangeOutcome.Answered) health.recordSuccess(options.backend, context.nowMs() - startedMs)
  else health.recordFailure(options.backend, result.outcome)
  if (options.prefillOnly !== true) {
    if (countsAsAttempt(result.outcome)) pending.sentTo.add(options.backend.id)
    if (!provesNotRun(result.outcome)) pending.mayHaveRun = true
  }
  return result
}

/** Records the limit in a server's own response. Only a success without a limit shows that the server has none. */
function observeLimit ({ backendClient, limits }: ForwardingContext, backend: BackendServer, head: ResponseHead, outcome: ExchangeOutcome, sentMs: number): void {
  if (outcome !== ExchangeOutcome.Answered && outcome !== ExchangeOutcome.Rejected) return
  const statedPerS = backendClient.statedLimit(backend, head)
  const endsLimit = outcome === ExchangeOutcome.Answered && head.status < FIRST_UNSUCCESSFUL_STATUS
  if (statedPerS === undefined || (statedPerS === null && !endsLimit)) return
  limits.observe(backend, statedPerS, sentMs)
}

/** Takes a place after a pause of the server. Returns null if the request may be sent, or else the time after which one may, in milliseconds. */
export function pauseWaitMs ({ pauses, log, metrics }: ForwardingContext, pending: PendingRequest, backend: BackendServer): number | null {
  if (pauses.tryTake(backend)) return null
  const leftMs = pauses.waitMs(backend)
  metrics.pausedSends.inc()
  log.info('send.paused', { request: pending.request.id, route: pending.route.name, server: backend.id, leftMs: Math.round(leftMs), ageMs: Math.round(pending.ageMs()) })
  return leftMs
}

/** Takes a place after a pause and a permit for one send to a server. Returns null if the request may be sent, or else the time after which the server may take another one, in milliseconds. */
export async function sendWaitMs (context: ForwardingContext, pending: PendingRequest, backend: BackendServer): Promise<number | null> {
  const { limitClient, limits, log, metrics } = context
  const pauseMs = pauseWaitMs(context, pending, backend)
  if (pauseMs !== null) return pauseMs
  if (!limitClient.isLimited(backend)) return null
  const { admitted, waitMs } = await limitClient.acquire(backend)
  if (admitted || pending.ended) return null
  metrics.limitedSends.inc()
  log.info('send.limited', { request: pending.request.id, route: pending.route.name, server: backend.id, limitPerS: limits.limitOf(backend) ?? 'none', waitMs: Math.round(waitMs) })
  return waitMs
}

/** Whether the server still accepts requests: it may have left or turned this instance away since it was chosen, during the prefill or while the connection was established. */
function maySend ({ backends, pauses, keyCheck, log, metrics }: ForwardingContext, pending: PendingRequest, { backend, prefillOnly }: SendOptions): boolean {
  if (!keyCheck.admits(pending)) return false
  if (pauses.isPaused(backend)) {
    metrics.pausedSends.inc()
    log.info('send.paused', { request: pending.request.id, route: pending.route.name, server: backend.id, leftMs: Math.round(pauses.waitMs(backend)), ageMs: Math.round(pending.ageMs()) })
    return false
  }
  if (backends.accepts(backend)) return true
  metrics.staleSends.inc()
  log.warn('send.stale', { request: pending.request.id, route: pending.route.name, server: backend.id, prefill: prefillOnly === true, state: backends.staleness(backend) ?? 'ready', ageMs: Math.round(pending.ageMs()) })
  return false
}

function countCrossing ({ failureDomain, metrics }: ForwardingContext, { backend, request }: SendOptions): void {
  if (backend.failureDomain === failureDomain) return
  const labels = { stage: backend.stage, to: backend.failureDomain }
  metrics.crossings.inc(labels)
  metrics.crossingBytes.inc(labels, request.body.length)
}

/** Records a failure of the server that had not finished the request when its time ran out. A caller's disconnect is not the server's fault. */
export function chargeAtTimeout ({ health }: ForwardingContext, pending: PendingRequest, backend: BackendServer): void {
  if (pending.timedOut) health.recordFailure(backend, ExchangeOutcome.TimedOut)
}

function resultOfHead ({ backendClient }: ForwardingContext, options: SendOptions, head: Awaited<ReturnType<BackendClient['send']>['head']>): SendResult {
  if (isFailure(head)) return head
  const meaning = backendClient.classifyResponse(options, head)
  if (meaning === ResponseMeaning.Answer) return { outcome: ExchangeOutcome.Answered, head }
  return { outcome: outcomeByMeaning[meaning], detail: `status ${head.status}`, reusedConnection: head.reusedConnection }
}

/** Logs that sending a request to a server failed, with the details that an operator needs to find the cause. */
export function logFailedSend ({ log, health }: ForwardingContext, pending: PendingRequest, backend: BackendServer, result: SendResult): void {
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

/** Returns whether the request may be sent to one more server after this outcome. If so, a retry is consumed from the service's budget, except after `NotSent`. */
export function tryConsumeRetry (context: ForwardingContext, pending: PendingRequest, outcome: ExchangeOutcome): boolean {
  if (pending.ended || !mayTryOtherServer(pending.route, outcome)) return false
  if (pending.sentTo.size >= pending.route.attempts) return false
  return outcome === ExchangeOutcome.NotSent || context.retryBudget.tryConsume(pending.service)
}

/** Refuses a request for which no attempt succeeded or none could be made. The refusal distinguishes whether the request may have run. */
export function refuseUnanswered (pending: PendingRequest, retryAfterMs: number): void {
  if (pending.remainingMs() <= 0) {
    return pending.refuse(pending.mayHaveRun ? GatewayRefusal.TimedOut : GatewayRefusal.TimedOutBeforeRun)
  }
  if (pending.mayHaveRun) return pending.refuse(GatewayRefusal.OutcomeUnknown)
  pending.refuse(pending.sentTo.size > 0 ? GatewayRefusal.Rejected : GatewayRefusal.NoServer, retryAfterMs)
}

/** Refuses a request that was sent to no server because their limits were used up or they had turned this instance away, or that failed on the others. */
export function refuseWithheld (pending: PendingRequest, refusal: GatewayRefusal.RateLimited | GatewayRefusal.Paused, retryAfterMs: number): void {
  if (pending.mayHaveRun || pending.remainingMs() <= 0) return refuseUnanswered(pending, retryAfterMs)
  pending.refuse(refusal, retryAfterMs)
}

/** Frees the KV cache of a prompt, unless its runner wants no requests; then it evicts the cache by itself. */
export function freeKvCache ({ backendClient, pauses, log }: ForwardingContext, kvCache: KvCacheHandle): void {
  if (kvCache.server === undefined || !pauses.isPaused(kvCache.server)) backendClient.freeKvCache(kvCache)
  else log.debug('prompt.free-withheld', { server: kvCache.server.id })
}

/** Refuses a request that has to end now. If `sending` is true, a server has not responded completely yet; it may have run the request unless the connection to it is still being established. */
export function refuseAtTimeout (pending: PendingRequest, sending: boolean, refusalIfNotRun: GatewayRefusal): void {
  const mayHaveRun = pending.mayHaveRun || (sending && pending.openSends > 0)
  if (pending.remainingMs() <= 0) pending.refuse(mayHaveRun ? GatewayRefusal.TimedOut : GatewayRefusal.TimedOutBeforeRun)
  else if (mayHaveRun) pending.refuse(GatewayRefusal.OutcomeUnknown)
  else pending.refuse(refusalIfNotRun, RETRY_ELSEWHERE_MS)
}
