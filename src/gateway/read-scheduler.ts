/** Time in which received bytes are parsed before other events of the process are handled, in milliseconds. Small chunks and short fields cost a parser far more than their bytes. */
const TURN_MS = 5

/** Number of connections that are read again in one turn. */
const RESUMED_PER_TURN = 16

/** A connection whose bytes are parsed in its turn. */
export interface ScheduledReader {
  /** Received bytes that have not been parsed. */
  readonly pendingBytes: number
  /** Whether all that it has sent has been parsed and answered, as with an ordinary caller before its next request. */
  readonly isFresh: boolean
  /** Parses a small part of the pending bytes; returns whether it can go on. */
  parse: () => boolean
  pause: () => void
  resume: () => void
}

interface ReadSchedulerOptions {
  /** Received bytes of all connections that may wait to be parsed; beyond it, nothing more is read. */
  maxPendingBytes: number
  /** Called with the bytes of each read. */
  onRead?: (bytes: number) => void
  nowMs: () => number
  /** Calls back after other events of the process have been handled. */
  defer: (callback: () => void) => void
}

/** Shares the processor time for parsing between connections, and bounds the bytes that wait for it: a crowd that sends much at once must not keep the process from ordinary callers, nor fill its memory. */
export class ReadScheduler {
  readonly #options: ReadSchedulerOptions
  /** Connections with bytes to parse, in turn. */
  readonly #queue = new Set<ScheduledReader>()
  readonly #reading = new Set<ScheduledReader>()
  /** Connections that wait to be read again; fresh ones go first. */
  readonly #waitingFresh = new Set<ScheduledReader>()
  readonly #waiting = new Set<ScheduledReader>()
  #pendingBytes = 0
  #scheduled = false
  #turnEndMs = 0

  constructor (options: ReadSchedulerOptions) {
    this.#options = options
  }

  get pendingBytes (): number {
    return this.#pendingBytes
  }

  add (reader: ScheduledReader): void {
    this.#reading.add(reader)
    if (this.#isFull) this.#hold(reader)
  }

  remove (reader: ScheduledReader): void {
    for (const readers of [this.#queue, this.#reading, this.#waitingFresh, this.#waiting]) readers.delete(reader)
  }

  /** Whether the reader has to wait before it is read again. */
  isHeld (reader: ScheduledReader): boolean {
    return this.#waitingFresh.has(reader) || this.#waiting.has(reader)
  }

  /** Records a change of the bytes that wait. */
  recordPending (change: number): void {
    this.#pendingBytes += change
    if (change > 0) this.#options.onRead?.(change)
    if (!this.#isFull) return
    for (const reader of this.#reading) this.#hold(reader)
  }

  /** Parses the reader's bytes, at once if no other reader waits and the turn has time left. */
  request (reader: ScheduledReader): void {
    if (this.#queue.size === 0 && !this.#scheduled) {
      const nowMs = this.#options.nowMs()
      if (nowMs >= this.#turnEndMs) {
        this.#turnEndMs = nowMs + TURN_MS
        // The time counts until other events have been handled.
        this.#options.defer(() => { this.#turnEndMs = 0 })
      }
      if (!this.#parse(reader)) return
    }
    this.#queue.add(reader)
    this.#schedule()
  }

  get #isFull (): boolean {
    return this.#pendingBytes > this.#options.maxPendingBytes
  }

  #hold (reader: ScheduledReader): void {
    this.#reading.delete(reader)
    const waiting = reader.isFresh ? this.#waitingFresh : this.#waiting
    waiting.add(reader)
    reader.pause()
    this.#schedule()
  }

  /** Parses until the turn ends; returns whether the reader can go on. */
  #parse (reader: ScheduledReader): boolean {
    while (this.#options.nowMs() < this.#turnEndMs) {
      if (!reader.parse()) return false
    }
    return true
  }

  #schedule (): void {
    if (this.#scheduled) return
    this.#scheduled = true
    this.#options.defer(() => this.#runTurn())
  }

  #runTurn (): void {
    this.#scheduled = false
    const { nowMs, maxPendingBytes } = this.#options
    this.#turnEndMs = nowMs() + TURN_MS
    for (const reader of this.#queue) {
      this.#queue.delete(reader)
      if (reader.parse()) this.#queue.add(reader)
      if (nowMs() >= this.#turnEndMs) break
    }
    if (this.#pendingBytes < maxPendingBytes / 2) this.#resumeSome()
    if (this.#queue.size + this.#waiting.size + this.#waitingFresh.size > 0) this.#schedule()
  }

  #resumeSome (): void {
    let count = 0
    for (const readers of [this.#waitingFresh, this.#waiting]) {
      for (const reader of readers) {
        if (count === RESUMED_PER_TURN) return
        count += 1
        readers.delete(reader)
        this.#reading.add(reader)
        reader.resume()
      }
    }
  }
}
