import { type BackendServer, RunnerRole } from './backend.js'
import type { ByteCollector } from './byte-collector.js'
import { mayRunTwice, mayTryOtherServer, ExchangeOutcome } from './exchange-outcome.js'
import { chargeAtTimeout, sendWaitMs, refuseWithheld, sendToServer, type ForwardingContext, logFailedSend, refuseAtTimeout, refuseUnanswered, type SendResult } from './forwarding.js'
import { type ResponseHead, readBody } from './http-exchange.js'
import type { PendingRequest } from './pending-request.js'
import type { Place } from './place-client.js'
import type { PlaceUse } from './plain-place.js'
import { GatewayRefusal } from './refusal.js'

/** Largest response body of a plain service that is buffered, in bytes; typical bodies have a few kilobytes. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024

/** Silence after which another server is sought for a request that may run twice, as a multiple of the server's average latency. */
const SILENCE_LATENCY_FACTOR = 6

/** Shortest silence after which another server is sought, in milliseconds; also the shortest time until the next search. */
const MIN_SILENCE_MS = 200

/** Lowest `Retry-After` of a refusal, in milliseconds; a random addition of up to the same amount keeps callers from retrying all at once. */
const MIN_RETRY_AFTER_MS = 150

/** Time by which the head timeout exceeds the deadline, in milliseconds, as the server sends a response of its own at the deadline. The timer of the pending request has a shorter margin and fires first. */
const HEAD_TIMEOUT_MARGIN_MS = 100

/** Lowest HTTP status of a server error. */
const FIRST_SERVER_ERROR_STATUS = 500

/** Lowest failure share at which a 5xx response is attributed to the server; below it, the request itself may fail on every server. */
const FAULTY_SERVER_FAILURE_SHARE = 0.2

/** Share of the retry budget that is kept for requests without a response when a 5xx response of a sound server is retried. */
const RESERVED_BUDGET_SHARE = 0.5

/** Time from the end of a response at the server until it has reached the caller, in milliseconds. */
const RETURN_TRANSIT_MS = 10

interface CompleteResponse {
  head: ResponseHead
  body: ByteCollector
}

type AttemptResult = CompleteResponse | Exclude<SendResult, { outcome: ExchangeOutcome.Answered }>

/** Why a request is not sent to one more server. */
enum SendObstacle {
  /** The route allows no more servers. */
  Attempts = 'attempts',
  /** The retry budget of the service is exhausted. */
  RetryBudget = 'retry-budget',
  /** The limits of the other servers are used up, or they have turned this instance away. */
  Withheld = 'withheld',
  /** The servers can't take the request in the time that it has. */
  Full = 'full',
  /** No other server is ready. */
  NoServer = 'no-server'
}

/**
 * Forwards a request to a plain service. The response is buffered until it is complete, so that a failed retryable request can be sent to another server.
 * A server that is silent may only be pausing, so it goes on with a request that is sent to another one meanwhile; the first complete success is the response.
 */
export async function forwardPlain (context: ForwardingContext, pending: PendingRequest): Promise<void> {
  await new PlainForwarder(context, pending).run()
}

class PlainForwarder {
  readonly #context: ForwardingContext
  readonly #pending: PendingRequest
  /** Ids of the servers to which the request was sent, or to which no connection was established. */
  readonly #triedServers = new Set<string>()
  /** The servers from which a response may still arrive. */
  readonly #awaited = new Set<BackendServer>()
  /** Those of them whose response has begun. */
  readonly #answering = new Set<BackendServer>()
  /** The servers that have been recorded as silent. */
  readonly #silent = new Set<BackendServer>()
  /** Sends that consume no retry: the first one, and one in place of each that was withheld or found no connection. */
  #freeSends = 1
  #seeking = false
  #silenceTimer: NodeJS.Timeout | undefined
  #lastObstacle: SendObstacle | null = null
  /** The first 5xx response; it is sent to the caller if no other server succeeds. */
  #failedResponse: CompleteResponse | null = null
  /** Places of the servers that the request is sent to, by server. */
  readonly #places = new Map<string, Place>()
  /** When a refused caller should return, as the coordinator of the places says, in milliseconds. */
  #fullForMs: number | null = null
  /** Time until one of the servers may take another request, in milliseconds. */
  #shortestWaitMs = Infinity
  #onFault: (error: unknown) => void = () => {}

