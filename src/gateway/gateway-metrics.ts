import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { ConnectionBudget } from './connection-budget.js'

const DURATION_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20]
/** Number of organisations with values of their own in metrics; the others share one. */
const MAX_LABELLED_ORGANISATIONS = 32

/** Label of all other organisations. */
const OTHER_ORGANISATIONS = 'others'

const MS_PER_SECOND = 1000
const MICROSECONDS_PER_SECOND = 1_000_000

/** A gauge whose value is computed when it is read. */
function computedGauge ({ value, ...options }: { name: string, help: string, registers: Registry[], value: () => number }): Gauge {
  return new Gauge({ ...options, collect () { this.set(value()) } })
}

/** A gauge with one value for each listener. */
function budgetGauge ({ budgets, value, ...options }: { name: string, help: string, registers: Registry[], budgets: () => ConnectionBudget[], value: (budget: ConnectionBudget) => number }): Gauge<'listener'> {
  return new Gauge({ ...options, labelNames: ['listener'], collect () { for (const budget of budgets()) this.set({ listener: budget.name }, value(budget)) } })
}

/** Values that are read when the metrics are; each is 0, or none, by default. */
interface GatewayMetricsOptions {
  inFlight?: () => number
  configurationBehindMs?: () => number
  quarantinedParts?: () => number
  limitedServers?: () => number
  leavingServers?: () => number
  pausedServers?: () => number
  waitingForPlaces?: () => number
  takenPlaces?: () => number
  bufferedBytes?: () => number
  coordinatedQuotas?: () => number
  slowRunners?: () => number
  connectionBudgets?: () => ConnectionBudget[]
}

/** Metrics of one gateway process, in a registry of its own. */
export class GatewayMetrics {
  readonly registry = new Registry()
  readonly endedRequests: Counter<'kind' | 'ending'>
  readonly requestDuration: Histogram<'kind'>
  readonly configurationVersion: Gauge
  readonly droppedLines: Counter
  readonly inFlight: Gauge
  // collectDefaultMetrics of prom-client would start a timer that wakes the process a hundred times a second, so only two of those metrics are provided.
  readonly processorSeconds: Counter
  readonly residentBytes: Gauge

  readonly configurationBehind: Gauge
  readonly quarantinedParts: Gauge
  readonly staleSends: Counter
  readonly limitedSends: Counter
  readonly limitedServers: Gauge
  readonly leavingServers: Gauge
  readonly pausedSends: Counter
  readonly crossings: Counter<'stage' | 'to'>
  readonly crossingBytes: Counter<'stage' | 'to'>
  readonly placementDecisions: Counter<'outcome' | 'timing'>
  readonly slowRunners: Gauge
  readonly waitingForPlaces: Gauge
  readonly takenPlaces: Gauge
  readonly pausedServers: Gauge
  readonly quotaDecisions: Counter<'organisation' | 'verdict'>
  readonly coordinatedQuotas: Gauge
  readonly bufferedBytes: Gauge
  readonly evictedExchanges: Counter
  readonly connections: Gauge<'listener'>
  readonly connectionBytes: Gauge<'listener'>
  readonly closedConnections: Counter<'listener'>

  readonly #organisations = new Set<string>()

