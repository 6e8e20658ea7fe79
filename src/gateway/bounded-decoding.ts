import { decode } from 'cbor-x'

/** Largest number of values in a decoded text or message. A configuration of the largest size that the store accepts has less than half as many. Without it, a few megabytes of empty lists would fill the heap. */
const MAX_VALUES = 500_000

/** A text or message that is not decoded because of its size or the number of its values. */
export class OversizeError extends Error {}

/** Bytes that precede a value in JSON. */
const JSON_VALUE_MARKS = new Set([',', '[', '{'].map((mark) => mark.charCodeAt(0)))

/** Parses JSON. Throws an `OversizeError` if it has too many values; marks in strings count as values. */
export function parseBoundedJson (bytes: Buffer): unknown {
  let count = 0
  for (const byte of bytes) if (JSON_VALUE_MARKS.has(byte)) count += 1
  if (count > MAX_VALUES) throw new OversizeError(`more than ${MAX_VALUES} values in ${bytes.length} bytes`)
  return JSON.parse(bytes.toString('utf8'))
}

enum CborType { Unsigned, Negative, Bytes, Text, List, Map, Tag, Simple }

/** Number of length bytes by the low five bits of a head; lower values are lengths themselves. */
const CBOR_LENGTH_BYTES = new Map([[24, 1], [25, 2], [26, 4], [27, 8]])

/** Low five bits of a head without a length, or of the end of such a value. */
const CBOR_INDEFINITE = 31

/** Decodes CBOR. Throws if it has too many values, if its lists and strings are longer than the message, or if it has tags, which the instances do not use. */
export function decodeBoundedCbor (bytes: Buffer): unknown {
  checkCbor(bytes)
  return decode(bytes)
}

/** Reads only the heads. The elements of lists and maps follow these, so the nesting does not matter. */
function checkCbor (bytes: Buffer): void {
  let offset = 0
  let heads = 0
  /** Number of elements that the lists and maps declare; the decoder allocates them beforehand. */
  let declared = 0
  while (offset < bytes.length) {
    const head = bytes[offset] ?? 0
    const type: CborType = head >> 5
    const low = head & 0x1f
    const lengthBytes = CBOR_LENGTH_BYTES.get(low) ?? 0
    offset += 1
    heads += 1
    if (offset + lengthBytes > bytes.length) throw new Error('CBOR ends within a head')
    const length = lengthBytes === 0 ? low % CBOR_INDEFINITE : readLength(bytes, offset, lengthBytes)
    offset += lengthBytes
    if (type === CborType.Tag) throw new Error('CBOR with a tag')
    if (type === CborType.Bytes || type === CborType.Text) offset += length
    if (type === CborType.List || type === CborType.Map) declared += length
    if (offset > bytes.length) throw new Error('CBOR ends within a value')
    if (heads > MAX_VALUES || declared > MAX_VALUES) throw new OversizeError(`more than ${MAX_VALUES} values in ${bytes.length} bytes`)
  }
}

function readLength (bytes: Buffer, offset: number, lengthBytes: number): number {
  return lengthBytes === 8 ? Number(bytes.readBigUInt64BE(offset)) : bytes.readUIntBE(offset, lengthBytes)
}
