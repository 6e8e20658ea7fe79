import type { CallerRequest, Responder } from './caller-request.js'

/** Longest time for which a request waits for the first configuration, in milliseconds; the store usually answers a listing within a few. */
const MAX_WAIT_MS = 600

/** Maximum number of requests that wait. */
const MAX_WAITING = 256

interface WaitingRequest {
  request: CallerRequest
  responder: Responder
  timer: NodeJS.Timeout
}

interface StartupQueueOptions {
  /** Whether another instance is known to serve requests; callers are better off there. */
  isServedElsewhere: () => boolean
  serve: (request: CallerRequest, responder: Responder) => void
  /** Refuses a request that could not wait, or whose wait was in vain. */
  refuse: (request: CallerRequest, responder: Responder) => void
}

/**
 * Requests that arrived before this instance knows a configuration. Callers have few attempts: when all instances restart at once, a caller
 * that was refused at once would use them up on instances that know none either.
 */
export class StartupQueue {
  readonly #options: StartupQueueOptions
  readonly #waiting = new Set<WaitingRequest>()

  constructor (options: StartupQueueOptions) {
    this.#options = options
  }

  get size (): number {
    return this.#waiting.size
  }

  add (request: CallerRequest, responder: Responder): void {
    if (this.#options.isServedElsewhere() || this.#waiting.size >= MAX_WAITING) return this.#options.refuse(request, responder)
    const waiting: WaitingRequest = { request, responder, timer: setTimeout(() => this.#refuse(waiting), MAX_WAIT_MS) }
    this.#waiting.add(waiting)
    responder.onDisconnect(() => this.#remove(waiting))
    // A request that was refused for its bytes must not be served when the configuration arrives.
    responder.buffers.onEvict = () => this.#refuse(waiting)
  }

  /** Serves the requests in the order of their arrival. */
  release (): void {
    for (const waiting of [...this.#waiting]) if (this.#remove(waiting)) this.#options.serve(waiting.request, waiting.responder)
  }

  /** Refuses the requests, because the process is about to exit. */
  refuseAll (): void {
    for (const waiting of [...this.#waiting]) this.#refuse(waiting)
  }

  #refuse (waiting: WaitingRequest): void {
    if (this.#remove(waiting)) this.#options.refuse(waiting.request, waiting.responder)
  }

  #remove (waiting: WaitingRequest): boolean {
    clearTimeout(waiting.timer)
    return this.#waiting.delete(waiting)
  }
}
