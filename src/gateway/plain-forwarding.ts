import { type BackendServer, RunnerRole } from './backend.js'
import { mayRunTwice, ExchangeOutcome } from './exchange-outcome.js'
import { chargeAtTimeout, sendWaitMs, refuseWithheld, sendToServer, type ForwardingContext, logFailedSend, refuseAtTimeout, refuseUnanswered, type SendResult, tryConsumeRetry } from './forwarding.js'
import { type ResponseHead, readBody } from './http-exchange.js'
import type { PendingRequest } from './pending-request.js'
import { GatewayRefusal } from './refusal.js'

/** Largest response body of a plain service that is buffered, in bytes; typical bodies have a few kilobytes. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024

/** Head timeout of a retryable request, as a multiple of the server's average latency; after it, the request is sent to another server. */
const HEAD_TIMEOUT_LATENCY_FACTOR = 6

/** Shortest head timeout of a retryable request, in milliseconds. */
const MIN_HEAD_TIMEOUT_MS = 200

/** Lowest `Retry-After` of a refusal, in milliseconds; a random addition of up to the same amount keeps callers from retrying all at once. */
const MIN_RETRY_AFTER_MS = 150

/** Time by which the head timeout exceeds the deadline, in milliseconds, as the server sends a response of its own at the deadline. The timer of the pending request has a shorter margin and fires first. */
const HEAD_TIMEOUT_MARGIN_MS = 100

/** Lowest HTTP status of a server error. */
const FIRST_SERVER_ERROR_STATUS = 500

/** Lowest failure share at which a 5xx response is attributed to the server; below it, the request itself is assumed to fail on every server. */
const FAULTY_SERVER_FAILURE_SHARE = 0.2

interface CompleteResponse {
  head: ResponseHead
  body: Buffer
}

type AttemptResult = CompleteResponse | Exclude<SendResult, { outcome: ExchangeOutcome.Answered }>

/** Forwards a request to a plain service. The response is buffered until it is complete, so that a failed retryable request can be sent to another server. */
export async function forwardPlain (context: ForwardingContext, pending: PendingRequest): Promise<void> {
  let sending = false
  /** The first 5xx response; it is sent to the caller if no other server succeeds. */
  let failedResponse: CompleteResponse | null = null
  pending.onTimeout = (refusalIfNotRun) => {
    if (failedResponse !== null && !pending.responder.buffers.evicted) sendResponse(pending, failedResponse)
    else refuseAtTimeout(pending, sending, refusalIfNotRun)
  }
  const triedServers = new Set<string>()
  /** Time until one of the servers may take another request, in milliseconds. */
  let shortestWaitMs = Infinity
  for (;;) {
    const backend = chooseBackend(context, pending, triedServers)
    if (backend === undefined) break
    triedServers.add(backend.id)
    const waitMs = await sendWaitMs(context, pending, backend)
    if (pending.ended) return
    if (waitMs !== null) {
      shortestWaitMs = Math.min(shortestWaitMs, waitMs)
      continue
    }
    sending = true
    const attempt = await sendOnce(context, pending, backend, triedServers)
    if (pending.ended) return
    sending = false
    const hasResponse = 'body' in attempt
    if (hasResponse && attempt.head.status < FIRST_SERVER_ERROR_STATUS) return sendResponse(pending, attempt)
    if (hasResponse) failedResponse ??= attempt
    if (hasResponse) context.health.recordFailure(backend, ExchangeOutcome.Failed)
    const result: SendResult = hasResponse ? { outcome: ExchangeOutcome.Failed, detail: `status ${attempt.head.status}` } : attempt
    logFailedSend(context, pending, backend, result)
    if (hasResponse && context.health.failureShare(backend) < FAULTY_SERVER_FAILURE_SHARE) break
    if (!tryConsumeRetry(context, pending, result.outcome)) break
  }
  if (failedResponse !== null) return sendResponse(pending, failedResponse)
  const retryAfterMs = MIN_RETRY_AFTER_MS * (1 + context.random())
  const pauseMs = context.pauses.shortestWaitMs(context.backends.ready(pending.service, RunnerRole.None))
  if (pauseMs > 0 && pending.sentTo.size === 0) refuseWithheld(pending, GatewayRefusal.Paused, pauseMs + retryAfterMs)
  else if (Number.isFinite(shortestWaitMs)) refuseWithheld(pending, GatewayRefusal.RateLimited, shortestWaitMs + retryAfterMs)
  else refuseUnanswered(pending, pauseMs + retryAfterMs)
}

function sendResponse (pending: PendingRequest, { head, body }: CompleteResponse): void {
  pending.markHeadSent()
  pending.responder.writeHead(head)
  pending.responder.write(body)
  pending.complete()
}

function chooseBackend ({ backends, health, failureDomain, random }: ForwardingContext, pending: PendingRequest, triedServers: Set<string>): BackendServer | undefined {
  const candidates = backends.ready(pending.service, RunnerRole.None).filter(({ id }) => !triedServers.has(id))
  // The random part of less than 1 ms spreads requests over servers of equal cost.
  return candidates
    .map((backend) => ({ backend, cost: health.cost(backend, failureDomain) + random() }))
    .sort((a, b) => a.cost - b.cost)[0]?.backend
}

async function sendOnce (context: ForwardingContext, pending: PendingRequest, backend: BackendServer, triedServers: Set<string>): Promise<AttemptResult> {
  const deadlineMs = pending.remainingMs()
  // Without another server to try, giving up a slow one would only lose its response.
  const retryable = mayRunTwice(pending.route) && pending.route.attempts > pending.sentTo.size + 1 && chooseBackend(context, pending, triedServers) !== undefined
  const earlyTimeoutMs = Math.max(MIN_HEAD_TIMEOUT_MS, context.health.latencyMs(backend) * HEAD_TIMEOUT_LATENCY_FACTOR)
  const result = await sendToServer(context, pending, {
    request: pending.request,
    backend,
    deadlineMs,
    headTimeoutMs: retryable ? Math.min(deadlineMs, earlyTimeoutMs) : deadlineMs + HEAD_TIMEOUT_MARGIN_MS,
    ownConnection: false
  })
  if (result.outcome !== ExchangeOutcome.Answered) return result
  const body = await readBody(result.head, { limitBytes: MAX_RESPONSE_BYTES, buffers: pending.responder.buffers })
  if (body !== null) return { head: result.head, body }
  if (pending.ended) chargeAtTimeout(context, pending, backend)
  else context.health.recordFailure(backend, ExchangeOutcome.Broken)
  return { outcome: ExchangeOutcome.Broken, detail: 'response body incomplete or too large' }
}
