import type { CallerRequest, Responder } from './caller-request.js'
import type { Route } from './configuration.js'
import type { Exchange } from './http-exchange.js'
import type { LogFields } from '../logs/log.js'
import type { GatewayRefusal } from './refusal.js'

/** Servers stop at the deadline that they are given and say so; their answer gets this long to arrive before the gateway answers itself, in milliseconds. */
const FINAL_ANSWER_MARGIN_MS = 40

interface PendingRequestOptions {
  request: CallerRequest
  route: Route
  service: string
  responder: Responder
  nowMs: () => number
}

/** A request from its arrival to its one final answer. */
export class PendingRequest {
  readonly request: CallerRequest
  readonly route: Route
  readonly service: string
  readonly responder: Responder
  /** Becomes true once a send can't be excluded to have run. */
  mayHaveRun = false
  /** Servers to which the request was sent. */
  readonly sentTo = new Set<string>()
  readonly #nowMs: () => number
  readonly #timer: NodeJS.Timeout
  readonly #stops: Array<() => void> = []
  #ended = false
  #headSent = false

  constructor (options: PendingRequestOptions) {
    this.request = options.request
    this.route = options.route
    this.service = options.service
    this.responder = options.responder
    this.#nowMs = options.nowMs
    this.#timer = setTimeout(() => this.#onTimeout(), this.remainingMs() + FINAL_ANSWER_MARGIN_MS)
    this.responder.onDisconnect(() => this.#finish('left'))
  }

  /** What was decided for the request, for its log line. */
  readonly notes: LogFields = {}

  note (fields: LogFields): void {
    Object.assign(this.notes, fields)
  }

  /** How the request ended, for its log line; set once. */
  ending: string | null = null
  onTimeout: () => void = () => {}
  onEnd: (ending: string) => void = () => {}

  get ended (): boolean {
    return this.#ended
  }

  get headSent (): boolean {
    return this.#headSent
  }

  /** Time left for servers: the caller's deadline or the route's timeout, whichever is first. */
  remainingMs (): number {
    const allowedMs = Math.min(this.request.deadlineMs ?? Infinity, this.route.timeoutMs)
    return Math.max(0, allowedMs - this.ageMs())
  }

  ageMs (): number {
    return this.#nowMs() - this.request.arrivedMs
  }

  /** Runs when the request ends, however it ends; at once if it has ended. */
  onStop (stop: () => void): void {
    if (this.#ended) stop()
    else this.#stops.push(stop)
  }

  /** Gives up an exchange when the request ends. */
  cancelOnEnd (exchange: Exchange): Exchange {
    this.onStop(exchange.cancel)
    return exchange
  }

  markHeadSent (): void {
    this.#headSent = true
  }

  refuse (refusal: GatewayRefusal, retryAfterMs: number | null = null): void {
    if (this.#ended) return
    if (this.#headSent) return this.abort(refusal)
    this.responder.refuse(refusal, retryAfterMs)
    this.#finish(refusal)
  }

  abort (reason: string): void {
    if (this.#ended) return
    this.responder.abort()
    this.#finish(`aborted: ${reason}`)
  }

  complete (): void {
    if (this.#ended) return
    this.responder.end()
    this.#finish('answered')
  }

  #onTimeout (): void {
    if (!this.#ended) this.onTimeout()
  }

  #finish (ending: string): void {
    if (this.#ended) return
    this.#ended = true
    this.ending = ending
    clearTimeout(this.#timer)
    for (const stop of this.#stops) stop()
    this.onEnd(ending)
  }
}
