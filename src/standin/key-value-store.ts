/** One key of the stand-in for the key-value service, with the revisions of the etcd protocol. */
export interface StoredKey {
  key: string
  value: string
  createRevision: number
  modRevision: number
  version: number
  lease: string
}

interface Lease {
  seconds: number
  endMs: number
}

/** Keys, revisions and leases of the stand-in for the key-value service. Keys and values stay in base64, as on the wire. */
export class KeyValueStore {
  readonly #keys = new Map<string, StoredKey>()
  readonly #leases = new Map<string, Lease>()
  readonly #watchers = new Set<(change: StoredKey) => void>()
  revision = 1
  #nextLease = 1

  get (key: string): StoredKey | undefined {
    this.#expire()
    return this.#keys.get(key)
  }

  /** Keys from `key` up to, not including, `end`, in the order of their bytes. */
  range (key: string, end: string | undefined): StoredKey[] {
    this.#expire()
    if (end === undefined || end === '') {
      const found = this.#keys.get(key)
      return found === undefined ? [] : [found]
    }
    const from = Buffer.from(key, 'base64')
    const to = Buffer.from(end, 'base64')
    const inRange = [...this.#keys.values()].filter((item) => {
      const bytes = Buffer.from(item.key, 'base64')
      return Buffer.compare(bytes, from) >= 0 && Buffer.compare(bytes, to) < 0
    })
    return inRange.sort((a, b) => Buffer.compare(Buffer.from(a.key, 'base64'), Buffer.from(b.key, 'base64')))
  }

  put (key: string, value: string, lease: string): StoredKey {
    const before = this.get(key)
    const item: StoredKey = {
      key,
      value,
      createRevision: before?.createRevision ?? this.revision,
      modRevision: this.revision,
      version: (before?.version ?? 0) + 1,
      lease
    }
    this.#keys.set(key, item)
    for (const watcher of this.#watchers) watcher(item)
    return item
  }

  delete (key: string): boolean {
    return this.#keys.delete(key)
  }

  watch (watcher: (change: StoredKey) => void): () => void {
    this.#watchers.add(watcher)
    return () => this.#watchers.delete(watcher)
  }

  grant (seconds: number): string {
    const id = String(this.#nextLease)
    this.#nextLease += 1
    this.#leases.set(id, { seconds, endMs: Date.now() + seconds * 1000 })
    return id
  }

  /** Returns the new time to live in seconds, 0 if the lease has lapsed. */
  keep (id: string): number {
    this.#expire()
    const lease = this.#leases.get(id)
    if (lease === undefined) return 0
    lease.endMs = Date.now() + lease.seconds * 1000
    return lease.seconds
  }

  revoke (id: string): void {
    this.#leases.delete(id)
    this.#dropKeysOf(id)
  }

  hasLease (id: string): boolean {
    this.#expire()
    return this.#leases.has(id)
  }

  #expire (): void {
    const now = Date.now()
    for (const [id, lease] of this.#leases) {
      if (lease.endMs > now) continue
      this.revoke(id)
    }
  }

  #dropKeysOf (lease: string): void {
    for (const item of this.#keys.values()) {
      if (item.lease === lease) this.#keys.delete(item.key)
    }
  }
}
