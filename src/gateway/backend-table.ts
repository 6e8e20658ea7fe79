import { type BackendServer, ServerState, incarnationOf, RunnerRole } from './backend.js'

/** Servers whose entry vanished around an outage of the store get this long to register again; the platform promises about two seconds. */
export const RETURN_GRACE_MS = 2000

interface Known {
  backend: BackendServer
  /** Set while the entry is missing after an outage of the store. */
  missingSinceMs: number | null
}

export interface BackendChange {
  kind: 'added' | 'changed-role' | 'leaving' | 'missing' | 'removed' | 'restarted'
  backend: BackendServer
}

interface BackendTableOptions {
  nowMs: () => number
  /** Told of each change that the table believes. */
  onChange?: (change: BackendChange) => void
}

/** The backend servers that may get work, by service. */
export class BackendTable {
  readonly #known = new Map<string, Known>()
  readonly #options: BackendTableOptions
  /** Until then a vanished entry may be the outage's doing. */
  #outageUntilMs = -Infinity

  constructor (options: BackendTableOptions) {
    this.#options = options
  }

  /** Notes that the store can't be reached or has just returned; entries that vanish now may come back. */
  markOutage (): void {
    this.#outageUntilMs = this.#options.nowMs() + RETURN_GRACE_MS
  }

  /** Takes a complete listing of the store. */
  replaceAll (backends: BackendServer[]): void {
    const listed = new Set(backends.map(({ id }) => id))
    for (const backend of backends) this.put(backend)
    for (const id of [...this.#known.keys()]) if (!listed.has(id)) this.remove(id)
  }

  put (backend: BackendServer): void {
    const before = this.#known.get(backend.id)
    this.#known.set(backend.id, { backend, missingSinceMs: null })
    if (before === undefined) return this.#tell('added', backend)
    if (incarnationOf(before.backend) !== incarnationOf(backend)) return this.#tell('restarted', backend)
    if (before.backend.stage !== backend.stage) this.#tell('changed-role', backend)
    if (before.backend.state === ServerState.Ready && backend.state === ServerState.Leaving) this.#tell('leaving', backend)
  }

  remove (id: string): void {
    const known = this.#known.get(id)
    if (known === undefined) return
    const nowMs = this.#options.nowMs()
    const mayReturn = nowMs < this.#outageUntilMs && known.backend.state === ServerState.Ready
    if (!mayReturn) {
      this.#known.delete(id)
      return this.#tell('removed', known.backend)
    }
    if (known.missingSinceMs === null) {
      known.missingSinceMs = nowMs
      this.#tell('missing', known.backend)
    }
  }

  /** Drops entries that have not come back after an outage. */
  expire (): void {
    const nowMs = this.#options.nowMs()
    if (nowMs < this.#outageUntilMs) return
    for (const [id, { backend, missingSinceMs }] of this.#known) {
      if (missingSinceMs === null) continue
      this.#known.delete(id)
      this.#tell('removed', backend)
    }
  }

  get (id: string): BackendServer | undefined {
    return this.#known.get(id)?.backend
  }

  all (): BackendServer[] {
    return [...this.#known.values()].map(({ backend }) => backend)
  }

  /** Servers of a service that may get new work. */
  ready (service: string, stage: RunnerRole = RunnerRole.None): BackendServer[] {
    return this.all().filter((backend) => backend.service === service && backend.stage === stage && backend.state === ServerState.Ready)
  }

  /** Whether this life of the server may still get new work. */
  accepts (backend: BackendServer): boolean {
    const known = this.get(backend.id)
    return known !== undefined && known.state === ServerState.Ready && incarnationOf(known) === incarnationOf(backend)
  }

  #tell (kind: BackendChange['kind'], backend: BackendServer): void {
    this.#options.onChange?.({ kind, backend })
  }
}
