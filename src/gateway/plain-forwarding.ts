import { type BackendServer, RunnerRole } from './backend.js'
import { mayRunTwice, ExchangeOutcome } from './exchange-outcome.js'
import { dispatch, type Forwarding, logFailedSend, refuseAtTimeout, refuseUnanswered, type Reply, takeRetry } from './forwarding.js'
import { type ResponseHead, readWhole } from './http-exchange.js'
import type { PendingRequest } from './pending-request.js'

/** Largest answer of a plain service that is held until it is complete, in bytes; far above the kilobytes they send. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024

/** Sends to one server before a repeatable request is tried at another, as a multiple of the server's usual latency. */
const SLOW_ANSWER_FACTOR = 6

/** Least time that a server gets for a repeatable request, in milliseconds. */
const MIN_ANSWER_TIME_MS = 200

/** Refused callers return after about this time, in milliseconds, spread so that they don't return together. */
const RETRY_AFTER_MS = 150

/** A server's own answer at its deadline may arrive this much later, in milliseconds. */
const ANSWER_MARGIN_MS = 100

/** Statuses from here on say that the server failed. */
const FIRST_FAILURE_STATUS = 500

/** Share of recent failures from which on a server's own failure is put down to the server; some requests fail wherever they run. */
const FAULTY_SERVER_SHARE = 0.2

interface WholeAnswer {
  head: ResponseHead
  body: Buffer
}

type Attempt = WholeAnswer | Exclude<Reply, { outcome: ExchangeOutcome.Answered }>

/** Forwards a request to a plain service and holds the answer until it is complete, so that a repeatable one can go to another server. */
export async function forwardPlain (forwarding: Forwarding, pending: PendingRequest): Promise<void> {
  let sending = false
  /** A server's own failure, passed on if no other server does better. */
  let failure: WholeAnswer | null = null
  pending.onTimeout = () => {
    if (failure !== null) passOn(pending, failure)
    else refuseAtTimeout(pending, sending)
  }
  const passedOver = new Set<string>()
  for (;;) {
    const backend = chooseBackend(forwarding, pending, passedOver)
    if (backend === undefined) break
    passedOver.add(backend.id)
    sending = true
    const attempt = await sendOnce(forwarding, pending, backend)
    if (pending.ended) return
    sending = false
    const answered = 'body' in attempt
    if (answered && attempt.head.status < FIRST_FAILURE_STATUS) return passOn(pending, attempt)
    if (answered) failure ??= attempt
    if (answered) forwarding.health.recordFailure(backend, ExchangeOutcome.Failed)
    const reply: Reply = answered ? { outcome: ExchangeOutcome.Failed, detail: `status ${attempt.head.status}` } : attempt
    logFailedSend(forwarding, pending, backend, reply)
    if (answered && forwarding.health.failureShare(backend) < FAULTY_SERVER_SHARE) break
    if (!takeRetry(forwarding, pending, reply.outcome)) break
  }
  if (failure !== null) return passOn(pending, failure)
  refuseUnanswered(pending, RETRY_AFTER_MS * (1 + forwarding.random()))
}

function passOn (pending: PendingRequest, { head, body }: WholeAnswer): void {
  pending.markHeadSent()
  pending.responder.head(head)
  pending.responder.write(body)
  pending.complete()
}

function chooseBackend ({ backends, health, failureDomain, random }: Forwarding, pending: PendingRequest, passedOver: Set<string>): BackendServer | undefined {
  const candidates = backends.ready(pending.service, RunnerRole.None).filter(({ id }) => !passedOver.has(id))
  return candidates
    .map((backend) => ({ backend, cost: health.cost(backend, failureDomain) + random() }))
    .sort((a, b) => a.cost - b.cost)[0]?.backend
}

async function sendOnce (forwarding: Forwarding, pending: PendingRequest, backend: BackendServer): Promise<Attempt> {
  const deadlineMs = pending.remainingMs()
  const repeatable = mayRunTwice(pending.route) && pending.route.attempts > pending.sentTo.size + 1
  const patienceMs = Math.max(MIN_ANSWER_TIME_MS, forwarding.health.latencyMs(backend) * SLOW_ANSWER_FACTOR)
  const reply = await dispatch(forwarding, pending, {
    request: pending.request,
    backend,
    deadlineMs,
    headTimeoutMs: repeatable ? Math.min(deadlineMs, patienceMs) : deadlineMs + ANSWER_MARGIN_MS,
    ownConnection: false
  })
  if (reply.outcome !== ExchangeOutcome.Answered) return reply
  const body = await readWhole(reply.head, MAX_ANSWER_BYTES)
  if (body !== null) return { head: reply.head, body }
  if (!pending.ended) forwarding.health.recordFailure(backend, ExchangeOutcome.Broken)
  return { outcome: ExchangeOutcome.Broken, detail: 'the answer broke off' }
}
