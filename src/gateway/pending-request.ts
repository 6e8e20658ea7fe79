import type { CallerRequest, Responder } from './caller-request.js'
import type { Organisation, Route } from './configuration.js'
import type { Exchange, ResponseHead } from './http-exchange.js'
import type { LogFields } from '../logs/log.js'
import { GatewayRefusal } from './refusal.js'
import { longestWaitMs } from './route-table.js'

/** Extra wait past the deadline, in milliseconds. A server that stops at the deadline sends a response of its own; the gateway refuses the request only if that response does not arrive in this time. */
const FINAL_RESPONSE_MARGIN_MS = 40

/** Share of its remaining time after which a refused caller returns at the latest, whatever it is told. */
const LONGEST_RETURN_SHARE = 1 / 3

interface PendingRequestOptions {
  request: CallerRequest
  route: Route
  service: string
  /** The organisation whose key the request has; null on a route that needs none. */
  organisation?: Organisation | null
  responder: Responder
  nowMs: () => number
}

/** A caller's request from its arrival until it ends: with a complete response, a refusal, an aborted response or the caller's disconnect. */
export class PendingRequest {
  readonly request: CallerRequest
  readonly route: Route
  readonly service: string
  readonly organisation: Organisation | null
  readonly responder: Responder
  /** True once a server may have run the request; a prefill alone does not count. */
  mayHaveRun = false
  /** True once a send to a server, also of a prefill, has begun. */
  sendStarted = false
  /** Number of sends of which no outcome is known although the request may have been written; prefills do not count. */
  openSends = 0
  /** Ids of the servers to which the request was sent, for the route's limit of attempts; prefills do not count. */
  readonly sentTo = new Set<string>()
  readonly #nowMs: () => number
  readonly #timer: NodeJS.Timeout
  readonly #endListeners: Array<() => void> = []
  #ended = false
  #timedOut = false
  #headSent = false
  #firstPartMs: number | null = null

  constructor (options: PendingRequestOptions) {
    this.request = options.request
    this.route = options.route
    this.service = options.service
    this.organisation = options.organisation ?? null
    this.responder = options.responder
    this.#nowMs = options.nowMs
    this.#timer = setTimeout(() => this.#handleTimeout(), this.remainingMs() + FINAL_RESPONSE_MARGIN_MS)
    this.responder.onDisconnect(() => this.#finish('left'))
    this.responder.buffers.onEvict = () => this.#handleEviction()
  }

  /** Fields for the log line that is written when the request ends, in addition to the usual ones. */
  readonly logFields: LogFields = {}

  addLogFields (fields: LogFields): void {
    Object.assign(this.logFields, fields)
  }

  /** Priority of its organisation, or of its route if that has none; 0 is the most urgent. */
  get priority (): number {
    return this.organisation?.priority ?? this.route.priority
  }

  /** Fields of the log line that is written when the request ends. */
  endFields (ending: string): LogFields {
    const { request, route, service, organisation, sentTo, logFields } = this
    return { request: request.id, route: route.name, service, ...(organisation === null ? {} : { organisation: organisation.name }), ending, ms: Math.round(this.ageMs()), sentTo: [...sentTo].join(',') || 'none', ...logFields }
  }

  /** How the request ended, for its log line; null while it is pending. */
  ending: string | null = null
  /** Called when the request has to end now: its time has run out, the process is about to exit, or it lacks the memory. With time left, a request that has not run is refused for the given reason. */
  onTimeout: (refusalIfNotRun: GatewayRefusal) => void = () => {}
  /** Called once, after all end listeners, when the request has ended. */
  onEnd: (ending: string) => void = () => {}

  get ended (): boolean {
    return this.#ended
  }

  /** Time from the arrival of the request to the first part of its stream, in milliseconds; null before it and without a stream. */
  get firstPartMs (): number | null {
    return this.#firstPartMs
  }

  recordPart (): void {
    if (this.#firstPartMs !== null) return
    this.#firstPartMs = this.ageMs()
    this.addLogFields({ firstEventMs: Math.round(this.#firstPartMs) })
  }

  /** Whether the time for the request ran out before it ended. */
  get timedOut (): boolean {
    return this.#timedOut
  }

  /** Whether the head of a response has been sent to the caller. */
  get headSent (): boolean {
    return this.#headSent
  }

  /** Time left until the caller's deadline or the route's timeout, whichever is earlier; 0 once it has passed. */
  remainingMs (): number {
    return Math.max(0, longestWaitMs(this.request, this.route) - this.ageMs())
  }

  /** Longest time after which the caller returns if it is refused now, in milliseconds. */
  get longestReturnMs (): number {
    return LONGEST_RETURN_SHARE * this.remainingMs()
  }

  /** Time since the request arrived, in milliseconds. */
  ageMs (): number {
    return this.#nowMs() - this.request.arrivedMs
  }

  /** Calls the listener when the request ends for any reason, or immediately if it has ended. */
  whenEnded (listener: () => void): void {
    if (this.#ended) listener()
    else this.#endListeners.push(listener)
  }

  /** Cancels the exchange when the request ends. */
  cancelOnEnd (exchange: Exchange): Exchange {
    this.whenEnded(exchange.cancel)
    return exchange
  }

  /** Sends the head of the response that the caller gets; with the number of bytes of the body if it is already known. */
  sendHead (head: ResponseHead, bodyBytes?: number): void {
    this.#headSent = true
    if (head.endsWithConnection) this.addLogFields({ endsWithConnection: true })
    this.responder.writeHead(head, bodyBytes)
  }

  /** Ends the request with a refusal; aborts the response instead if its head has been sent. */
  refuse (refusal: GatewayRefusal, retryAfterMs: number | null = null): void {
    if (this.#ended) return
    if (this.#headSent) return this.abort(refusal)
    this.responder.refuse(refusal, retryAfterMs)
    this.#finish(refusal)
  }

  /** Closes the caller's connection before the response is complete. */
  abort (reason: string): void {
    if (this.#ended) return
    this.responder.abort()
    this.#finish(`aborted: ${reason}`)
  }

  /** Ends the request with a complete response. */
  complete (): void {
    if (this.#ended) return
    this.responder.end()
    this.#finish('answered')
  }

  #handleTimeout (): void {
    if (this.#ended) return
    this.#timedOut = true
    this.onTimeout(GatewayRefusal.TimedOutBeforeRun)
  }

  #handleEviction (): void {
    if (this.#ended) this.responder.abort()
    else this.onTimeout(GatewayRefusal.OutOfMemory)
  }

  #finish (ending: string): void {
    if (this.#ended) return
    this.#ended = true
    this.ending = ending
    clearTimeout(this.#timer)
    for (const listener of this.#endListeners) listener()
    this.onEnd(ending)
  }
}
