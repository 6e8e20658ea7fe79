import type { CallerRequest } from './caller-request.js'
import type { Route } from './configuration.js'
import { mayRunTwice } from './exchange-outcome.js'
import { longestWaitMs } from './route-table.js'
import { UsualValue } from './usual-value.js'

interface AnsweredRequest {
  request: Pick<CallerRequest, 'generationParameters'>
  route: Route
  /** Time from the arrival of the request to the end of its response, in milliseconds. */
  durationMs: number
  /** Time from the arrival of the request to the first part of a stream, in milliseconds; null without a stream. */
  firstPartMs: number | null
}

/** Decides which requests are still accepted once the process is known to exit soon. */
export class LateAcceptance {
  /** Durations of requests, in milliseconds. */
  readonly #durations = new UsualValue()
  /** Times to the first part of a stream, in milliseconds. */
  readonly #starts = new UsualValue()
  /** Times from then to the end of a stream for each output token that its caller had estimated, in milliseconds. */
  readonly #tokenTimes = new UsualValue()
  readonly #nowMs: () => number
  /** When the process exits at the latest, in milliseconds. */
  exitMs = Infinity

  constructor (options: { nowMs: () => number }) {
    this.#nowMs = options.nowMs
  }

  /** A request is refused if it is not likely to end in time: it would be cut, while another instance can still serve it. If its likely duration is not known, it is accepted only if it may run again after that. */
  accepts (request: CallerRequest, route: Route): boolean {
    const leftMs = this.exitMs - this.#nowMs()
    if (longestWaitMs(request, route) <= leftMs) return true
    const usualMs = this.#usualDurationMs(request, route)
    return Number.isFinite(usualMs) ? usualMs <= leftMs : mayRunTwice(route)
  }

  recordDuration ({ request, route, durationMs, firstPartMs }: AnsweredRequest): void {
    this.#durations.record(route.name, durationMs)
    const tokens = estimatedTokens(request)
    if (tokens === null || firstPartMs === null) return
    this.#starts.record(route.name, firstPartMs)
    this.#tokenTimes.record(route.name, (durationMs - firstPartMs) / tokens)
  }

  /** Forgets the durations of all routes except the given ones. */
  retain (routes: Route[]): void {
    const names = new Set(routes.map(({ name }) => name))
    for (const values of [this.#durations, this.#starts, this.#tokenTimes]) values.retain(names)
  }

  /** Time within which nine of ten requests like this one end, in milliseconds; Infinity if too few have ended. */
  #usualDurationMs (request: CallerRequest, { name }: Route): number {
    const tokens = estimatedTokens(request)
    const usualMs = tokens === null ? Infinity : this.#starts.of(name) + tokens * this.#tokenTimes.of(name)
    // Too few of the route's requests may have been streams with an estimate.
    return Number.isFinite(usualMs) ? usualMs : this.#durations.of(name)
  }
}

/** The caller's estimate of the output length; null if there is none. */
function estimatedTokens ({ generationParameters }: Pick<CallerRequest, 'generationParameters'>): number | null {
  const tokens = generationParameters?.estimatedOutputTokens ?? null
  return tokens !== null && tokens >= 1 ? tokens : null
}