  constructor (context: ForwardingContext, pending: PendingRequest) {
    this.#context = context
    this.#pending = pending
  }

  /** Resolves when the request has ended. */
  run (): Promise<void> {
    const pending = this.#pending
    pending.onTimeout = (refusalIfNotRun) => {
      if (this.#failedResponse !== null && !pending.responder.buffers.evicted) sendResponse(pending, this.#failedResponse)
      else refuseAtTimeout(pending, this.#awaited.size > 0, refusalIfNotRun)
    }
    return new Promise((resolve, reject) => {
      this.#onFault = reject
      pending.whenEnded(() => {
        clearTimeout(this.#silenceTimer)
        resolve()
      })
      this.#sendNext().catch(this.#onFault)
    })
  }

  /** Sends the request to one more server. If that is not possible, the servers that may still respond go on; without one, the request ends. */
  async #sendNext (): Promise<void> {
    clearTimeout(this.#silenceTimer)
    this.#seeking = true
    const found = this.#obstacle() ?? await this.#findServer()
    this.#seeking = false
    if (typeof found === 'string') {
      if (this.#pending.ended) return
      return this.#answering.size > 0 ? this.#watchSilence() : this.#giveUpSeeking(found)
    }
    if (this.#pending.ended || this.#answering.size > 0) {
      this.#returnPlace(found, null)
      return this.#pending.ended ? undefined : this.#watchSilence()
    }
    const obstacle = this.#takeSend()
    if (obstacle !== null) {
      this.#returnPlace(found, null)
      return this.#giveUpSeeking(obstacle)
    }
    this.#send(found).catch(this.#onFault)
  }

  #giveUpSeeking (reason: SendObstacle): void {
    if (this.#awaited.size === 0) return this.#endUnanswered()
    const { request, route } = this.#pending
    const server = [...this.#awaited].map(({ id }) => id).join()
    if (reason !== this.#lastObstacle) this.#context.log.info('send.kept', { request: request.id, route: route.name, server, reason, ageMs: Math.round(this.#pending.ageMs()) })
    this.#lastObstacle = reason
    this.#watchSilence()
  }

  #obstacle (): SendObstacle | null {
    const { sentTo, route, service } = this.#pending
    if (sentTo.size + this.#awaited.size >= Math.max(1, route.attempts)) return SendObstacle.Attempts
    return this.#freeSends > 0 || this.#context.retryBudget.allows(service) ? null : SendObstacle.RetryBudget
  }

  /** Chooses a server and takes a permit for one send to it. */
  async #findServer (): Promise<BackendServer | SendObstacle> {
    const withheld = new Set<string>()
    for (;;) {
      const backend = await this.#takePlace(withheld)
      if (backend === SendObstacle.Full) return SendObstacle.Full
      if (backend === undefined) return withheld.size > 0 ? SendObstacle.Withheld : SendObstacle.NoServer
      const waitMs = this.#context.backends.accepts(backend) ? await sendWaitMs(this.#context, this.#pending, backend) : Infinity
      if (waitMs === null || this.#pending.ended) return backend
      this.#returnPlace(backend, null)
      this.#shortestWaitMs = Math.min(this.#shortestWaitMs, waitMs)
      withheld.add(backend.id)
    }
  }

  /** Takes a place at a server from the coordinator, or chooses a server if none decides. */
  async #takePlace (withheld: Set<string>): Promise<BackendServer | SendObstacle.Full | undefined> {
    const { backends, pauses, places } = this.#context
    const { request, route, service } = this.#pending
    const isCoordinated = places.isCoordinated(service)
    if (!isCoordinated || this.#candidates(withheld).length === 0) return this.#chooseBackend(withheld)
    const paused = backends.ready(service, RunnerRole.None).filter((backend) => pauses.waitMs(backend) > 0).map(({ id }) => id)
    const answer = await places.acquire({
      service,
      objectiveLeftMs: route.targetLatencyMs - this.#pending.ageMs() - RETURN_TRANSIT_MS,
      patienceMs: this.#pending.remainingMs(),
      bytes: request.body.length,
      excluded: [...this.#triedServers, ...withheld, ...paused]
    }, (withdraw) => this.#pending.whenEnded(withdraw))
    if ('unanswered' in answer) return this.#chooseBackend(withheld, { amongTwo: true })
    if ('refused' in answer) {
      this.#fullForMs = answer.retryAfterMs
      return SendObstacle.Full
    }
    const backend = backends.get(answer.server)
    if (backend === undefined) answer.return(null)
    else this.#places.set(backend.id, answer)
    return backend ?? this.#chooseBackend(withheld)
  }

  #returnPlace ({ id }: BackendServer, use: PlaceUse | null): void {
    this.#places.get(id)?.return(use)
    this.#places.delete(id)
  }

  #candidates (withheld: Set<string>): BackendServer[] {
    return this.#context.backends.ready(this.#pending.service, RunnerRole.None).filter(({ id }) => !this.#triedServers.has(id) && !withheld.has(id))
  }

  /** Chooses a server by what this instance has seen itself. With `amongTwo`, the better one of two is chosen, as all instances that see little would send to the same server otherwise. */
  #chooseBackend (withheld: Set<string>, { amongTwo = false } = {}): BackendServer | undefined {
    const { crossing, health, failureDomain, random } = this.#context
    const candidates = this.#candidates(withheld)
      // The random part of less than 1 ms spreads requests over servers of equal cost.
      .map((backend) => ({ backend, failureDomain: backend.failureDomain, doneAfterMs: health.cost(backend) + random(), order: amongTwo ? random() : 0 }))
      .toSorted((a, b) => a.order - b.order)
    const { request, route } = this.#pending
    const work = { failureDomain, bytes: request.body.length, objectiveLeftMs: route.targetLatencyMs - this.#pending.ageMs() - RETURN_TRANSIT_MS }
    return crossing.choose(work, amongTwo ? candidates.slice(0, 2) : candidates)?.backend
  }

  /** Consumes a retry, unless the send is free. Returns the obstacle if there is none left. */
  #takeSend (): SendObstacle | null {
    if (this.#freeSends === 0) return this.#context.retryBudget.tryConsume(this.#pending.service) ? null : SendObstacle.RetryBudget
    this.#freeSends -= 1
    return null
  }

  async #send (backend: BackendServer): Promise<void> {
    const pending = this.#pending
    this.#triedServers.add(backend.id)
    this.#awaited.add(backend)
    this.#watchSilence()
    const sentMs = this.#context.nowMs()
    const attempt = await this.#exchange(backend)
    this.#returnPlace(backend, this.#useOf(attempt, this.#context.nowMs() - sentMs))
    this.#awaited.delete(backend)
    this.#answering.delete(backend)
    if (pending.ended) return
    const hasResponse = 'body' in attempt
    const failed = hasResponse && attempt.head.status >= FIRST_SERVER_ERROR_STATUS
    if (hasResponse && this.#failedResponse !== null) this.#context.health.recordRetry(pending.service, { failed })
    if (hasResponse && !failed) return sendResponse(pending, attempt)
    if (hasResponse) this.#failedResponse ??= attempt
    if (hasResponse) this.#context.health.recordFailure(backend, ExchangeOutcome.Failed)
    const result: Exclude<AttemptResult, CompleteResponse> = hasResponse ? { outcome: ExchangeOutcome.Failed, detail: `status ${attempt.head.status}` } : attempt
    logFailedSend(this.#context, pending, backend, result)
    await this.#goOnAfter(backend, result.outcome)
  }

  /** What the coordinator learns from the use of a place; null if the caller ended it. */
  #useOf (attempt: AttemptResult, durationMs: number): PlaceUse | null {
    const { ended, timedOut } = this.#pending
    if (ended) return timedOut ? { outcome: ExchangeOutcome.TimedOut, durationMs } : null
    if (!('body' in attempt)) return { outcome: attempt.outcome, durationMs }
    return { outcome: attempt.head.status >= FIRST_SERVER_ERROR_STATUS ? ExchangeOutcome.Failed : ExchangeOutcome.Answered, durationMs }
  }

  /** Continues after a send that failed. Another server is tried once no response can arrive any more; at once if this one was not even asked and the others are silent. */
  async #goOnAfter (backend: BackendServer, outcome: ExchangeOutcome): Promise<void> {
    const notSent = outcome === ExchangeOutcome.NotSent
    if (notSent) this.#freeSends += 1
    const othersAnswer = [...this.#awaited].some((other) => !notSent || !this.#silent.has(other))
    if (this.#seeking || othersAnswer) return
    if ((outcome === ExchangeOutcome.Failed && !this.#mayFailHereOnly(backend)) || !mayTryOtherServer(this.#pending.route, outcome)) this.#endUnanswered()
    else await this.#sendNext()
  }

  /** Whether another server may answer with success after a 5xx response: as long as such retries help and, unless this server is faulty, enough of them are left for other requests. */
  #mayFailHereOnly (backend: BackendServer): boolean {
    const { health, retryBudget } = this.#context
    const { service } = this.#pending
    if (!health.retryMayHelp(service)) return false
    return health.failureShare(backend) >= FAULTY_SERVER_FAILURE_SHARE || retryBudget.allows(service, { reservedShare: RESERVED_BUDGET_SHARE })
  }

  /** Sends the request to a server and reads the response. */
  async #exchange (backend: BackendServer): Promise<AttemptResult> {
    const pending = this.#pending
    const deadlineMs = pending.remainingMs()
    const result = await sendToServer(this.#context, pending, { request: pending.request, backend, deadlineMs, headTimeoutMs: deadlineMs + HEAD_TIMEOUT_MARGIN_MS, ownConnection: false })
    if (result.outcome !== ExchangeOutcome.Answered) return result
    this.#answering.add(backend)
    const body = await readBody(result.head, { limitBytes: MAX_RESPONSE_BYTES, buffers: pending.responder.buffers })
    if (body !== null) return { head: result.head, body }
    if (pending.ended) chargeAtTimeout(this.#context, pending, backend)
    else this.#context.health.recordFailure(backend, ExchangeOutcome.Broken)
    return { outcome: ExchangeOutcome.Broken, detail: result.head.wasReset() ? 'connection reset within the response' : 'response body incomplete or too large' }
  }

  /** Seeks another server when no response has begun for some time. */
  #watchSilence (): void {
    clearTimeout(this.#silenceTimer)
    const backend = [...this.#awaited].at(-1)
    if (backend === undefined || !mayRunTwice(this.#pending.route)) return
    const silenceMs = Math.max(MIN_SILENCE_MS, this.#context.health.latencyMs(backend) * SILENCE_LATENCY_FACTOR)
    this.#silenceTimer = setTimeout(() => {
      const mayHelp = this.#answering.size === 0 && this.#obstacle() !== SendObstacle.Attempts && this.#chooseBackend(new Set()) !== undefined
      if (this.#seeking || !mayHelp) return this.#watchSilence()
      this.#recordSilence()
      this.#sendNext().catch(this.#onFault)
    }, silenceMs)
  }

  /** Lets other requests avoid the silent servers. */
  #recordSilence (): void {
    const { health, log } = this.#context
    const { request, route } = this.#pending
    for (const backend of this.#awaited) {
      if (this.#silent.has(backend)) continue
      this.#silent.add(backend)
      health.recordFailure(backend, ExchangeOutcome.TimedOut)
      log.info('send.silent', { request: request.id, route: route.name, server: backend.id, ageMs: Math.round(this.#pending.ageMs()) })
    }
  }

  /** Ends the request when no server has answered it successfully and no other one is tried. */
  #endUnanswered (): void {
    const { backends, pauses, random } = this.#context
    const pending = this.#pending
    if (this.#failedResponse !== null) return sendResponse(pending, this.#failedResponse)
    const retryAfterMs = MIN_RETRY_AFTER_MS * (1 + random())
    const pauseMs = pauses.shortestWaitMs(backends.ready(pending.service, RunnerRole.None))
    if (this.#fullForMs !== null && !pending.mayHaveRun && pending.remainingMs() > 0) pending.refuse(GatewayRefusal.Overloaded, this.#fullForMs)
    else if (pauseMs > 0 && pending.sentTo.size === 0) refuseWithheld(pending, GatewayRefusal.Paused, pauseMs + retryAfterMs)
    else if (Number.isFinite(this.#shortestWaitMs)) refuseWithheld(pending, GatewayRefusal.RateLimited, this.#shortestWaitMs + retryAfterMs)
    else refuseUnanswered(pending, pauseMs + retryAfterMs)
  }
}

function sendResponse (pending: PendingRequest, { head, body }: CompleteResponse): void {
  pending.sendHead(head, body.length)
  for (const part of body.parts()) pending.responder.write(part)
  pending.complete()
}
