import { Effect, type KeyValueError } from '../errors/key-value-error.js'
import { Err, Ok, type Result } from '../errors/result.js'
import type { CompareAndSwap, KeyValue, KeyValueService, CompareAndSwapResult } from '../ports/key-value.js'
import type { ConditionalRead, KeyValueTransaction, KeyValueTransactions } from '../ports/key-value-transactions.js'

/** Faults that a test can switch on. */
export interface MemoryFaults {
  down: boolean
  /** The next so many writes take effect while their reply is lost. */
  loseReplies: number
  /** Goes down together with the next lost reply. */
  downAfterLoss: boolean
  /** Called once before the next write takes effect. */
  beforeWrite: (() => Promise<void>) | null
}

/** Stand-in for the key-value service within one process, without leases. */
export class MemoryKeyValue implements KeyValueService, KeyValueTransactions {
  readonly keys = new Map<string, KeyValue>()
  readonly faults: MemoryFaults = { down: false, loseReplies: 0, downAfterLoss: false, beforeWrite: null }
  readonly counts = { reads: 0, writes: 0, writtenBytes: 0 }
  #revision = 1

  async get (key: string): Promise<Result<KeyValue | null, KeyValueError>> {
    return this.#read(() => this.keys.get(key) ?? null)
  }

  async list (prefix: string): Promise<Result<KeyValue[], KeyValueError>> {
    return this.#read(() => [...this.keys.values()].filter((item) => item.key.startsWith(prefix)).sort((a, b) => a.key < b.key ? -1 : 1))
  }

  async getEach (keys: string[]): Promise<Result<Array<KeyValue | null>, KeyValueError>> {
    return this.#read(() => keys.map((key) => this.keys.get(key) ?? null))
  }

  async getIfChanged (key: string, knownRevision: number): Promise<Result<ConditionalRead, KeyValueError>> {
    const found = await this.get(key)
    return found.map((item) => (item?.modRevision ?? 0) === knownRevision ? { changed: false, item: null } : { changed: true, item })
  }

  async listRevisions (prefix: string): Promise<Result<Array<{ key: string, modRevision: number }>, KeyValueError>> {
    const found = await this.list(prefix)
    return found.map((items) => items.map(({ key, modRevision }) => ({ key, modRevision })))
  }

  async transact ({ expected, puts, deletes = [] }: KeyValueTransaction): Promise<Result<boolean, KeyValueError>> {
    const before = this.faults.beforeWrite
    this.faults.beforeWrite = null
    await before?.()
    if (this.faults.down) return Err({ effect: Effect.None, detail: 'down' })
    this.counts.writes += 1
    const holds = expected.every(({ key, revision }) => (this.keys.get(key)?.modRevision ?? 0) === revision)
    if (holds) {
      this.#revision += 1
      for (const { key, value } of puts) this.#put(key, value)
      for (const key of deletes) this.keys.delete(key)
    }
    if (this.faults.loseReplies > 0) {
      this.faults.loseReplies -= 1
      this.faults.down = this.faults.downAfterLoss
      return Err({ effect: Effect.Unknown, detail: 'reply lost' })
    }
    return Ok(holds)
  }

  async compareAndSwap ({ key, value, expectedRevision }: CompareAndSwap): Promise<Result<CompareAndSwapResult, KeyValueError>> {
    const swapped = await this.transact({ expected: [{ key, revision: expectedRevision }], puts: [{ key, value }] })
    return swapped.map((done) => ({ swapped: done, revision: this.#revision, present: done ? null : this.keys.get(key) ?? null }))
  }

  async compareAndSwapEach (writes: CompareAndSwap[]): Promise<Result<CompareAndSwapResult[], KeyValueError>> {
    const outcomes: CompareAndSwapResult[] = []
    for (const write of writes) {
      const outcome = await this.compareAndSwap(write)
      if (outcome.err) return outcome
      outcomes.push(outcome.val)
    }
    return Ok(outcomes)
  }

  async grantLease (): Promise<Result<string, KeyValueError>> {
    return Err({ effect: Effect.None, detail: 'this stand-in has no leases' })
  }

  async keepLeaseAlive (): Promise<Result<boolean, KeyValueError>> {
    return Ok(false)
  }

  async revokeLease (): Promise<Result<void, KeyValueError>> {
    return Ok(undefined)
  }

  async watch (): Promise<Result<void, KeyValueError>> {
    return Err({ effect: Effect.None, detail: 'this stand-in has no watches' })
  }

  #put (key: string, value: Uint8Array): void {
    this.counts.writtenBytes += value.length
    const createRevision = this.keys.get(key)?.createRevision ?? this.#revision
    this.keys.set(key, { key, value, modRevision: this.#revision, createRevision, lease: '0' })
  }

  #read<T> (read: () => T): Result<T, KeyValueError> {
    if (this.faults.down) return Err({ effect: Effect.None, detail: 'down' })
    this.counts.reads += 1
    return Ok(read())
  }
}
