import { decode, encode } from 'cbor-x'

/** Size of the big-endian length that precedes each frame, in bytes. */
const LENGTH_BYTES = 4

/** Largest body of a frame, in bytes. A larger frame ends the connection; the bodies of forwarded calls and of their answers are limited so that they fit. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024

export function encodeFrame (value: unknown): Buffer {
  const body = encode(value)
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
  frame.writeUInt32BE(body.length, 0)
  body.copy(frame, LENGTH_BYTES)
  return frame
}

/** Splits a byte stream into frames and decodes them. */
export class FrameReader {
  #pending: Buffer = Buffer.alloc(0)

  /** Returns the values of the frames that the chunk completes; throws if a frame is oversized or malformed. */
  push (chunk: Buffer): unknown[] {
    this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk])
    const values: unknown[] = []
    let offset = 0
    while (this.#pending.length - offset >= LENGTH_BYTES) {
      const length = this.#pending.readUInt32BE(offset)
      if (length > MAX_FRAME_BYTES) throw new RangeError(`frame of ${length} bytes is over the limit of ${MAX_FRAME_BYTES}`)
      const end = offset + LENGTH_BYTES + length
      if (this.#pending.length < end) break
      values.push(decode(this.#pending.subarray(offset + LENGTH_BYTES, end)))
      offset = end
    }
    this.#pending = this.#pending.subarray(offset)
    return values
  }
}
