import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Upper bounds of histogram buckets, in seconds. */
const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10]

/** Metrics of one process, in their own registry. */
export class Metrics {
  readonly registry = new Registry()
  readonly events: Counter<'event'>
  readonly refusals: Counter<'kind'>
  readonly answers: Counter<'kind'>
  readonly firstToken: Histogram<'model'>
  readonly inFlight: Gauge

  constructor (options: { inFlight?: () => number } = {}) {
    const registers = [this.registry]
    collectDefaultMetrics({ register: this.registry })
    this.events = new Counter({ name: 'daisybarrow_events_total', help: 'Logged events by name', labelNames: ['event'], registers })
    this.refusals = new Counter({ name: 'daisybarrow_refusals_total', help: 'Refused requests by refusal kind', labelNames: ['kind'], registers })
    this.answers = new Counter({ name: 'daisybarrow_answers_total', help: 'Complete answers by kind: model or plain', labelNames: ['kind'], registers })
    this.firstToken = new Histogram({ name: 'daisybarrow_first_token_seconds', help: 'Time from arrival to the first token in seconds', labelNames: ['model'], buckets: SECONDS_BUCKETS, registers })
    this.inFlight = new Gauge({
      name: 'daisybarrow_requests_in_flight',
      help: 'Requests that have neither been answered nor refused',
      registers,
      collect () { this.set(options.inFlight?.() ?? 0) }
    })
  }
}
