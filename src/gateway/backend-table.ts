import { type BackendServer, ServerState, incarnationOf, RunnerRole } from './backend.js'

/** Time that servers whose entries disappeared around an outage of the store have to register again, in milliseconds; the platform promises that they do within about two seconds. */
export const REREGISTRATION_GRACE_MS = 2000

interface KnownServer {
  backend: BackendServer
  /** When the entry disappeared around an outage of the store, in milliseconds; null while the entry exists. */
  missingSinceMs: number | null
}

export interface BackendChange {
  kind: 'added' | 'changed-role' | 'leaving' | 'missing' | 'removed' | 'restarted'
  backend: BackendServer
}

interface BackendTableOptions {
  nowMs: () => number
  /** Called for each change of the table. */
  onChange?: (change: BackendChange) => void
}

/** The known backend servers and whether they may get new work. */
export class BackendTable {
  readonly #known = new Map<string, KnownServer>()
  readonly #options: BackendTableOptions
  /** Until then, a missing entry may be caused by an outage of the store. */
  #outageUntilMs = -Infinity

  constructor (options: BackendTableOptions) {
    this.#options = options
  }

  /** Records that the store can't be reached or has just become reachable: servers whose entries disappear now may register again. */
  markOutage (): void {
    this.#outageUntilMs = this.#options.nowMs() + REREGISTRATION_GRACE_MS
  }

  /** Replaces the table by a complete list of the servers. */
  replaceAll (backends: BackendServer[]): void {
    const listed = new Set(backends.map(({ id }) => id))
    for (const backend of backends) this.put(backend)
    for (const id of [...this.#known.keys()]) if (!listed.has(id)) this.remove(id)
  }

  put (backend: BackendServer): void {
    const previous = this.#known.get(backend.id)
    this.#known.set(backend.id, { backend, missingSinceMs: null })
    if (previous === undefined) return this.#notify('added', backend)
    if (incarnationOf(previous.backend) !== incarnationOf(backend)) return this.#notify('restarted', backend)
    if (previous.backend.stage !== backend.stage) this.#notify('changed-role', backend)
    if (previous.backend.state === ServerState.Ready && backend.state === ServerState.Leaving) this.#notify('leaving', backend)
  }

  /** Removes a server whose entry was deleted. Around an outage of the store, a ready server is kept until expire() removes it. */
  remove (id: string): void {
    const known = this.#known.get(id)
    if (known === undefined) return
    const nowMs = this.#options.nowMs()
    const mayReturn = nowMs < this.#outageUntilMs && known.backend.state === ServerState.Ready
    if (!mayReturn) {
      this.#known.delete(id)
      return this.#notify('removed', known.backend)
    }
    if (known.missingSinceMs === null) {
      known.missingSinceMs = nowMs
      this.#notify('missing', known.backend)
    }
  }

  /** Removes servers that have not registered again in time after an outage of the store. */
  expire (): void {
    const nowMs = this.#options.nowMs()
    if (nowMs < this.#outageUntilMs) return
    for (const [id, { backend, missingSinceMs }] of this.#known) {
      if (missingSinceMs === null) continue
      this.#known.delete(id)
      this.#notify('removed', backend)
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

  /** Whether this incarnation of the server may still get new work. */
  accepts (backend: BackendServer): boolean {
    const known = this.get(backend.id)
    return known !== undefined && known.state === ServerState.Ready && incarnationOf(known) === incarnationOf(backend)
  }

  #notify (kind: BackendChange['kind'], backend: BackendServer): void {
    this.#options.onChange?.({ kind, backend })
  }
}
