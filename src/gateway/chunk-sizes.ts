/** Number of chunks of a body from which their average size is looked at; small bodies may have any chunks. */
const UNCHECKED_CHUNKS = 4096

/** Smallest average size of the chunks of a longer body, in bytes. Each chunk costs as much work as some kilobytes in one piece, and servers write at least some words at once. */
const MIN_AVERAGE_BYTES = 16

/** Notices a body whose chunks are so small that receiving it costs many times the work that its bytes are worth. */
export class ChunkSizes {
  #count = 0
  #bytes = 0

  /** Records a chunk; returns false if the body is to be given up. */
  accept (chunkBytes: number): boolean {
    this.#count += 1
    this.#bytes += chunkBytes
    return this.#count <= UNCHECKED_CHUNKS || this.#bytes >= this.#count * MIN_AVERAGE_BYTES
  }
}
