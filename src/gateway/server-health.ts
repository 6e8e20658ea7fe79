import { type BackendServer, incarnationOf } from './backend.js'
import { ExchangeOutcome } from './exchange-outcome.js'

/** Weight of one more good result in the averages; five results decide most of it. */
const RESULT_WEIGHT = 0.2

/** Weight of one more failure. Servers also answer with errors of their own while they are sound, so these say less than a broken exchange. */
const failureWeights: Partial<Record<ExchangeOutcome, number>> = {
  [ExchangeOutcome.Failed]: 0.1,
  [ExchangeOutcome.Rejected]: 0.2
}
const FAILURE_WEIGHT = 0.4

/** Time in which a bad record loses half its weight, so that a recovered server is tried again. */
const RECORD_HALF_LIFE_MS = 3000

/** Milliseconds that a certain failure weighs against a server. */
const FAILURE_COST_MS = 1500

/** Latency assumed before the first answer, in milliseconds. */
const INITIAL_LATENCY_MS = 30

/** Advantage of a server in the same failure domain, in milliseconds: it saves traffic between domains. */
const OTHER_DOMAIN_COST_MS = 15

interface ServerRecord {
  failureShare: number
  latencyMs: number
  inFlight: number
  updatedMs: number
}

/** What this instance's own work shows about each backend server. */
export class ServerHealth {
  readonly #records = new Map<string, ServerRecord>()
  readonly #nowMs: () => number

  constructor (options: { nowMs: () => number }) {
    this.#nowMs = options.nowMs
  }

  recordStart (backend: BackendServer): void {
    this.#record(backend).inFlight += 1
  }

  recordEnd (backend: BackendServer): void {
    const record = this.#record(backend)
    record.inFlight = Math.max(0, record.inFlight - 1)
  }

  recordSuccess (backend: BackendServer, latencyMs: number): void {
    const record = this.#decayed(backend)
    record.failureShare *= 1 - RESULT_WEIGHT
    record.latencyMs += (latencyMs - record.latencyMs) * RESULT_WEIGHT
  }

  recordFailure (backend: BackendServer, outcome: ExchangeOutcome): void {
    const record = this.#decayed(backend)
    record.failureShare += (1 - record.failureShare) * (failureWeights[outcome] ?? FAILURE_WEIGHT)
  }

  /** Share of recent work that failed, from 0 to 1. */
  failureShare (backend: BackendServer): number {
    return this.#decayed(backend).failureShare
  }

  latencyMs (backend: BackendServer): number {
    return this.#record(backend).latencyMs
  }

  /** Expected cost of one more request in milliseconds; the lowest is chosen. */
  cost (backend: BackendServer, failureDomain: string): number {
    const record = this.#decayed(backend)
    const queueing = record.latencyMs * (1 + record.inFlight / Math.max(1, backend.slots))
    const distance = backend.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_COST_MS
    return queueing + record.failureShare * FAILURE_COST_MS + distance
  }

  /** Forgets servers that are gone. */
  retain (incarnations: Set<string>): void {
    for (const key of this.#records.keys()) if (!incarnations.has(key)) this.#records.delete(key)
  }

  #decayed (backend: BackendServer): ServerRecord {
    const record = this.#record(backend)
    const nowMs = this.#nowMs()
    const factor = 0.5 ** ((nowMs - record.updatedMs) / RECORD_HALF_LIFE_MS)
    record.failureShare *= factor
    record.latencyMs = INITIAL_LATENCY_MS + (record.latencyMs - INITIAL_LATENCY_MS) * factor
    record.updatedMs = nowMs
    return record
  }

  #record (backend: BackendServer): ServerRecord {
    const key = incarnationOf(backend)
    const known = this.#records.get(key)
    if (known !== undefined) return known
    const record = { failureShare: 0, latencyMs: INITIAL_LATENCY_MS, inFlight: 0, updatedMs: this.#nowMs() }
    this.#records.set(key, record)
    return record
  }
}
