import { type Backend, incarnationOf } from './backend.js'

/** Weight of one more result in the averages; five results decide most of it. */
const RESULT_WEIGHT = 0.2

/** Time in which a bad record loses half its weight, so that a recovered server is tried again. */
const RECORD_HALF_LIFE_MS = 3000

/** Milliseconds that a certain failure weighs against a server. */
const FAILURE_COST_MS = 1500

/** Latency assumed before the first answer, in milliseconds. */
const INITIAL_LATENCY_MS = 30

/** Advantage of a server in the same failure domain, in milliseconds: it saves traffic between domains. */
const OTHER_DOMAIN_COST_MS = 15

interface Record {
  failureShare: number
  latencyMs: number
  inFlight: number
  updatedMs: number
}

/** What this instance's own work shows about each backend server. */
export class ServerHealth {
  readonly #records = new Map<string, Record>()
  readonly #nowMs: () => number

  constructor (options: { nowMs: () => number }) {
    this.#nowMs = options.nowMs
  }

  begin (backend: Backend): void {
    this.#record(backend).inFlight += 1
  }

  end (backend: Backend): void {
    const record = this.#record(backend)
    record.inFlight = Math.max(0, record.inFlight - 1)
  }

  succeeded (backend: Backend, latencyMs: number): void {
    const record = this.#decayed(backend)
    record.failureShare *= 1 - RESULT_WEIGHT
    record.latencyMs += (latencyMs - record.latencyMs) * RESULT_WEIGHT
  }

  failed (backend: Backend): void {
    const record = this.#decayed(backend)
    record.failureShare += (1 - record.failureShare) * RESULT_WEIGHT * 2
  }

  /** Share of recent work that failed, from 0 to 1. */
  failureShare (backend: Backend): number {
    return this.#decayed(backend).failureShare
  }

  latencyMs (backend: Backend): number {
    return this.#record(backend).latencyMs
  }

  /** Expected cost of one more request in milliseconds; the lowest is chosen. */
  cost (backend: Backend, failureDomain: string): number {
    const record = this.#decayed(backend)
    const queueing = record.latencyMs * (1 + record.inFlight / Math.max(1, backend.slots))
    const distance = backend.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_COST_MS
    return queueing + record.failureShare * FAILURE_COST_MS + distance
  }

  /** Forgets servers that are gone. */
  retain (incarnations: Set<string>): void {
    for (const key of this.#records.keys()) if (!incarnations.has(key)) this.#records.delete(key)
  }

  #decayed (backend: Backend): Record {
    const record = this.#record(backend)
    const nowMs = this.#nowMs()
    const factor = 0.5 ** ((nowMs - record.updatedMs) / RECORD_HALF_LIFE_MS)
    record.failureShare *= factor
    record.latencyMs = INITIAL_LATENCY_MS + (record.latencyMs - INITIAL_LATENCY_MS) * factor
    record.updatedMs = nowMs
    return record
  }

  #record (backend: Backend): Record {
    const key = incarnationOf(backend)
    const known = this.#records.get(key)
    if (known !== undefined) return known
    const record = { failureShare: 0, latencyMs: INITIAL_LATENCY_MS, inFlight: 0, updatedMs: this.#nowMs() }
    this.#records.set(key, record)
    return record
  }
}
