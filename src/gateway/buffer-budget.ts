import type { Log } from '../logs/log.js'

/** Share of the memory of an instance that its buffers may occupy; the rest is for the heap, for the code and for buffers that are not collected yet. */
const BUFFER_SHARE = 0.15

const BYTES_PER_MB = 1024 * 1024

/** Bytes that all exchanges may keep in buffers on an instance with this much memory. */
export function bufferLimitBytes (memoryMb: number): number {
  return memoryMb * BYTES_PER_MB * BUFFER_SHARE
}

interface BufferBudgetOptions {
  /** Largest sum of the bytes of all holds. */
  limitBytes: number
  log: Log
  /** Called for each exchange that had to give up its buffers. */
  onEvict?: () => void
  /** Called with the bytes of each increase. */
  onGrowth?: (bytes: number) => void
}

interface HoldOptions {
  /** What the bytes belong to, for logs. */
  name: string
  /** Bytes that do not make the exchange the one to end while another one has more than its own allowance: those of a sound answer of the store may be more than a caller's exchange has. */
  allowanceBytes?: number
}

/** The bytes that one exchange keeps in buffers, as a part of the budget of its process. */
export class BufferHold {
  readonly #budget: BufferBudget
  readonly #name: string
  readonly #allowanceBytes: number
  #bytes = 0
  #evicted = false
  #released = false
  /** Called once when the budget is exceeded and no hold is larger; it has to end the exchange, so that its buffers can be freed. */
  onEvict: () => void = () => {}

  constructor (options: HoldOptions & { budget: BufferBudget }) {
    this.#budget = options.budget
    this.#name = options.name
    this.#allowanceBytes = options.allowanceBytes ?? 0
  }

  /** What the bytes belong to, for logs. */
  get name (): string {
    return this.#name
  }

  get bytes (): number {
    return this.#bytes
  }

  /** Bytes beyond the allowance; negative below it. */
  get excessBytes (): number {
    return this.#bytes - this.#allowanceBytes
  }

  /** Whether the exchange had to give up its buffers. Bytes that are added afterwards do not count. */
  get evicted (): boolean {
    return this.#evicted
  }

  /** Adds bytes, or takes some off if the number is negative. Returns false if the exchange has ended or has had to give up its buffers. */
  add (bytes: number): boolean {
    if (this.#released) return false
    this.#bytes += bytes
    this.#budget.recordChange(this, bytes)
    return !this.#released
  }

  /** Takes all bytes off for good, as the exchange has ended; parts of it that end later take theirs off a second time. */
  release (): void {
    const bytes = this.#bytes
    this.#released = true
    this.#bytes = 0
    if (bytes > 0) this.#budget.recordChange(this, -bytes)
  }

  /** Takes all bytes off and ends the exchange. */
  evict (): void {
    this.#evicted = true
    this.release()
    this.onEvict()
  }
}

/** Bounds the bytes that all exchanges of the process keep in buffers together. When they exceed the limit, the exchange that exceeds its allowance most is ended, so that a few answers without end can't displace the small ones of other callers. */
export class BufferBudget {
  readonly #limitBytes: number
  readonly #log: Log
  readonly #onEvict: () => void
  readonly #onGrowth: (bytes: number) => void
  /** The holds that have bytes. */
  readonly #holds = new Set<BufferHold>()
  #heldBytes = 0

  constructor (options: BufferBudgetOptions) {
    this.#limitBytes = options.limitBytes
    this.#log = options.log
    this.#onEvict = options.onEvict ?? (() => {})
    this.#onGrowth = options.onGrowth ?? (() => {})
  }

  /** Sum of the bytes of all holds. */
  get heldBytes (): number {
    return this.#heldBytes
  }

  get limitBytes (): number {
    return this.#limitBytes
  }

  hold (name: string, { allowanceBytes = 0 }: Omit<HoldOptions, 'name'> = {}): BufferHold {
    return new BufferHold({ budget: this, name, allowanceBytes })
  }

  /** Records a change of a hold; called by the hold itself. */
  recordChange (hold: BufferHold, bytes: number): void {
    this.#heldBytes += bytes
    if (hold.bytes > 0) this.#holds.add(hold)
    else this.#holds.delete(hold)
    if (this.#heldBytes > this.#limitBytes) this.#evictLargest()
    if (bytes > 0) this.#onGrowth(bytes)
  }

  #evictLargest (): void {
    const largest = [...this.#holds].reduce((a, b) => b.excessBytes > a.excessBytes ? b : a)
    this.#log.warn('buffers.exceeded', { evicted: largest.name, bytes: largest.bytes, heldBytes: this.#heldBytes, limitBytes: this.#limitBytes, holds: this.#holds.size })
    this.#onEvict()
    largest.evict()
  }
}
