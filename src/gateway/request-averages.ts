/** Largest number of requests that an average looks back on; each newer request then has the weight of one of them. */
const MAX_AVERAGED_REQUESTS = 60

/** Number of received requests from which the averages of a service count as known. */
const MIN_REQUESTS = 20

/** Length of the spans in which arrivals are counted, in milliseconds. */
const SPAN_MS = 1000

/** Number of spans that are kept; the highest rate is taken over them. */
const MAX_SPANS = 30

/** Number of spans over which one rate is taken; a single one varies too much by chance. */
const SPANS_PER_RATE = 3

const MS_PER_SECOND = 1000

interface ServiceAverages {
  requests: number
  promptTokens: number
  outputTokens: number
  /** Arrivals by span; the first one is the oldest. */
  spans: Array<{ startMs: number, arrivals: number }>
}

/** Average size of a service's requests, and how often they arrive. */
export interface RequestAverage {
  promptTokens: number
  outputTokens: number
}

/** Sizes and arrivals of the requests of each service. */
export class RequestAverages {
  readonly #nowMs: () => number
  readonly #services = new Map<string, ServiceAverages>()

  constructor (options: { nowMs: () => number }) {
    this.#nowMs = options.nowMs
  }

  /** Records a caller's request. */
  recordArrival (service: string, request: RequestAverage): void {
    this.recordSize(service, request)
    const { spans } = this.#averagesOf(service)
    const startMs = Math.floor(this.#nowMs() / SPAN_MS) * SPAN_MS
    const newest = spans.at(-1)
    if (newest !== undefined && newest.startMs === startMs) newest.arrivals += 1
    else spans.push({ startMs, arrivals: 1 })
    while ((spans[0]?.startMs ?? startMs) <= startMs - MAX_SPANS * SPAN_MS) spans.shift()
  }

  /** Records the size of a request that has arrived before, as a run shows. */
  recordSize (service: string, { promptTokens, outputTokens }: RequestAverage): void {
    const averages = this.#averagesOf(service)
    averages.requests += 1
    const weight = 1 / Math.min(averages.requests, MAX_AVERAGED_REQUESTS)
    averages.promptTokens += (promptTokens - averages.promptTokens) * weight
    averages.outputTokens += (outputTokens - averages.outputTokens) * weight
  }

  /** Null before enough requests. */
  average (service: string): RequestAverage | null {
    const averages = this.#services.get(service)
    return averages === undefined || averages.requests < MIN_REQUESTS ? null : { promptTokens: averages.promptTokens, outputTokens: averages.outputTokens }
  }

  /** Arrivals per second in the newest spans. */
  currentRate (service: string): number {
    const sinceMs = Math.floor(this.#nowMs() / SPAN_MS) * SPAN_MS - SPANS_PER_RATE * SPAN_MS
    return this.#rateBetween(service, sinceMs, Infinity, this.#nowMs() - sinceMs)
  }

  /** Highest rate of arrivals per second in the time that is kept, half a minute. */
  peakRate (service: string): number {
    const rates = (this.#services.get(service)?.spans ?? []).map(({ startMs }) => this.#rateBetween(service, startMs, startMs + SPANS_PER_RATE * SPAN_MS, SPANS_PER_RATE * SPAN_MS))
    return Math.max(this.currentRate(service), ...rates)
  }

  /** Mean rate of arrivals per second in the time that is kept. */
  meanRate (service: string): number {
    const oldestMs = this.#services.get(service)?.spans[0]?.startMs
    return oldestMs === undefined ? 0 : this.#rateBetween(service, oldestMs, Infinity, Math.max(SPAN_MS, this.#nowMs() - oldestMs))
  }

  #rateBetween (service: string, fromMs: number, untilMs: number, lengthMs: number): number {
    let arrivals = 0
    for (const span of this.#services.get(service)?.spans ?? []) if (span.startMs >= fromMs && span.startMs < untilMs) arrivals += span.arrivals
    return arrivals / lengthMs * MS_PER_SECOND
  }

  #averagesOf (service: string): ServiceAverages {
    const existing = this.#services.get(service)
    if (existing !== undefined) return existing
    const averages: ServiceAverages = { requests: 0, promptTokens: 0, outputTokens: 0, spans: [] }
    this.#services.set(service, averages)
    return averages
  }
}
