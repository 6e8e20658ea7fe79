import type { IncomingMessage } from 'node:http'

/** How the relayed stream of a runner ended. */
export enum RelayEnd {
  Complete = 'complete',
  Broken = 'broken',
  /** The gateway closed the connection, because the stream was too large. */
  GivenUp = 'given-up',
  /** The gateway closed the connection, because the stream was silent and another runner takes it over. */
  Moved = 'moved'
}

/** The stream of one runner while it is relayed. It is read unless it is held, while another runner may take it over, or its caller reads too slowly. */
export class RelayedStream {
  readonly #message: IncomingMessage
  readonly #onEnd: (end: RelayEnd) => void
  #held = false
  #callerIsSlow = false
  #ended = false
  /** How the connection ended while the stream was held. */
  #endWhileHeld: RelayEnd | null = null

  constructor (options: { message: IncomingMessage, onEnd: (end: RelayEnd) => void }) {
    this.#message = options.message
    this.#onEnd = options.onEnd
  }

  /** Records how the connection ended; only the first end counts. */
  settle (end: RelayEnd): void {
    if (this.#held) this.#endWhileHeld ??= end
    else this.#end(end)
  }

  /** Closes the connection. */
  stop (end: RelayEnd): void {
    this.#held = false
    this.settle(end)
    this.#message.destroy()
  }

  /** Stops reading and puts off the end of the connection until release() or stop(). */
  hold (): void {
    this.#held = true
    this.#message.pause()
  }

  release (): void {
    this.#held = false
    if (this.#endWhileHeld === null) this.#resume()
    else this.#end(this.#endWhileHeld)
  }

  /** Stops reading until resumeForCaller(), also if the stream is released meanwhile. */
  pauseForCaller (): void {
    this.#callerIsSlow = true
    this.#message.pause()
  }

  /** Returns false if the stream has ended meanwhile. */
  resumeForCaller (): boolean {
    this.#callerIsSlow = false
    this.#resume()
    return !this.#ended
  }

  #resume (): void {
    if (!this.#held && !this.#callerIsSlow) this.#message.resume()
  }

  #end (end: RelayEnd): void {
    this.#ended = true
    this.#onEnd(end)
  }
}
