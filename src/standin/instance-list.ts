import type { JsonHandlers } from './json-server.js'

interface Target {
  targets: string[]
  labels: Record<string, string>
}

/** Stand-in for the platform's list of instances, in the Prometheus HTTP service discovery format. What it shows lags. */
export class InstanceList {
  readonly #lagMs: number
  #targets: Target[] = []
  #shown: Target[] = []

  constructor (options: { targets?: Target[], lagMs?: number }) {
    this.#targets = options.targets ?? []
    this.#shown = this.#targets
    this.#lagMs = options.lagMs ?? 1000
  }

  get handlers (): JsonHandlers {
    return {
      'GET /targets': () => this.#shown,
      'POST /standin/targets': ({ body }) => this.#replace(body.targets as Target[])
    }
  }

  #replace (targets: Target[]): unknown {
    this.#targets = targets
    setTimeout(() => { this.#shown = targets }, this.#lagMs)
    return { targets: targets.length }
  }
}
