import { type Backend, Stage } from './backend.js'
import { mayRunTwice, ExchangeOutcome } from './exchange-outcome.js'
import { dispatch, type Forwarding, logFailedSend, refuseAtTimeout, refuseUnanswered, type Reply, takeAnotherSend } from './forwarding.js'
import { readWhole } from './http-exchange.js'
import type { PendingRequest } from './pending-request.js'

/** Largest answer of a plain service that is held until it is complete, in bytes; far above the kilobytes they send. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024

/** Sends to one server before a repeatable request is tried at another, as a multiple of the server's usual latency. */
const SLOW_ANSWER_FACTOR = 6

/** Least time that a server gets for a repeatable request, in milliseconds. */
const MIN_ANSWER_TIME_MS = 200

/** Refused callers return after about this time, in milliseconds, spread so that they don't return together. */
const RETRY_AFTER_MS = 150

/** Forwards a request to a plain service and holds the answer until it is complete, so that a repeatable one can go to another server. */
export async function forwardPlain (forwarding: Forwarding, pending: PendingRequest): Promise<void> {
  let sending = false
  pending.onTimeout = () => refuseAtTimeout(pending, sending)
  const passedOver = new Set<string>()
  for (;;) {
    const backend = chooseBackend(forwarding, pending, passedOver)
    if (backend === undefined) break
    passedOver.add(backend.id)
    sending = true
    const reply = await sendOnce(forwarding, pending, backend)
    if (pending.ended || reply === null) return
    sending = false
    logFailedSend(forwarding, pending, backend, reply)
    if (!takeAnotherSend(forwarding, pending, reply.outcome)) break
  }
  refuseUnanswered(pending, RETRY_AFTER_MS * (1 + forwarding.random()))
}

function chooseBackend ({ backends, health, failureDomain, random }: Forwarding, pending: PendingRequest, passedOver: Set<string>): Backend | undefined {
  const candidates = backends.ready(pending.service, Stage.None).filter(({ id }) => !passedOver.has(id))
  return candidates
    .map((backend) => ({ backend, cost: health.cost(backend, failureDomain) + random() }))
    .sort((a, b) => a.cost - b.cost)[0]?.backend
}

/** Null when the answer has been passed on. */
async function sendOnce (forwarding: Forwarding, pending: PendingRequest, backend: Backend): Promise<Reply | null> {
  const deadlineMs = pending.leftMs()
  const repeatable = mayRunTwice(pending.route) && pending.route.attempts > pending.sentTo.size + 1
  const patienceMs = Math.max(MIN_ANSWER_TIME_MS, forwarding.health.latencyMs(backend) * SLOW_ANSWER_FACTOR)
  const reply = await dispatch(forwarding, pending, {
    request: pending.request,
    backend,
    deadlineMs,
    headTimeoutMs: repeatable ? Math.min(deadlineMs, patienceMs) : deadlineMs + ANSWER_MARGIN_MS,
    ownConnection: false
  })
  if (reply.outcome !== ExchangeOutcome.Answered || pending.ended) return reply
  const body = await readWhole(reply.head, MAX_ANSWER_BYTES)
  if (pending.ended) return reply
  if (body === null) {
    forwarding.health.failed(backend)
    return { outcome: ExchangeOutcome.Broken, detail: 'the answer broke off' }
  }
  pending.markHeadSent()
  pending.responder.head(reply.head)
  pending.responder.write(body)
  pending.complete()
  return null
}

/** A server's own answer at its deadline may arrive this much later, in milliseconds. */
const ANSWER_MARGIN_MS = 100
