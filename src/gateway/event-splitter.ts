const LINE_FEED = 0x0a

/** Splits a stream of events into whole ones, so that a stream can go on elsewhere after an event and never in the middle of one. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0)
  #lastId: string | null

  constructor (options: { lastId: string | null }) {
    this.#lastId = options.lastId
  }

  /** Id of the last whole event. */
  get lastId (): string | null {
    return this.#lastId
  }

  /** Bytes of an event whose end has not arrived. */
  get pending (): Buffer {
    return this.#rest
  }

  /** Takes bytes and returns the whole events they complete. */
  push (chunk: Buffer): Buffer {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    const end = endOfLastEvent(bytes)
    this.#rest = bytes.subarray(end)
    const whole = bytes.subarray(0, end)
    const ids = [...whole.toString('latin1').matchAll(/^id: ?(.*?)\r?$/gm)]
    this.#lastId = ids.at(-1)?.[1] ?? this.#lastId
    return whole
  }

  /** Drops a partial event whose stream broke off. */
  reset (): void {
    this.#rest = Buffer.alloc(0)
  }
}

/** Offset after the last blank line. */
function endOfLastEvent (bytes: Buffer): number {
  for (let at = bytes.lastIndexOf(LINE_FEED); at > 0; at = bytes.lastIndexOf(LINE_FEED, at - 1)) {
    const previous = bytes[at - 1] === 0x0d ? at - 2 : at - 1
    if (bytes[previous] === LINE_FEED) return at + 1
  }
  return 0
}
