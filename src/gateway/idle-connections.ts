import type { Socket } from 'node:net'

/** Idle limit until the first configuration arrives, in milliseconds: callers keep to a limit that this instance does not know yet. */
const UNCONFIGURED_LIMIT_MS = 60_000

/** Time by which a connection stays open beyond its limit, in milliseconds, because a request may be on its way at the limit. Node.js adds such a time only in some versions. */
const CLOSE_MARGIN_MS = 1000

interface IdleConnection {
  sinceMs: number
  limitMs: number
}

/** Connections of callers whose last response has been sent, until each has been idle for longer than its caller may assume. */
export class IdleConnections {
  readonly #connections = new Map<Socket, IdleConnection>()
  #limitMs = UNCONFIGURED_LIMIT_MS

  /** Applies a new limit. A connection that is idle already is kept for the old one or the new one, whichever is longer. */
  set limitMs (limitMs: number) {
    this.#limitMs = limitMs
    for (const connection of this.#connections.values()) connection.limitMs = Math.max(connection.limitMs, limitMs)
  }

  get limitMs (): number {
    return this.#limitMs
  }

  /** Starts the timer of a connection; `promisedMs` is the limit that its last response has named. */
  add (socket: Socket, promisedMs: number): void {
    const limitMs = Math.max(promisedMs, this.#limitMs)
    this.#connections.set(socket, { sinceMs: performance.now(), limitMs })
    socket.setTimeout(limitMs + CLOSE_MARGIN_MS)
  }

  remove (socket: Socket): void {
    if (this.#connections.delete(socket) && !socket.destroyed) socket.setTimeout(0)
  }

  /** Closes a connection whose timer has ended, or starts the timer again if the limit has been raised since. */
  handleTimeout (socket: Socket): void {
    const connection = this.#connections.get(socket)
    if (connection === undefined) return
    const leftMs = connection.sinceMs + connection.limitMs + CLOSE_MARGIN_MS - performance.now()
    if (leftMs >= 1) socket.setTimeout(leftMs)
    else this.#closeUnlessUsed(socket)
  }

  /** Closes a connection once the bytes that have arrived are read: after a pause of the process, timers run before that. */
  #closeUnlessUsed (socket: Socket): void {
    const connection = this.#connections.get(socket)
    const { bytesRead } = socket
    setImmediate(() => {
      if (this.#connections.get(socket) === connection && socket.bytesRead === bytesRead) socket.destroy()
    })
  }
}
