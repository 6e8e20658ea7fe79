import { type BackendServer, RunnerRole } from './backend.js'
import { mayRunTwice, ExchangeOutcome } from './exchange-outcome.js'
import { dispatch, type Forwarding, logFailedSend, refuseAtTimeout, refuseUnanswered, type DispatchResult, takeRetry } from './forwarding.js'
import { type ResponseHead, readBody } from './http-exchange.js'
import type { PendingRequest } from './pending-request.js'

/** Largest response body of a plain service that is buffered, in bytes; usual bodies have a few kilobytes. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024

/** Time that a server gets before a retryable request is sent to another one, as a multiple of the server's average latency. */
const SLOW_RESPONSE_FACTOR = 6

/** Shortest wait for the response head of a retryable request, in milliseconds. */
const MIN_HEAD_TIMEOUT_MS = 200

/** Least `Retry-After` of a refusal, in milliseconds; up to as much again is added at random so that callers don't retry all at once. */
const RETRY_AFTER_MS = 150

/** Extra wait past the deadline for the response that the server itself sends at its deadline, in milliseconds. */
const LATE_HEAD_MARGIN_MS = 100

/** Lowest HTTP status that counts as a failure of the server. */
const FIRST_FAILURE_STATUS = 500

/** Share of recent failures from which a 5xx response is attributed to the server; below it, the request itself is assumed to fail on every server. */
const FAULTY_SERVER_FAILURE_SHARE = 0.2

interface CompleteResponse {
  head: ResponseHead
  body: Buffer
}

type AttemptResult = CompleteResponse | Exclude<DispatchResult, { outcome: ExchangeOutcome.Answered }>

/** Forwards a request to a plain service. The response is buffered until it is complete, so that a failed retryable request can be sent to another server. */
export async function forwardPlain (forwarding: Forwarding, pending: PendingRequest): Promise<void> {
  let sending = false
  /** The first 5xx response, sent to the caller if no other server succeeds. */
  let failedResponse: CompleteResponse | null = null
  pending.onTimeout = () => {
    if (failedResponse !== null) sendResponse(pending, failedResponse)
    else refuseAtTimeout(pending, sending)
  }
  const triedServers = new Set<string>()
  for (;;) {
    const backend = chooseBackend(forwarding, pending, triedServers)
    if (backend === undefined) break
    triedServers.add(backend.id)
    sending = true
    const attempt = await sendOnce(forwarding, pending, backend)
    if (pending.ended) return
    sending = false
    const hasResponse = 'body' in attempt
    if (hasResponse && attempt.head.status < FIRST_FAILURE_STATUS) return sendResponse(pending, attempt)
    if (hasResponse) failedResponse ??= attempt
    if (hasResponse) forwarding.health.recordFailure(backend, ExchangeOutcome.Failed)
    const result: DispatchResult = hasResponse ? { outcome: ExchangeOutcome.Failed, detail: `status ${attempt.head.status}` } : attempt
    logFailedSend(forwarding, pending, backend, result)
    if (hasResponse && forwarding.health.failureShare(backend) < FAULTY_SERVER_FAILURE_SHARE) break
    if (!takeRetry(forwarding, pending, result.outcome)) break
  }
  if (failedResponse !== null) return sendResponse(pending, failedResponse)
  refuseUnanswered(pending, RETRY_AFTER_MS * (1 + forwarding.random()))
}

function sendResponse (pending: PendingRequest, { head, body }: CompleteResponse): void {
  pending.markHeadSent()
  pending.responder.head(head)
  pending.responder.write(body)
  pending.complete()
}

function chooseBackend ({ backends, health, failureDomain, random }: Forwarding, pending: PendingRequest, triedServers: Set<string>): BackendServer | undefined {
  const candidates = backends.ready(pending.service, RunnerRole.None).filter(({ id }) => !triedServers.has(id))
  return candidates
    .map((backend) => ({ backend, cost: health.cost(backend, failureDomain) + random() }))
    .sort((a, b) => a.cost - b.cost)[0]?.backend
}

async function sendOnce (forwarding: Forwarding, pending: PendingRequest, backend: BackendServer): Promise<AttemptResult> {
  const deadlineMs = pending.remainingMs()
  const retryable = mayRunTwice(pending.route) && pending.route.attempts > pending.sentTo.size + 1
  const slowAfterMs = Math.max(MIN_HEAD_TIMEOUT_MS, forwarding.health.latencyMs(backend) * SLOW_RESPONSE_FACTOR)
  const result = await dispatch(forwarding, pending, {
    request: pending.request,
    backend,
    deadlineMs,
    headTimeoutMs: retryable ? Math.min(deadlineMs, slowAfterMs) : deadlineMs + LATE_HEAD_MARGIN_MS,
    ownConnection: false
  })
  if (result.outcome !== ExchangeOutcome.Answered) return result
  const body = await readBody(result.head, MAX_RESPONSE_BYTES)
  if (body !== null) return { head: result.head, body }
  if (!pending.ended) forwarding.health.recordFailure(backend, ExchangeOutcome.Broken)
  return { outcome: ExchangeOutcome.Broken, detail: 'response body incomplete or too large' }
}
