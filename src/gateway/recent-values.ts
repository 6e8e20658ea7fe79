/** The newest values of a series. */
export class RecentValues<T> {
  readonly #maxValues: number
  readonly #values: T[] = []
  #nextIndex = 0

  constructor (options: { maxValues: number }) {
    this.#maxValues = options.maxValues
  }

  get count (): number {
    return this.#values.length
  }

  add (value: T): void {
    this.#values[this.#nextIndex] = value
    this.#nextIndex = (this.#nextIndex + 1) % this.#maxValues
  }

  /** The values in no particular order. */
  all (): readonly T[] {
    return this.#values
  }
}

/** Median of numbers; NaN without any. Unlike the mean, it is not moved by a few outliers, such as measurements of stalled or cached work. */
export function medianOf (values: readonly number[]): number {
  return values.toSorted((a, b) => a - b)[values.length >> 1] ?? NaN
}
