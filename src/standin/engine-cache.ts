/** Cached prefix pieces of a stand-in engine, least recently used out first, with a log of changes. */
export class EngineCache {
  readonly #limit: number
  readonly #pieces = new Map<string, true>()
  readonly #log: CacheChange[] = []
  #sequence = 0

  constructor (options: { limit: number }) {
    this.#limit = options.limit
  }

  /** Counts the leading pieces that are cached. */
  leading (pieces: string[]): number {
    let count = 0
    while (count < pieces.length && this.#pieces.has(pieces[count] ?? '')) count += 1
    return count
  }

  add (pieces: string[]): void {
    for (const piece of pieces) {
      const known = this.#pieces.delete(piece)
      this.#pieces.set(piece, true)
      if (!known) this.#record(piece, true)
    }
    while (this.#pieces.size > this.#limit) {
      const oldest = this.#pieces.keys().next().value as string
      this.#pieces.delete(oldest)
      this.#record(oldest, false)
    }
  }

  /** Changes after a sequence number; the log is short, so that a slow reader sees a gap. */
  changesAfter (sequence: number): CacheChange[] {
    return this.#log.filter((change) => change.sequence > sequence)
  }

  get sequence (): number {
    return this.#sequence
  }

  all (): string[] {
    return [...this.#pieces.keys()]
  }

  #record (piece: string, added: boolean): void {
    this.#sequence += 1
    this.#log.push({ sequence: this.#sequence, piece, added })
    if (this.#log.length > CACHE_LOG_LENGTH) this.#log.shift()
  }
}

export interface CacheChange {
  sequence: number
  piece: string
  added: boolean
}

const CACHE_LOG_LENGTH = 256
