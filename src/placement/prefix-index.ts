import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/** Marks the end of a list of slots, or a runner without a number. */
const NONE = -1

/** Number of records that fit before the arrays grow for the first time. */
const INITIAL_CAPACITY = 1024

/** Default maximum number of records; each takes at most 22 bytes, so that the index stays below 6 MB. */
const DEFAULT_RECORD_LIMIT = 262144

/**
 * Maximum number of records visited in one hash chain, since a popular piece has many holders. If a lookup of a piece
 * and a runner ends at this bound, and its last record is of the piece, the runner counts as a holder.
 */
const MAX_CHAIN_VISITS = 64

/** Maximum number of holders that a query returns; more candidates do not improve the choice. */
const MAX_HOLDERS = 8

/** Maximum number of runners, whose numbers are stored in 16 bits; further runners are not indexed. */
const MAX_RUNNERS = 65535

/** A runner and the number of leading pieces of a prompt that it holds. */
export interface PrefixHolder {
  server: string
  prefixLength: number
}

/**
 * Index of the runners that hold each prefix piece: (piece, runner) records in typed arrays, linked in one list per
 * hash bucket of the piece and one list per runner. The number of records is bounded; at the bound a new record replaces
 * the oldest one. A record that is wrong, because it is outdated or two 32-bit hashes collide, only costs a prefill from
 * the start.
 */
export class PrefixIndex {
  readonly #limit: number
  /** First slot of each hash bucket's list; `#next` links the other slots. */
  #chainHeads = new Int32Array(INITIAL_CAPACITY).fill(NONE)
  #keys = new Uint32Array(INITIAL_CAPACITY)
  #next = new Int32Array(INITIAL_CAPACITY)
  #runners = new Uint16Array(INITIAL_CAPACITY)
  #runnerNext = new Int32Array(INITIAL_CAPACITY)
  #runnerPrevious = new Int32Array(INITIAL_CAPACITY)
  readonly #runnerNumbers = new Map<string, number>()
  /** Server id by runner number; undefined for a free number. */
  readonly #serverOfRunner: Array<string | undefined> = []
  readonly #freeRunnerNumbers: number[] = []
  /** First slot of each runner's list; `#runnerNext` links the other slots. */
  readonly #firstOfRunner: number[] = []
  readonly #freeSlots: number[] = []
  #usedSlots = 0
  #oldestSlot = 0
  #size = 0

  constructor (options: { limit?: number } = {}) {
    this.#limit = options.limit ?? DEFAULT_RECORD_LIMIT
  }

  get size (): number {
    return this.#size
  }

