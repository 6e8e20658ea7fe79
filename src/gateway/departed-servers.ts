import { type BackendServer, ServerState } from './backend.js'

/** Time for which a departure is remembered, in milliseconds; several times the age of a copy from which the store may return. */
const DEPARTURE_MEMORY_MS = 60_000

/** Largest number of departures that are remembered; the oldest are forgotten first. */
const MAX_DEPARTURES = 2000

/** A server whose entry is gone, as it is passed on between instances. */
export interface DepartedServer {
  id: string
  startedAtMs: number
  /** Whether it had said that it leaves. */
  leaving: boolean
  /** Time since it went, in milliseconds. */
  ageMs: number
}

interface Departure extends Pick<DepartedServer, 'startedAtMs' | 'leaving'> {
  atMs: number
}

/** Remembers the servers that have gone, because the copy from which the store returns may still list them. */
export class DepartedServers {
  readonly #departures = new Map<string, Departure>()
  readonly #nowMs: () => number

  constructor (options: { nowMs: () => number }) {
    this.#nowMs = options.nowMs
  }

  /** Records that the entry of a server went at that time, besides what a peer may have told of the same incarnation. */
  record ({ id, startedAtMs, state }: BackendServer, atMs: number): void {
    this.#add(id, { startedAtMs, leaving: state === ServerState.Leaving, atMs })
  }

  /** Adds the departures that a peer remembers. */
  merge (departed: DepartedServer[]): void {
    const nowMs = this.#nowMs()
    for (const { id, startedAtMs, leaving, ageMs } of departed) this.#add(id, { startedAtMs, leaving, atMs: nowMs - ageMs })
  }

  /** The newest incarnation counts. That it had said to leave stays known, and so does the earliest time of its departure. */
  #add (id: string, departure: Departure): void {
    const known = this.#departures.get(id)
    if (known !== undefined && known.startedAtMs > departure.startedAtMs) return
    if (known?.startedAtMs !== departure.startedAtMs) return this.#set(id, departure)
    this.#set(id, { ...departure, leaving: known.leaving || departure.leaving, atMs: Math.min(known.atMs, departure.atMs) })
  }

  forget (id: string): void {
    this.#departures.delete(id)
  }

  /** Whether this incarnation of the server went before that time, or a newer one has gone. */
  hadGoneBefore ({ id, startedAtMs }: BackendServer, ms: number): boolean {
    const departure = this.#departures.get(id)
    if (departure === undefined) return false
    return startedAtMs < departure.startedAtMs || (startedAtMs === departure.startedAtMs && departure.atMs < ms)
  }

  /** Whether this incarnation of the server had said that it leaves. An unknown start time tells incarnations not apart. */
  hadSaidToLeave ({ id, startedAtMs }: BackendServer): boolean {
    const departure = this.#departures.get(id)
    return departure !== undefined && departure.leaving && startedAtMs > 0 && startedAtMs === departure.startedAtMs
  }

  all (): DepartedServer[] {
    const nowMs = this.#nowMs()
    return [...this.#departures].map(([id, { startedAtMs, leaving, atMs }]) => ({ id, startedAtMs, leaving, ageMs: nowMs - atMs }))
  }

  expire (): void {
    const sinceMs = this.#nowMs() - DEPARTURE_MEMORY_MS
    for (const [id, { atMs }] of this.#departures) if (atMs < sinceMs) this.#departures.delete(id)
  }

  #set (id: string, departure: Departure): void {
    this.#departures.delete(id)
    this.#departures.set(id, departure)
    const [oldest] = this.#departures.keys()
    if (this.#departures.size > MAX_DEPARTURES && oldest !== undefined) this.#departures.delete(oldest)
  }
}
