import { type BackendServer, incarnationOf } from './backend.js'
import { ExchangeOutcome } from './exchange-outcome.js'

/** Weight of the newest success in the moving averages of failure share and latency; after five successes, earlier results have about a third of the weight. */
const SUCCESS_WEIGHT = 0.2

/** Weights in the failure share of outcomes that a healthy server also causes, so they count less than other failures. */
const failureWeights: Partial<Record<ExchangeOutcome, number>> = {
  [ExchangeOutcome.Failed]: 0.1,
  [ExchangeOutcome.Rejected]: 0.2
}

/** Weight of any other failure in the failure share. */
const DEFAULT_FAILURE_WEIGHT = 0.4

/** Half-life of the recorded failure shares and latencies, in milliseconds; the decay lets a recovered server be used again. */
const RECORD_HALF_LIFE_MS = 3000

/** Additional cost of a server whose recent requests all failed, in milliseconds. */
const FAILURE_COST_MS = 1500

/** Latency assumed before the first response, in milliseconds. */
const INITIAL_LATENCY_MS = 30

/** Weight of the newest retry in the moving average of retries that failed again. */
const RETRY_WEIGHT = 0.2

/** Share of retries that failed again from which a failure is put down to the requests of the service and not to the server; four failed ones in a row reach it. */
const USELESS_RETRY_SHARE = 0.5

interface ServerRecord {
  failureShare: number
  latencyMs: number
  inFlight: number
  updatedMs: number
}

/** Moving average of the retries of a service that failed again, after a server had answered with a failure. */
interface RetryRecord {
  failedShare: number
  updatedMs: number
}

/** Failure shares, latencies and load of the backend servers, as observed on the requests of this instance. */
export class ServerHealth {
  readonly #records = new Map<string, ServerRecord>()
  /** By service. */
  readonly #retries = new Map<string, RetryRecord>()
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
    const record = this.#decayedRecord(backend)
    record.failureShare *= 1 - SUCCESS_WEIGHT
    record.latencyMs += (latencyMs - record.latencyMs) * SUCCESS_WEIGHT
  }

  recordFailure (backend: BackendServer, outcome: ExchangeOutcome): void {
    const record = this.#decayedRecord(backend)
    record.failureShare += (1 - record.failureShare) * (failureWeights[outcome] ?? DEFAULT_FAILURE_WEIGHT)
  }

  /** Records how a server answered a request to which another one had answered with a failure. */
  recordRetry (service: string, { failed }: { failed: boolean }): void {
    const failedShare = this.#failedRetryShare(service)
    this.#retries.set(service, { failedShare: failedShare + ((failed ? 1 : 0) - failedShare) * RETRY_WEIGHT, updatedMs: this.#nowMs() })
  }

  /** Whether a request to which a server has answered with a failure may succeed on another one. Some requests fail on every server. */
  retryMayHelp (service: string): boolean {
    return this.#failedRetryShare(service) < USELESS_RETRY_SHARE
  }

  /** Moving average of the share of requests that failed, from 0 to 1. */
  failureShare (backend: BackendServer): number {
    return this.#decayedRecord(backend).failureShare
  }

  latencyMs (backend: BackendServer): number {
    return this.#record(backend).latencyMs
  }

  /** Expected cost of sending one more request, in milliseconds, without that of leaving the failure domain; the server with the lowest cost is preferred. */
  cost (backend: BackendServer): number {
    const record = this.#decayedRecord(backend)
    const expectedLatencyMs = record.latencyMs * (1 + record.inFlight / Math.max(1, backend.slots))
    return expectedLatencyMs + record.failureShare * FAILURE_COST_MS
  }

  /** Deletes the records of all servers except the given incarnations. */
  retain (incarnations: Set<string>): void {
    for (const key of this.#records.keys()) if (!incarnations.has(key)) this.#records.delete(key)
  }

  /** Decays like the records of servers, so that retries are tried again now and then. */
  #failedRetryShare (service: string): number {
    const record = this.#retries.get(service)
    return record === undefined ? 0 : record.failedShare * this.#decayFactor(record)
  }

  #decayFactor ({ updatedMs }: { updatedMs: number }): number {
    return 0.5 ** ((this.#nowMs() - updatedMs) / RECORD_HALF_LIFE_MS)
  }

  #decayedRecord (backend: BackendServer): ServerRecord {
    const record = this.#record(backend)
    const decayFactor = this.#decayFactor(record)
    record.failureShare *= decayFactor
    record.latencyMs = INITIAL_LATENCY_MS + (record.latencyMs - INITIAL_LATENCY_MS) * decayFactor
    record.updatedMs = this.#nowMs()
    return record
  }

  #record (backend: BackendServer): ServerRecord {
    const key = incarnationOf(backend)
    const existing = this.#records.get(key)
    if (existing !== undefined) return existing
    const record = { failureShare: 0, latencyMs: INITIAL_LATENCY_MS, inFlight: 0, updatedMs: this.#nowMs() }
    this.#records.set(key, record)
    return record
  }
}
