import type { CallerRequest } from './caller-request.js'
import type { Route } from './configuration.js'
import { mayRunTwice } from './exchange-outcome.js'
import { longestWaitMs } from './route-table.js'
import { UsualDuration } from './usual-duration.js'

/** Decides which requests are still accepted once the process is known to exit soon. */
export class LateAcceptance {
  readonly #usualDuration = new UsualDuration()
  readonly #nowMs: () => number
  /** When the process exits at the latest, in milliseconds. */
  exitMs = Infinity

  constructor (options: { nowMs: () => number }) {
    this.#nowMs = options.nowMs
  }

  /** A request that may run only once is refused unless it is likely to end in time: cut, it would be lost, while another instance can still serve it. */
  accepts (request: CallerRequest, route: Route): boolean {
    const leftMs = this.exitMs - this.#nowMs()
    return longestWaitMs(request, route) <= leftMs || mayRunTwice(route) || this.#usualDuration.of(route.name) <= leftMs
  }

  /** Records how long an answered request has lasted. */
  recordDuration (route: Route, ms: number): void {
    this.#usualDuration.record(route.name, ms)
  }

  /** Forgets the durations of all routes except the given ones. */
  retain (routes: Route[]): void {
    this.#usualDuration.retain(new Set(routes.map(({ name }) => name)))
  }
}