  constructor (options: GatewayMetricsOptions = {}) {
    const registers = [this.registry]
    this.endedRequests = new Counter({ name: 'daisybarrow_gateway_requests_total', help: 'Ended requests by kind of route and ending', labelNames: ['kind', 'ending'], registers })
    this.requestDuration = new Histogram({ name: 'daisybarrow_gateway_request_seconds', help: 'Time from arrival to the end of the answer in seconds', labelNames: ['kind'], buckets: DURATION_BUCKETS_S, registers })
    this.configurationVersion = new Gauge({ name: 'daisybarrow_gateway_configuration_version', help: 'Version of the configuration in force', registers })
    this.droppedLines = new Counter({ name: 'daisybarrow_gateway_dropped_log_lines_total', help: 'Log lines dropped to keep the volume bounded', registers })
    this.inFlight = computedGauge({ name: 'daisybarrow_gateway_requests_in_flight', help: 'Requests without a final answer', registers, value: () => options.inFlight?.() ?? 0 })
    this.configurationBehind = computedGauge({ name: 'daisybarrow_gateway_configuration_behind_seconds', help: 'Time since a configuration newer than the active one became known in seconds', registers, value: () => (options.configurationBehindMs?.() ?? 0) / MS_PER_SECOND })
    this.quarantinedParts = computedGauge({ name: 'daisybarrow_gateway_quarantined_prompt_parts', help: 'Parts of prompts that are quarantined because runners crashed with them', registers, value: () => options.quarantinedParts?.() ?? 0 })
    this.staleSends = new Counter({ name: 'daisybarrow_gateway_stale_sends_total', help: 'Sends withheld because the server had left after it was chosen', registers })
    this.limitedSends = new Counter({ name: 'daisybarrow_gateway_limited_sends_total', help: 'Sends withheld because the limit of the server was used up', registers })
    this.limitedServers = computedGauge({ name: 'daisybarrow_gateway_limited_servers', help: 'Servers that limit the number of their requests', registers, value: () => options.limitedServers?.() ?? 0 })
    this.leavingServers = computedGauge({ name: 'daisybarrow_gateway_leaving_servers', help: 'Servers that have said in their answers that they leave', registers, value: () => options.leavingServers?.() ?? 0 })
    this.pausedSends = new Counter({ name: 'daisybarrow_gateway_paused_sends_total', help: 'Sends withheld because the server had turned this instance away for a time', registers })
    this.crossings = new Counter({ name: 'daisybarrow_gateway_crossings_total', help: 'Requests sent to another failure domain by stage of the server and its domain', labelNames: ['stage', 'to'], registers })
    this.crossingBytes = new Counter({ name: 'daisybarrow_gateway_crossing_bytes_total', help: 'Bytes of request bodies sent to another failure domain by stage of the server and its domain', labelNames: ['stage', 'to'], registers })
    this.placementDecisions = new Counter({ name: 'daisybarrow_gateway_placement_decisions_total', help: 'Decisions on model requests that had to wait, by outcome and by whether they could still be on time', labelNames: ['outcome', 'timing'], registers })
    this.slowRunners = computedGauge({ name: 'daisybarrow_gateway_slow_runners', help: 'Decode runners that this coordinator measures as clearly slower than usual', registers, value: () => options.slowRunners?.() ?? 0 })
    this.waitingForPlaces = computedGauge({ name: 'daisybarrow_gateway_requests_waiting_for_places', help: 'Requests of all instances that wait here for a place at a plain server', registers, value: () => options.waitingForPlaces?.() ?? 0 })
    this.takenPlaces = computedGauge({ name: 'daisybarrow_gateway_taken_places', help: 'Places at plain servers that this instance has given out and that have not been returned', registers, value: () => options.takenPlaces?.() ?? 0 })
    this.pausedServers = computedGauge({ name: 'daisybarrow_gateway_paused_servers', help: 'Servers that have turned this instance away for a time', registers, value: () => options.pausedServers?.() ?? 0 })
    this.quotaDecisions = new Counter({ name: 'daisybarrow_gateway_quota_decisions_total', help: 'Decisions about requests of organisations with quotas, by verdict', labelNames: ['organisation', 'verdict'], registers })
    this.coordinatedQuotas = computedGauge({ name: 'daisybarrow_gateway_coordinated_quotas', help: 'Organisations whose quotas this instance keeps', registers, value: () => options.coordinatedQuotas?.() ?? 0 })
    this.bufferedBytes = computedGauge({ name: 'daisybarrow_gateway_buffered_bytes', help: 'Bytes that all exchanges keep in buffers', registers, value: () => options.bufferedBytes?.() ?? 0 })
    this.evictedExchanges = new Counter({ name: 'daisybarrow_gateway_evicted_exchanges_total', help: 'Exchanges ended because the buffers of all together exceeded their limit', registers })
    const budgets = options.connectionBudgets ?? (() => [])
    this.connections = budgetGauge({ name: 'daisybarrow_gateway_connections', help: 'Open connections of callers by listener', registers, budgets, value: ({ size }) => size })
    this.connectionBytes = budgetGauge({ name: 'daisybarrow_gateway_connection_bytes', help: 'Memory of the connections of callers by listener in bytes, beside bodies and answers', registers, budgets, value: ({ heldBytes }) => heldBytes })
    this.closedConnections = new Counter({ name: 'daisybarrow_gateway_closed_connections_total', help: 'Connections of callers closed or not accepted for lack of room, by listener', labelNames: ['listener'], registers })
    this.processorSeconds = new Counter({
      name: 'process_cpu_seconds_total',
      help: 'Processor time spent in seconds',
      registers,
      collect () {
        const { user, system } = process.cpuUsage()
        this.reset()
        this.inc((user + system) / MICROSECONDS_PER_SECOND)
      }
    })
    this.residentBytes = new Gauge({ name: 'process_resident_memory_bytes', help: 'Resident memory in bytes', registers, collect () { this.set(process.memoryUsage.rss()) } })
  }

  countQuotaDecision (organisation: string, verdict: string): void {
    if (this.#organisations.size < MAX_LABELLED_ORGANISATIONS) this.#organisations.add(organisation)
    this.quotaDecisions.inc({ organisation: this.#organisations.has(organisation) ? organisation : OTHER_ORGANISATIONS, verdict })
  }

  countEnd (kind: string, ending: string, ageMs: number): void {
    this.endedRequests.inc({ kind, ending })
    this.requestDuration.observe({ kind }, ageMs / MS_PER_SECOND)
  }
}
