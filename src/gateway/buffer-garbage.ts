/** Received bytes after which the memory of buffers is looked at, in bytes. */
const CHECK_BYTES = 1024 * 1024

/** Share of the memory of an instance that buffers may occupy beyond those that are counted, before they are collected. */
const SLACK_SHARE = 0.03

/** Shortest time between two major collections, in milliseconds; each takes some ten milliseconds. */
const MIN_MAJOR_PERIOD_MS = 50

/** Longest time between two of them, in milliseconds, after some that freed little: the buffers are in use. */
const MAX_MAJOR_PERIOD_MS = 5000

const BYTES_PER_MB = 1024 * 1024

/** Kinds of a garbage collection. */
export enum CollectionKind {
  /** Only of recent objects, which takes about a millisecond. */
  Minor = 'minor',
  Major = 'major'
}

interface BufferGarbageOptions {
  memoryMb: number
  /** Bytes of buffers that are counted as in use. */
  heldBytes: () => number
  /** Bytes of all buffers that have not been collected. */
  bufferBytes: () => number
  collect: (kind: CollectionKind) => void
  nowMs: () => number
}

/** Collects buffers that are no longer used. V8 collects them by itself only after 64 MB of them, more than a small instance has to spare beside a crowd. */
export class BufferGarbage {
  readonly #options: BufferGarbageOptions
  readonly #slackBytes: number
  #receivedBytes = 0
  #lastMajorMs = -Infinity
  #majorPeriodMs = MIN_MAJOR_PERIOD_MS
  /** Whether the last major collection has freed what it was for, as far as is known. */
  #helped = true

  constructor (options: BufferGarbageOptions) {
    this.#options = options
    this.#slackBytes = options.memoryMb * BYTES_PER_MB * SLACK_SHARE
  }

  /** Records bytes that were received into new buffers. */
  record (bytes: number): void {
    this.#receivedBytes += bytes
    if (this.#receivedBytes < CHECK_BYTES) return
    this.#receivedBytes = 0
    const { bufferBytes, heldBytes, collect, nowMs } = this.#options
    const excessBytes = bufferBytes() - heldBytes()
    if (excessBytes <= 2 * this.#slackBytes) this.#helped = true
    if (excessBytes <= this.#slackBytes) return
    const atMs = nowMs()
    if (excessBytes <= 2 * this.#slackBytes || atMs - this.#lastMajorMs < this.#majorPeriodMs) {
      collect(CollectionKind.Minor)
      return
    }
    this.#majorPeriodMs = this.#helped ? MIN_MAJOR_PERIOD_MS : Math.min(2 * this.#majorPeriodMs, MAX_MAJOR_PERIOD_MS)
    this.#lastMajorMs = atMs
    this.#helped = false
    collect(CollectionKind.Major)
  }
}
