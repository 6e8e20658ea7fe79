import type { Log } from '../logs/log.js'
import { type BackendServer, incarnationOf } from './backend.js'

/** Time after the answer for which another instance's report of it is believed, in milliseconds; a server that leaves has exited by then. */
export const PEER_NOTICE_LIFETIME_MS = 60_000

/** Time for which the notice of a server that is not in the table is remembered, in milliseconds: an entry that expired during an outage of the store may come back. */
const ABSENT_SERVER_MEMORY_MS = 600_000

/** Largest number of remembered notices; the oldest is dropped first. */
const MAX_NOTICES = 1024

/** What is known of a server that has said that it leaves. */
interface LeavingNotice {
  /** When the newest such answer arrived at an instance, in milliseconds. */
  observedMs: number
  /** Whether this instance has received such an answer itself. */
  own: boolean
}

/** What an instance tells others about one server; the time is an age, as the clocks of instances differ. */
export interface LeavingReport {
  /** The incarnation of the server. */
  server: string
  ageMs: number
}

interface LeavingNoticesOptions {
  nowMs: () => number
  log: Log
  /** The servers in the table. */
  servers: () => BackendServer[]
  /** Called when this instance is the first that it knows to have received such an answer of a server. */
  onChange?: () => void
}

/** Decides which servers have said in their answers that they leave, to this instance or to another one. */
export class LeavingNotices {
  readonly #options: LeavingNoticesOptions
  /** By incarnation, so that the restart of a server ends its notice. */
  readonly #notices = new Map<string, LeavingNotice>()

  constructor (options: LeavingNoticesOptions) {
    this.#options = options
  }

  /** Whether this incarnation of the server has said that it leaves. */
  includes (backend: BackendServer): boolean {
    if (this.#notices.size === 0) return false
    const notice = this.#notices.get(incarnationOf(backend))
    return notice !== undefined && this.#isValid(notice)
  }

  /** Number of servers in the table that have said that they leave. */
  get size (): number {
    return this.#options.servers().filter((backend) => this.includes(backend)).length
  }

  /** Records an answer of the server to this instance. */
  observe (backend: BackendServer): void {
    const { nowMs, log, onChange } = this.#options
    const server = incarnationOf(backend)
    const known = this.#notices.get(server)
    this.#notices.delete(server)
    this.#notices.set(server, { observedMs: nowMs(), own: true })
    if (known?.own === true) return
    log.warn('server.said-leaving', { server: backend.id, service: backend.service, state: backend.state, startedAtMs: backend.startedAtMs, from: 'answer', ageMs: 0 })
    if (known !== undefined && this.#isValid(known)) return
    this.#evict()
    onChange?.()
  }

  /** Merges what another instance tells; `from` is its address. Only the first report of an incarnation counts, and only if the incarnation is in the table, so that repeated reports can't keep a server without requests forever. */
  merge (from: string, reports: LeavingReport[]): void {
    const { nowMs, log, servers } = this.#options
    const reported = new Map(reports.map(({ server, ageMs }) => [server, Math.max(0, ageMs)]))
    for (const backend of servers()) {
      const server = incarnationOf(backend)
      const ageMs = reported.get(server)
      if (ageMs === undefined || ageMs >= PEER_NOTICE_LIFETIME_MS || this.#notices.has(server)) continue
      this.#notices.set(server, { observedMs: nowMs() - ageMs, own: false })
      log.warn('server.said-leaving', { server: backend.id, service: backend.service, state: backend.state, startedAtMs: backend.startedAtMs, from, ageMs: Math.round(ageMs) })
    }
    this.#evict()
  }

  /** The notices that other instances believe, the newest first. */
  reports (): LeavingReport[] {
    this.#evict()
    const nowMs = this.#options.nowMs()
    return [...this.#notices]
      .map(([server, { observedMs }]) => ({ server, ageMs: Math.round(nowMs - observedMs) }))
      .filter(({ ageMs }) => ageMs < PEER_NOTICE_LIFETIME_MS)
      .sort((a, b) => a.ageMs - b.ageMs)
  }

  #isValid ({ observedMs, own }: LeavingNotice): boolean {
    return own || this.#options.nowMs() - observedMs < PEER_NOTICE_LIFETIME_MS
  }

  #evict (): void {
    const sinceMs = this.#options.nowMs() - ABSENT_SERVER_MEMORY_MS
    const present = new Set(this.#options.servers().map(incarnationOf))
    for (const [server, { observedMs }] of this.#notices) if (observedMs < sinceMs && !present.has(server)) this.#notices.delete(server)
    const excess = this.#notices.size - MAX_NOTICES
    for (const server of [...this.#notices.keys()].slice(0, Math.max(0, excess))) this.#notices.delete(server)
  }
}