  /** Size of the record arrays and of the bucket array, in bytes. */
  get bytes (): number {
    const arrays = [this.#chainHeads, this.#keys, this.#next, this.#runners, this.#runnerNext, this.#runnerPrevious]
    return arrays.reduce((sum, array) => sum + array.byteLength, 0)
  }

  add (model: string, piece: string, server: string): void {
    const key = keyOf(model, piece)
    const runner = this.#runnerNumberOf(server)
    if (runner === NONE || this.#holds(key, runner)) return
    const slot = this.#allocateSlot()
    const bucket = key & (this.#chainHeads.length - 1)
    this.#keys[slot] = key
    this.#runners[slot] = runner
    this.#next[slot] = this.#chainHeads[bucket] as number
    this.#chainHeads[bucket] = slot
    const first = this.#firstOfRunner[runner] ?? NONE
    this.#runnerNext[slot] = first
    this.#runnerPrevious[slot] = NONE
    if (first !== NONE) this.#runnerPrevious[first] = slot
    this.#firstOfRunner[runner] = slot
    this.#size += 1
  }

  remove (model: string, piece: string, server: string): void {
    const runner = this.#runnerNumbers.get(server)
    if (runner === undefined) return
    const key = keyOf(model, piece)
    for (let slot = this.#chainHeadOf(key); slot !== NONE; slot = this.#next[slot] as number) {
      if (this.#keys[slot] !== key || this.#runners[slot] !== runner) continue
      this.#unlinkRecord(slot)
      this.#freeSlots.push(slot)
      return
    }
  }

  /** Removes all records of a runner. */
  removeServer (server: string): void {
    const runner = this.#runnerNumbers.get(server)
    if (runner === undefined) return
    for (let slot = this.#firstOfRunner[runner] ?? NONE; slot !== NONE; slot = this.#firstOfRunner[runner] ?? NONE) {
      this.#unlinkRecord(slot)
      this.#freeSlots.push(slot)
    }
    this.#runnerNumbers.delete(server)
    this.#serverOfRunner[runner] = undefined
    this.#freeRunnerNumbers.push(runner)
  }

  /**
   * Some of the runners that hold leading pieces of a prompt, at most `MAX_HOLDERS`. The holders of the prompt's last
   * pieces are looked up first, so that runners with a long prefix are found first.
   */
  holders (model: string, pieces: string[]): PrefixHolder[] {
    const keys = pieces.map((piece) => keyOf(model, piece))
    const found: PrefixHolder[] = []
    for (let last = keys.length - 1; last >= 0 && found.length < MAX_HOLDERS; last -= 1) {
      const key = keys[last] as number
      let visited = 0
      for (let slot = this.#chainHeadOf(key); slot !== NONE && visited < MAX_CHAIN_VISITS && found.length < MAX_HOLDERS; slot = this.#next[slot] as number) {
        visited += 1
        const runner = this.#runners[slot] as number
        const server = this.#serverOfRunner[runner]
        if (this.#keys[slot] !== key || server === undefined || found.some((holder) => holder.server === server)) continue
        const prefixLength = this.#prefixLength(keys, runner)
        if (prefixLength > 0) found.push({ server, prefixLength })
      }
    }
    return found
  }

  /** Number of leading pieces that a runner holds. */
  prefixLength (model: string, pieces: string[], server: string): number {
    const runner = this.#runnerNumbers.get(server)
    return runner === undefined ? 0 : this.#prefixLength(pieces.map((piece) => keyOf(model, piece)), runner)
  }

  #prefixLength (keys: number[], runner: number): number {
    let count = 0
    while (count < keys.length && this.#holds(keys[count] as number, runner)) count += 1
    return count
  }

  #chainHeadOf (key: number): number {
    return this.#chainHeads[key & (this.#chainHeads.length - 1)] as number
  }

  #holds (key: number, runner: number): boolean {
    let visited = 0
    for (let slot = this.#chainHeadOf(key); slot !== NONE; slot = this.#next[slot] as number) {
      if (this.#keys[slot] === key && this.#runners[slot] === runner) return true
      visited += 1
      if (visited >= MAX_CHAIN_VISITS) return this.#keys[slot] === key
    }
    return false
  }

  #runnerNumberOf (server: string): number {
    const existing = this.#runnerNumbers.get(server)
    if (existing !== undefined) return existing
    const runner = this.#freeRunnerNumbers.pop() ?? this.#serverOfRunner.length
    if (runner >= MAX_RUNNERS) return NONE
    this.#serverOfRunner[runner] = server
    this.#firstOfRunner[runner] = NONE
    this.#runnerNumbers.set(server, runner)
    return runner
  }

  #allocateSlot (): number {
    const free = this.#freeSlots.pop()
    if (free !== undefined) return free
    if (this.#usedSlots < this.#limit) {
      if (this.#usedSlots === this.#keys.length) this.#grow()
      this.#usedSlots += 1
      return this.#usedSlots - 1
    }
    // Slots are reused in the order in which they were first filled, so the next slot of the cycle holds the oldest record,
    // unless that slot was freed and filled again since.
    const slot = this.#oldestSlot
    this.#oldestSlot = (this.#oldestSlot + 1) % this.#limit
    this.#unlinkRecord(slot)
    return slot
  }

  #unlinkRecord (slot: number): void {
    const bucket = (this.#keys[slot] as number) & (this.#chainHeads.length - 1)
    if (this.#chainHeads[bucket] === slot) this.#chainHeads[bucket] = this.#next[slot] as number
    else this.#unlinkFromChain(this.#chainHeads[bucket] as number, slot)
    const previous = this.#runnerPrevious[slot] as number
    const next = this.#runnerNext[slot] as number
    if (previous === NONE) this.#firstOfRunner[this.#runners[slot] as number] = next
    else this.#runnerNext[previous] = next
    if (next !== NONE) this.#runnerPrevious[next] = previous
    this.#size -= 1
  }

  #unlinkFromChain (head: number, slot: number): void {
    let before = head
    while (this.#next[before] !== slot) before = this.#next[before] as number
    this.#next[before] = this.#next[slot] as number
  }

  #grow (): void {
    const capacity = Math.min(this.#limit, this.#keys.length * 2)
    this.#keys = copyInto(this.#keys, new Uint32Array(capacity))
    this.#next = copyInto(this.#next, new Int32Array(capacity))
    this.#runners = copyInto(this.#runners, new Uint16Array(capacity))
    this.#runnerNext = copyInto(this.#runnerNext, new Int32Array(capacity))
    this.#runnerPrevious = copyInto(this.#runnerPrevious, new Int32Array(capacity))
    this.#rebuildChains()
  }

  /** Links all records into twice as many buckets; every slot below `#usedSlots` must be in use. */
  #rebuildChains (): void {
    this.#chainHeads = new Int32Array(this.#chainHeads.length * 2).fill(NONE)
    for (let slot = 0; slot < this.#usedSlots; slot += 1) {
      const bucket = (this.#keys[slot] as number) & (this.#chainHeads.length - 1)
      this.#next[slot] = this.#chainHeads[bucket] as number
      this.#chainHeads[bucket] = slot
    }
  }
}

function copyInto<T extends Int32Array | Uint16Array | Uint32Array> (from: T, to: T): T {
  to.set(from)
  return to
}

function keyOf (model: string, piece: string): number {
  return h32(`${model}\n${piece}`)
}
