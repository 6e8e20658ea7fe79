import type { JsonHandlers } from './json-server.js'

/** Stand-in for the rate-limited weight store: loads share its rate, so that many at once take longer. */
export class WeightStore {
  readonly #bytesPerSecond: number
  readonly #modelBytes: number
  #freeMs = 0
  #loading = 0
  mostLoading = 0
  loads = 0

  constructor (options: { bytesPerSecond: number, modelBytes: number }) {
    this.#bytesPerSecond = options.bytesPerSecond
    this.#modelBytes = options.modelBytes
  }

  get handlers (): JsonHandlers {
    return {
      'POST /v1/weights': async () => await this.#load(),
      'GET /standin/record': () => ({ loads: this.loads, mostLoading: this.mostLoading })
    }
  }

  async #load (): Promise<unknown> {
    this.loads += 1
    this.#loading += 1
    this.mostLoading = Math.max(this.mostLoading, this.#loading)
    const now = Date.now()
    this.#freeMs = Math.max(now, this.#freeMs) + this.#modelBytes / this.#bytesPerSecond * 1000
    await new Promise((resolve) => { setTimeout(resolve, this.#freeMs - now) })
    this.#loading -= 1
    return { bytes: this.#modelBytes }
  }
}
