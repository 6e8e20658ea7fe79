interface DecayingSumOptions {
  nowMs: () => number
  /** Time after which an added value counts half, in milliseconds. */
  halfLifeMs: number
}

/** A sum in which older values count less. It needs no timer and no list of values. */
export class DecayingSum {
  readonly #options: DecayingSumOptions
  #value = 0
  #updatedMs: number

  constructor (options: DecayingSumOptions) {
    this.#options = options
    this.#updatedMs = options.nowMs()
  }

  get value (): number {
    return this.#value * 0.5 ** ((this.#options.nowMs() - this.#updatedMs) / this.#options.halfLifeMs)
  }

  add (value: number): void {
    this.#value = this.value + value
    this.#updatedMs = this.#options.nowMs()
  }
}
