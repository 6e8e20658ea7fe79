/** Number of the newest durations of a route that are kept. */
const MAX_DURATIONS = 50

/** Number of durations of a route from which the usual one is known. */
const MIN_DURATIONS = 10

/** Share of the requests of a route that last at most the usual duration. */
const USUAL_SHARE = 0.9

/** How long the answered requests of each route have lasted. */
export class UsualDuration {
  /** Newest durations by the name of the route, in milliseconds. */
  readonly #durations = new Map<string, number[]>()

  record (route: string, ms: number): void {
    const durations = this.#durations.get(route) ?? []
    this.#durations.set(route, durations)
    durations.push(ms)
    if (durations.length > MAX_DURATIONS) durations.shift()
  }

  /** Time within which nine of ten requests of the route end, in milliseconds; Infinity if too few have ended. */
  of (route: string): number {
    const durations = this.#durations.get(route) ?? []
    if (durations.length < MIN_DURATIONS) return Infinity
    return [...durations].sort((a, b) => a - b)[Math.ceil(durations.length * USUAL_SHARE) - 1] ?? Infinity
  }

  /** Deletes the durations of all routes except the given ones. */
  retain (routes: Set<string>): void {
    for (const route of this.#durations.keys()) if (!routes.has(route)) this.#durations.delete(route)
  }
}
