/** Number of the newest values of a route that are kept. */
const MAX_VALUES = 50

/** Number of values of a route from which the usual one is known. */
const MIN_VALUES = 10

/** Share of the values of a route that the usual one is not exceeded by. */
const USUAL_SHARE = 0.9

/** The usual one of the values that the answered requests of each route have had, such as their durations. */
export class UsualValue {
  /** Newest values by the name of the route. */
  readonly #values = new Map<string, number[]>()

  record (route: string, value: number): void {
    const values = this.#values.get(route) ?? []
    this.#values.set(route, values)
    values.push(value)
    if (values.length > MAX_VALUES) values.shift()
  }

  /** Value that nine of ten requests of the route do not exceed; Infinity if too few have ended. */
  of (route: string): number {
    const values = this.#values.get(route) ?? []
    if (values.length < MIN_VALUES) return Infinity
    return [...values].sort((a, b) => a - b)[Math.ceil(values.length * USUAL_SHARE) - 1] ?? Infinity
  }

  /** Deletes the values of all routes except the given ones. */
  retain (routes: Set<string>): void {
    for (const route of this.#values.keys()) if (!routes.has(route)) this.#values.delete(route)
  }
}
