import { Effect, type KeyValueError } from '../../src/errors/key-value-error.js'
import { Err, Ok, type Result } from '../../src/errors/result.js'
import type { CompareAndSwap, KeyValue, KeyValueService, CompareAndSwapResult } from '../../src/ports/key-value.js'

export enum WriteFault {
  /** The write takes effect, but its reply is lost. */
  ReplyLost,
  /** The write has no effect and no reply. */
  Dropped,
  /** The call fails, and the write takes effect later, when the test calls `applyLateWrites`. */
  Late
}

/** In-memory key-value service whose writes fail as a test specifies. */
export class FakeKeyValue implements Partial<KeyValueService> {
  readonly stored = new Map<string, KeyValue>()
  readonly batches: CompareAndSwap[][] = []
  /** Faults of the next calls that write; null for a call that succeeds. */
  faults: Array<WriteFault | null> = []
  readable = true
  leases = 0
  inFlight = 0
  maxInFlight = 0
  revision = 1
  #lateWrites: CompareAndSwap[][] = []

  get = async (key: string): Promise<Result<KeyValue | null, KeyValueError>> =>
    this.readable ? Ok(this.stored.get(key) ?? null) : Err({ effect: Effect.None, detail: 'down' })

  grantLease = async (): Promise<Result<string, KeyValueError>> => {
    this.leases += 1
    return Ok(`lease-${this.leases}`)
  }

  compareAndSwapEach = async (writes: CompareAndSwap[]): Promise<Result<CompareAndSwapResult[], KeyValueError>> => {
    this.inFlight += 1
    this.maxInFlight = Math.max(this.maxInFlight, this.inFlight)
    await Promise.resolve()
    this.inFlight -= 1
    this.batches.push(writes)
    const fault = this.faults.shift() ?? null
    if (fault === WriteFault.Late) this.#lateWrites.push(writes)
    if (fault === WriteFault.Late || fault === WriteFault.Dropped) return Err({ effect: Effect.Unknown, detail: 'no reply' })
    const results = this.#apply(writes)
    return fault === WriteFault.ReplyLost ? Err({ effect: Effect.Unknown, detail: 'no reply' }) : Ok(results)
  }

  /** Applies the writes that failed with `WriteFault.Late`. */
  applyLateWrites (): void {
    for (const writes of this.#lateWrites.splice(0)) this.#apply(writes)
  }

  records (): Array<Record<string, string>> {
    return [...this.stored.values()].map(({ value }) => JSON.parse(Buffer.from(value).toString()) as Record<string, string>)
  }

  #apply (writes: CompareAndSwap[]): CompareAndSwapResult[] {
    this.revision += 1
    return writes.map(({ key, value, expectedRevision, lease = '0' }) => {
      const present = this.stored.get(key) ?? null
      const swapped = (present?.modRevision ?? 0) === expectedRevision
      if (swapped) this.stored.set(key, { key, value, lease, modRevision: this.revision, createRevision: present?.createRevision ?? this.revision })
      return { swapped, revision: this.revision, present: swapped ? null : present }
    })
  }
}
