import type { BufferHold } from './buffer-budget.js'
import { ByteCollector } from './byte-collector.js'

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const SPACE = 0x20
const COLON = 0x3a

const NO_BYTES = Buffer.alloc(0)

/** Start of the line that holds the id of an event. */
const ID_FIELD = Buffer.from('id:')

/** The id lines of one or more events: their number, and the offsets of the value of the last one. */
interface IdLines {
  count: number
  valueStart: number
  valueEnd: number
}

const noIdLines: IdLines = { count: 0, valueStart: 0, valueEnd: 0 }

interface EventSplitterOptions {
  lastEventId: string | null
  /** Counts the bytes of the partial event. */
  buffers: BufferHold
}

/** Splits a stream of server-sent events at event boundaries, so that it can be resumed on another runner after a complete event. The work for a byte does not depend on what was received before. */
export class EventSplitter {
  readonly #buffers: BufferHold
  readonly #partialEvent: ByteCollector
  /** Bytes of the partial event that are counted in the budget. */
  #countedBytes = 0
  #lastEventId: string | null
  #eventCount = 0
  #insideEvent = false
  /** The two bytes received last; a stream begins like a line. */
  #previous = LINE_FEED
  #beforePrevious = LINE_FEED
  /** Number of bytes of the present line that match the start of an id line; null once one does not. */
  #matchedBytes: number | null = 0
  /** Where the value of the present id line begins, as an offset in the partial event. */
  #valueStart = 0
  /** The id lines of the partial event. */
  #ids: IdLines = noIdLines

  constructor ({ lastEventId, buffers }: EventSplitterOptions) {
    this.#lastEventId = lastEventId
    this.#buffers = buffers
    this.#partialEvent = new ByteCollector({
      onGrowth: (bytes) => {
        if (!buffers.add(bytes)) return false
        this.#countedBytes += bytes
        return true
      }
    })
  }

  /** Id of the last complete event; until one arrives, the id that was passed to the constructor. */
  get lastEventId (): string | null {
    return this.#lastEventId
  }

  /** Number of complete events received. */
  get eventCount (): number {
    return this.#eventCount
  }

  /** Received bytes of an event that is not complete yet. */
  get partialEvent (): Buffer {
    return this.#partialEvent.bytes()
  }

  /** Number of the received bytes of an event that is not complete yet. */
  get partialBytes (): number {
    return this.#partialEvent.length
  }

  /** Whether the received bytes end inside an event; further line ends after an event don't begin one. */
  get insideEvent (): boolean {
    return this.#insideEvent
  }

  /** Adds received bytes and returns the events that they complete. */
  push (chunk: Buffer): Buffer {
    const { end, ids } = this.#scan(chunk)
    if (end === 0) {
      this.#partialEvent.push(chunk)
      return NO_BYTES
    }
    const completeEvents = this.#partialEvent.length === 0 ? chunk.subarray(0, end) : Buffer.concat([...this.#partialEvent.parts(), chunk.subarray(0, end)])
    this.#eventCount += ids.count
    if (ids.count > 0) this.#lastEventId = completeEvents.toString('latin1', ids.valueStart, ids.valueEnd)
    this.#valueStart -= completeEvents.length
    this.#ids = { ...this.#ids, valueStart: this.#ids.valueStart - completeEvents.length, valueEnd: this.#ids.valueEnd - completeEvents.length }
    this.#clearPartialEvent()
    this.#partialEvent.push(chunk.subarray(end))
    return completeEvents
  }

  /** Discards the partial event of a stream that was cut off. */
  discardPartialEvent (): void {
    this.#clearPartialEvent()
    this.#insideEvent = false
    this.#previous = LINE_FEED
    this.#beforePrevious = LINE_FEED
    this.#matchedBytes = 0
    this.#ids = noIdLines
  }

  #clearPartialEvent (): void {
    this.#partialEvent.clear()
    this.#buffers.add(-this.#countedBytes)
    this.#countedBytes = 0
  }

  /** Reads the bytes of a chunk once; returns the offset in it after the last blank line, since a blank line ends an event, or 0, and the id lines of the events up to there. */
  #scan (chunk: Buffer): { end: number, ids: IdLines } {
    const receivedBytes = this.#partialEvent.length
    let end = 0
    let ids = noIdLines
    for (let index = 0; index < chunk.length; index += 1) {
      const byte = chunk[index] ?? 0
      const isBlankLine = byte === LINE_FEED && (this.#previous === LINE_FEED || (this.#previous === CARRIAGE_RETURN && this.#beforePrevious === LINE_FEED))
      this.#matchIdLine(byte, receivedBytes + index)
      this.#beforePrevious = this.#previous
      this.#previous = byte
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) this.#insideEvent = true
      if (!isBlankLine) continue
      end = index + 1
      if (this.#ids.count > 0) ids = { ...this.#ids, count: ids.count + this.#ids.count }
      this.#ids = noIdLines
      this.#insideEvent = false
    }
    return { end, ids }
  }

  /** Records an id line when it ends; `offset` is that of the byte in the partial event. */
  #matchIdLine (byte: number, offset: number): void {
    const matched = this.#matchedBytes
    if (byte === LINE_FEED || byte === CARRIAGE_RETURN) {
      if (matched === ID_FIELD.length) this.#ids = { count: this.#ids.count + 1, valueStart: this.#valueStart, valueEnd: offset }
      this.#matchedBytes = 0
    } else if (matched === null) {
      // A line of another field.
    } else if (matched < ID_FIELD.length) {
      this.#matchedBytes = byte === ID_FIELD[matched] ? matched + 1 : null
      this.#valueStart = offset + 1
    } else if (byte === SPACE && offset === this.#valueStart && this.#previous === COLON) {
      this.#valueStart += 1
    }
  }
}
