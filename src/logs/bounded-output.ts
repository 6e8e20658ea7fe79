import type { Writable } from 'node:stream'

/** Bytes that the stream may buffer for a slow reader; beyond it lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024

/** Lines that may be written in one second; further ones are dropped and counted. */
const MAX_LINES_PER_SECOND = 400

/** Time for which lines are collected before they are written together, in ms; one write for many lines costs less processor time. */
const FLUSH_DELAY_MS = 100

const SECOND_MS = 1000

interface BoundedOutputOptions {
  stream: Writable
  nowMs: () => number
  /** Called for each dropped line. */
  onDrop: () => void
}

/** Writes lines without ever waiting for the reader, and no more than a fixed number per second. */
export class BoundedOutput {
  readonly #options: BoundedOutputOptions
  #lines: string[] = []
  #timer: NodeJS.Timeout | null = null
  #secondStartMs = -Infinity
  #linesThisSecond = 0
  #dropped = 0

  constructor (options: BoundedOutputOptions) {
    this.#options = options
  }

  /** Queues a line for writing, or drops it if a limit is reached; urgent lines are those about failures. */
  write (line: string, urgent = false): void {
    const nowMs = this.#options.nowMs()
    if (nowMs - this.#secondStartMs >= SECOND_MS) this.#startSecond(nowMs)
    // Half of the lines are reserved for failures, since these lines explain callers' complaints.
    const limit = urgent ? MAX_LINES_PER_SECOND : MAX_LINES_PER_SECOND / 2
    if (this.#linesThisSecond >= limit || this.#options.stream.writableLength > MAX_BUFFERED_BYTES) {
      this.#dropped += 1
      this.#options.onDrop()
      return
    }
    this.#linesThisSecond += 1
    this.#lines.push(line)
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS)
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
    this.#linesThisSecond = 0
    if (this.#dropped === 0) return
    this.#lines.push(`level=warn event=log.dropped lines=${this.#dropped}`)
    this.#dropped = 0
  }
}
