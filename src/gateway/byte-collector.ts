/** Largest size of the blocks that chunks are copied into, in bytes. */
const BLOCK_BYTES = 64 * 1024

/** Size of the first block, in bytes; an event of a stream that arrives in several chunks usually fits into it. */
const FIRST_BLOCK_BYTES = 1024

interface ByteCollectorOptions {
  /** Told of each increase of the allocated bytes beforehand; if it returns false, the collector drops its bytes and takes no more. */
  onGrowth?: (bytes: number) => boolean
}

/** Keeps the chunks of a body or an event as they arrive. A list of the chunks would keep an object for each of them, which has many times the size of a small one. */
export class ByteCollector {
  /** Full blocks, or chunks that were as large as one. */
  readonly #blocks: Buffer[] = []
  /** The block that is being filled; a first chunk that may stay the only one is kept as it is. */
  #last: Buffer = Buffer.alloc(0)
  #lastLength = 0
  #length = 0
  readonly #onGrowth: (bytes: number) => boolean

  constructor (options: ByteCollectorOptions = {}) {
    this.#onGrowth = options.onGrowth ?? (() => true)
  }

  /** Number of bytes received. */
  get length (): number {
    return this.#length
  }

  /** Returns false if the bytes were not taken. */
  push (chunk: Buffer): boolean {
    if (chunk.length === 0) return true
    if (!this.#append(chunk)) {
      this.clear()
      return false
    }
    this.#length += chunk.length
    return true
  }

  /** The received bytes. */
  bytes (): Buffer {
    if (this.#blocks.length === 0) return this.#last.subarray(0, this.#lastLength)
    return Buffer.concat(this.parts(), this.#length)
  }

  /** The received bytes in parts, which needs no copy. */
  parts (): Buffer[] {
    return [...this.#blocks, this.#last.subarray(0, this.#lastLength)]
  }

  /** Returns the received bytes and forgets them, so that they are not kept twice. */
  take (): Buffer {
    const bytes = this.bytes()
    this.clear()
    return bytes
  }

  clear (): void {
    this.#blocks.length = 0
    this.#last = Buffer.alloc(0)
    this.#lastLength = 0
    this.#length = 0
  }

  #append (chunk: Buffer): boolean {
    if (this.#length === 0) return this.#keep(chunk)
    const copied = chunk.copy(this.#last, this.#lastLength)
    this.#lastLength += copied
    if (copied === chunk.length) return true
    const rest = chunk.subarray(copied)
    this.#blocks.push(this.#last.subarray(0, this.#lastLength))
    if (rest.length >= BLOCK_BYTES) return this.#keep(rest)
    const blockBytes = Math.min(BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, this.#length, rest.length))
    if (!this.#onGrowth(blockBytes)) return false
    this.#last = Buffer.allocUnsafeSlow(blockBytes)
    this.#lastLength = rest.copy(this.#last)
    return true
  }

  #keep (chunk: Buffer): boolean {
    if (!this.#onGrowth(chunk.length)) return false
    // A small part of a large read would keep all of it.
    this.#last = chunk.length < chunk.buffer.byteLength / 2 ? Buffer.from(chunk) : chunk
    this.#lastLength = chunk.length
    return true
  }
}
