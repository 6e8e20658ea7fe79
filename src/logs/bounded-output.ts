import type { Writable } from 'node:stream'

/** Bytes of lines that may wait for a slow reader; more are dropped. */
const MAX_WAITING_BYTES = 256 * 1024

/** Lines that may be written in one second; more are dropped and counted. */
const MAX_LINES_PER_SECOND = 400

/** Time that lines wait to be written together, in milliseconds: one write for many lines costs less processor time. */
const GATHER_MS = 100

const SECOND_MS = 1000

interface BoundedOutputOptions {
  stream: Writable
  nowMs: () => number
  /** Told of each dropped line. */
  onDrop: () => void
}

/** Writes lines without ever waiting for the reader, and no more than a bounded number a second. */
export class BoundedOutput {
  readonly #options: BoundedOutputOptions
  #lines: string[] = []
  #timer: NodeJS.Timeout | null = null
  #secondStartMs = -Infinity
  #written = 0
  #dropped = 0

  constructor (options: BoundedOutputOptions) {
    this.#options = options
  }

  write (line: string, urgent = false): void {
    const nowMs = this.#options.nowMs()
    if (nowMs - this.#secondStartMs >= SECOND_MS) this.#startSecond(nowMs)
    // Half of the lines are reserved for failures, which explain complaints.
    const limit = urgent ? MAX_LINES_PER_SECOND : MAX_LINES_PER_SECOND / 2
    if (this.#written >= limit || this.#options.stream.writableLength > MAX_WAITING_BYTES) {
      this.#dropped += 1
      this.#options.onDrop()
      return
    }
    this.#written += 1
    this.#lines.push(line)
    this.#timer ??= setTimeout(() => this.flush(), GATHER_MS)
  }

  flush (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
    if (this.#lines.length === 0) return
    this.#options.stream.write(`${this.#lines.join('\n')}\n`)
    this.#lines = []
  }

  #startSecond (nowMs: number): void {
    this.#secondStartMs = nowMs
    this.#written = 0
    if (this.#dropped === 0) return
    this.#lines.push(`level=warn event=log.dropped lines=${this.#dropped}`)
    this.#dropped = 0
  }
}
