const LINE_FEED = 0x0a

/** Splits a server-sent event stream at event boundaries, so that a stream is resumed on another runner only after a complete event. */
export class EventSplitter {
  #partialEvent: Buffer = Buffer.alloc(0)
  #lastId: string | null

  constructor (options: { lastId: string | null }) {
    this.#lastId = options.lastId
  }

  /** Id of the last complete event; before the first one, the initial id. */
  get lastId (): string | null {
    return this.#lastId
  }

  /** Received bytes of an event that is not complete yet. */
  get partialEvent (): Buffer {
    return this.#partialEvent
  }

  /** Adds received bytes and returns all events that are complete now and were not returned before. */
  push (chunk: Buffer): Buffer {
    const bytes = this.#partialEvent.length === 0 ? chunk : Buffer.concat([this.#partialEvent, chunk])
    const end = endOfLastEvent(bytes)
    this.#partialEvent = bytes.subarray(end)
    const wholeEvents = bytes.subarray(0, end)
    const ids = [...wholeEvents.toString('latin1').matchAll(/^id: ?(.*?)\r?$/gm)]
    this.#lastId = ids.at(-1)?.[1] ?? this.#lastId
    return wholeEvents
  }

  /** Discards the partial event of a stream that was cut off. */
  reset (): void {
    this.#partialEvent = Buffer.alloc(0)
  }
}

/** Offset just after the last blank line, which ends an event; 0 if there is none. */
function endOfLastEvent (bytes: Buffer): number {
  for (let offset = bytes.lastIndexOf(LINE_FEED); offset > 0; offset = bytes.lastIndexOf(LINE_FEED, offset - 1)) {
    const previous = bytes[offset - 1] === 0x0d ? offset - 2 : offset - 1
    if (bytes[previous] === LINE_FEED) return offset + 1
  }
  return 0
}
