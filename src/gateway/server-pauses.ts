import type { Log } from '../logs/log.js'
import { type BackendServer, incarnationOf } from './backend.js'

/** Longest pause that is kept, in milliseconds; a server that asks for more gets one request after it and may ask again. */
const MAX_PAUSE_MS = 600_000

/** Random extension of a pause as a share of it, so that the instances that a server has turned away at the same time return one after the other. */
const JITTER_SHARE = 0.2

/** Longest random extension of a pause, in milliseconds. */
const MAX_JITTER_MS = 300

/** Time after a pause in which requests return gradually, in milliseconds. */
const RETURN_MS = 1500

/** Time between the first two requests after a pause, in milliseconds; it falls to 0 until the end of the return. */
const RETURN_SPACING_MS = 150

/** Largest number of pauses that a placement request names, so that it fits one packet. */
const MAX_NAMED_PAUSES = 40

interface Pause {
  /** End of the pause, in milliseconds. */
  untilMs: number
  /** When the next request may be sent after the pause, in milliseconds. */
  nextSendMs: number
}

/** A runner to which the instance that requests a placement may not send. */
export interface RunnerPause {
  /** Id of the runner. */
  server: string
  leftMs: number
}

interface ServerPausesOptions {
  nowMs: () => number
  random: () => number
  log: Log
}

/** Decides to which servers this instance may not send, because they have turned it away for a time. */
export class ServerPauses {
  readonly #options: ServerPausesOptions
  /** By incarnation, so that the restart of a server ends its pause. */
  readonly #pauses = new Map<string, Pause>()

  constructor (options: ServerPausesOptions) {
    this.#options = options
  }

  /** Number of servers that have turned this instance away. */
  get size (): number {
    const nowMs = this.#options.nowMs()
    return [...this.#pauses.values()].filter(({ untilMs }) => untilMs > nowMs).length
  }

  /** Records that a server wants nothing for `statedMs` milliseconds. A pause is never shortened, as the server counts each of its answers. */
  record (backend: BackendServer, statedMs: number): void {
    const { nowMs, random, log } = this.#options
    const boundedMs = Math.min(MAX_PAUSE_MS, Math.max(0, statedMs))
    const jitterMs = Math.min(MAX_JITTER_MS, boundedMs * JITTER_SHARE) * random()
    const untilMs = nowMs() + boundedMs + jitterMs
    const server = incarnationOf(backend)
    const knownUntilMs = this.#pauses.get(server)?.untilMs ?? -Infinity
    log.info('server.paused', { server: backend.id, service: backend.service, statedMs: Math.round(statedMs), forMs: Math.round(boundedMs + jitterMs), leftMs: Math.max(0, Math.round(knownUntilMs - nowMs())), ageMs: 0 })
    if (boundedMs === 0 || untilMs <= knownUntilMs) return
    this.#evict()
    this.#pauses.set(server, { untilMs, nextSendMs: untilMs })
  }

  /** Whether the server wants nothing now. */
  isPaused (backend: BackendServer): boolean {
    const pause = this.#pauseOf(backend)
    return pause !== undefined && this.#options.nowMs() < pause.untilMs
  }

  /** Time until this instance may send a request, in milliseconds; 0 if it may now. */
  waitMs (backend: BackendServer): number {
    const pause = this.#pauseOf(backend)
    return pause === undefined ? 0 : Math.max(0, pause.nextSendMs - this.#options.nowMs())
  }

  /** Shortest time until this instance may send a request to one of the servers, in milliseconds; 0 if it may now or there is no server. */
  shortestWaitMs (backends: BackendServer[]): number {
    return backends.length === 0 ? 0 : Math.min(...backends.map((backend) => this.waitMs(backend)))
  }

  /** Takes the place of one request. After a pause there are few at first, so that the requests that waited do not arrive all at once. */
  tryTake (backend: BackendServer): boolean {
    const pause = this.#pauseOf(backend)
    if (pause === undefined) return true
    const nowMs = this.#options.nowMs()
    if (nowMs < pause.nextSendMs) return false
    pause.nextSendMs = nowMs + RETURN_SPACING_MS * Math.max(0, 1 - (nowMs - pause.untilMs) / RETURN_MS)
    return true
  }

  /** The pauses of the given servers, the longest first, for the instance that places requests of this one. */
  list (backends: BackendServer[]): RunnerPause[] {
    if (this.#pauses.size === 0) return []
    return backends
      .map((backend) => ({ server: backend.id, leftMs: Math.ceil(this.waitMs(backend)) }))
      .filter(({ leftMs }) => leftMs > 0)
      .sort((a, b) => b.leftMs - a.leftMs)
      .slice(0, MAX_NAMED_PAUSES)
  }

  #pauseOf (backend: BackendServer): Pause | undefined {
    return this.#pauses.size === 0 ? undefined : this.#pauses.get(incarnationOf(backend))
  }

  /** Drops the pauses whose return has ended. */
  #evict (): void {
    const sinceMs = this.#options.nowMs() - RETURN_MS
    for (const [server, { untilMs }] of this.#pauses) if (untilMs < sinceMs) this.#pauses.delete(server)
  }
}
