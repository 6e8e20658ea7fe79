import type { Log } from '../logs/log.js'
import { type BackendServer, incarnationOf } from './backend.js'

/** Lowest limit that is enforced, in requests per second: only an answer shows that a limit has ended, so even a server that takes nothing is asked now and then. */
const MIN_LIMIT_PER_S = 0.5

/** Limit from which a server counts as unlimited, in requests per second. */
const MAX_LIMIT_PER_S = 10_000

/** Relative change of a limit from which the other instances are told at once. */
const REPORTED_CHANGE = 0.1

/** Time for which the end of a limit is remembered, in milliseconds, so that an older report of another instance does not bring it back. */
const ENDED_LIMIT_MEMORY_MS = 30_000

/** What a server's newest known answer says about its limit. */
interface StatedLimit {
  /** Requests per second that the server takes from all instances together; null if it takes any number. */
  limitPerS: number | null
  /** When that answer arrived, in milliseconds. */
  observedMs: number
}

/** What an instance tells others about the limit of one server; times are ages, as the clocks of instances differ. */
export interface LimitReport {
  /** The incarnation of the server. */
  server: string
  limitPerS: number | null
  ageMs: number
}

interface ServerLimitsOptions {
  nowMs: () => number
  log: Log
  /** Called when there is something new to tell the other instances. */
  onChange?: () => void
}

/** The limits that servers name in their answers, as far as this instance or another one has seen them. */
export class ServerLimits {
  readonly #options: ServerLimitsOptions
  /** By incarnation. */
  readonly #limits = new Map<string, StatedLimit>()

  constructor (options: ServerLimitsOptions) {
    this.#options = options
  }

  /** Number of servers with a limit. */
  get size (): number {
    return [...this.#limits.values()].filter(({ limitPerS }) => limitPerS !== null).length
  }

  /** The limit that is enforced for a server, in requests per second; null if it has none. */
  limitOf (backend: BackendServer): number | null {
    if (this.#limits.size === 0) return null
    return this.#limits.get(incarnationOf(backend))?.limitPerS ?? null
  }

  /** Records what an answer to a request of this instance says; `statedPerS` is null if it names no limit. */
  observe (backend: BackendServer, statedPerS: number | null, sentMs: number): void {
    const incarnation = incarnationOf(backend)
    const known = this.#limits.get(incarnation)
    if (statedPerS === null && (known === undefined || sentMs <= known.observedMs)) return
    const limitPerS = enforceableLimit(statedPerS)
    if (limitPerS === null && known === undefined) return
    const changed = isNoteworthy(known?.limitPerS ?? null, limitPerS)
    this.#set(incarnation, { limitPerS, observedMs: this.#options.nowMs() }, 'answer')
    if (changed) this.#options.onChange?.()
  }

  /** Merges what another instance tells; `from` is its address. */
  merge (from: string, reports: LimitReport[]): void {
    const nowMs = this.#options.nowMs()
    for (const { server, limitPerS, ageMs } of reports) {
      const observedMs = nowMs - Math.max(0, ageMs)
      const known = this.#limits.get(server)
      if (known !== undefined && known.observedMs >= observedMs) continue
      if (known === undefined && limitPerS === null) continue
      this.#set(server, { limitPerS: enforceableLimit(limitPerS), observedMs }, from)
    }
  }

  /** What is known of a server, for the instance that keeps its limit. */
  reportOf (backend: BackendServer): LimitReport {
    const server = incarnationOf(backend)
    const { limitPerS, observedMs } = this.#limits.get(server) ?? { limitPerS: null, observedMs: -Infinity }
    return { server, limitPerS, ageMs: Math.round(this.#options.nowMs() - observedMs) }
  }

  /** All known limits, the newest first; limits that have ended long ago are dropped. */
  reports (): LimitReport[] {
    const nowMs = this.#options.nowMs()
    for (const [server, { limitPerS, observedMs }] of this.#limits) if (limitPerS === null && nowMs - observedMs > ENDED_LIMIT_MEMORY_MS) this.#limits.delete(server)
    return [...this.#limits].sort(([, a], [, b]) => b.observedMs - a.observedMs).map(([server, { limitPerS, observedMs }]) => ({ server, limitPerS, ageMs: Math.round(nowMs - observedMs) }))
  }

  /** Forgets all servers except the given incarnations. */
  retain (incarnations: Set<string>): void {
    for (const server of this.#limits.keys()) if (!incarnations.has(server)) this.#limits.delete(server)
  }

  #set (server: string, stated: StatedLimit, from: string): void {
    const before = this.#limits.get(server)?.limitPerS ?? null
    this.#limits.set(server, stated)
    if (!isNoteworthy(before, stated.limitPerS)) return
    if (stated.limitPerS === null) this.#options.log.info('limit.ended', { server, beforePerS: before ?? 'none', from })
    else this.#options.log.warn('limit.named', { server, limitPerS: stated.limitPerS, beforePerS: before ?? 'none', from })
  }
}

/** The limit to enforce for one that a server states; null if there is nothing to enforce. */
function enforceableLimit (statedPerS: number | null): number | null {
  if (statedPerS === null || statedPerS >= MAX_LIMIT_PER_S) return null
  return Math.max(MIN_LIMIT_PER_S, statedPerS)
}

function isNoteworthy (before: number | null, after: number | null): boolean {
  if (before === null || after === null) return before !== after
  return Math.abs(after - before) > REPORTED_CHANGE * before
}
