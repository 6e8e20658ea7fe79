import { request } from 'undici'
import type { EngineOptions } from './engine-options.js'
import { StatusError } from './json-server.js'

interface Loaded {
  model: string
  version: string
  adapters: string[]
}

/** Orders to a stand-in engine: what it has loaded, its role, and the fencing number it has seen. */
export class EngineOrders {
  readonly #options: EngineOptions
  #role: string
  #models: Loaded[]
  #fence = 0
  #busy = false
  #failed = false
  /** Counts accepted orders; a load that a later order has replaced changes nothing. */
  #order = 0
  staleOrders = 0

  constructor (options: EngineOptions) {
    this.#options = options
    this.#role = options.role
    this.#models = [{ model: options.model, version: '1', adapters: [] }]
  }

  state (): unknown {
    return { role: this.#role, models: this.#models, busy: this.#busy, failed: this.#failed, fence: this.#fence }
  }

  apply (body: Record<string, unknown>): unknown {
    const fence = Number(body.fence)
    if (fence < this.#fence) {
      this.staleOrders += 1
      if (this.#options.checksFence) throw new StatusError(412, `the fencing number ${fence} is older than ${this.#fence}`)
    }
    this.#fence = Math.max(this.#fence, fence)
    this.#busy = true
    this.#order += 1
    void this.#load(this.#order, String(body.role), body.models as Loaded[])
    return this.state()
  }

  async #load (order: number, role: string, models: Loaded[]): Promise<void> {
    const { loadModelMs, weightStore, failingVersions } = this.#options
    const stored = weightStore === undefined || await fetchWeights(weightStore)
    await new Promise((resolve) => { setTimeout(resolve, loadModelMs) })
    if (order !== this.#order) return
    this.#failed = !stored || models.some(({ version }) => failingVersions.includes(version))
    this.#role = role
    this.#models = models
    this.#busy = false
  }
}

async function fetchWeights (address: string): Promise<boolean> {
  try {
    const answer = await request(`http://${address}/v1/weights`, { method: 'POST' })
    await answer.body.dump()
    return answer.statusCode === 200
  } catch {
    return false
  }
}
