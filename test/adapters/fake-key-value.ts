import { Effect, type KeyValueError } from '../../src/errors/key-value-error.js'
import { Err, Ok, type Result } from '../../src/errors/result.js'
import type { CompareAndSwap, KeyValue, KeyValueService, CompareAndSwapResult } from '../../src/ports/key-value.js'

export enum WriteFault {
  /** The write takes effect, its reply is lost. */
  Lost,
  /** The write has no effect and no reply. */
  Dropped,
  /** The write takes effect at `landLate`, long after its call failed. */
  Late
}

/** Key-value service in memory whose writes fail as a test asks. */
export class FakeKeyValue implements Partial<KeyValueService> {
  readonly stored = new Map<string, KeyValue>()
  readonly batches: CompareAndSwap[][] = []
  /** Faults of the next writes; null for a write that works. */
  faults: Array<WriteFault | null> = []
  readable = true
  leases = 0
  inFlight = 0
  maxInFlight = 0
  revision = 1
  #late: CompareAndSwap[][] = []

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
    if (fault === WriteFault.Late) this.#late.push(writes)
    if (fault === WriteFault.Late || fault === WriteFault.Dropped) return Err({ effect: Effect.Unknown, detail: 'no reply' })
    const outcomes = this.#apply(writes)
    return fault === WriteFault.Lost ? Err({ effect: Effect.Unknown, detail: 'no reply' }) : Ok(outcomes)
  }

  landLate (): void {
    for (const writes of this.#late.splice(0)) this.#apply(writes)
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
