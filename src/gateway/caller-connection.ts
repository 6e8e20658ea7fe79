import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { CONNECTION_BYTES, type ConnectionBudget, type ConnectionHold, ConnectionStage } from './connection-budget.js'
import type { ReadScheduler, ScheduledReader } from './read-scheduler.js'
import { startReading, stopReading } from './socket-reading.js'

/** Number of unfinished requests of one connection beyond which nothing more is parsed. Callers rarely send a request before they have the response to the previous one. */
const MAX_UNFINISHED_REQUESTS = 32

/** Part of the received bytes that is parsed at once, up to the end of its last line, if it isn't a body of known length. */
const PART_BYTES = 2048

/** Largest head that the parser of any listener takes, in bytes. */
export const MAX_HEAD_BYTES = 64 * 1024

const HEAD_END = '\r\n\r\n'
const LINE_END = 0x0a

/** Largest number of fields of a head that are kept: more than a head of the usual 16,384 bytes can have. */
export const MAX_FIELDS = 3300

/** Memory of a request and its response until it is finished, beside its head, body and answer, in bytes. */
const REQUEST_BYTES = 6 * 1024

/** Number of copies of a head's text: as received, and as it is sent to a server. */
const HEAD_COPIES = 2

/** Memory of a field of a head beside its bytes: its texts, and its places in the lists of names and values. */
const FIELD_BYTES = 120

/** Largest memory of a head or trailers without an end, as the parser keeps no more fields and bytes. */
const MAX_UNENDED_BYTES = MAX_HEAD_BYTES + MAX_FIELDS * FIELD_BYTES

interface UnfinishedRequest {
  incoming: IncomingMessage
  outgoing: ServerResponse
  headBytes: number
}

interface CallerConnectionOptions {
  socket: Socket
  budget: ConnectionBudget
  scheduler: ReadScheduler
  /** Passes bytes to the parser of the connection. */
  parse: (bytes: Buffer) => void
  /** Ends the only request of the connection with an answer; returns false if that is not possible. */
  endRequest: (socket: Socket) => boolean
}

/** One connection of a caller: passes its bytes to the HTTP parser in small parts, as far as its unfinished requests and the memory of all connections allow it, and counts what it occupies. */
export class CallerConnection implements ScheduledReader {
  readonly hold: ConnectionHold | null
  readonly #options: CallerConnectionOptions
  readonly #unfinished: UnfinishedRequest[] = []
  #pending: Buffer[] = []
  #pendingBytes = 0
  /** Memory of the head or the trailers that have no end yet. */
  #unendedBytes = 0
  #requests = 0
  /** Bytes of the last request's body that its length announces and that have not been parsed. */
  #bodyBytesLeft = 0
  /** Bytes of bodies that have been read from their requests. */
  #bodyBytesRead = 0
  #parsing = false
  /** Bytes that the operating system had taken at the last check, and when they became more. */
  #sentBytes = 0
  #sentMs: number
  #unreadable = false

  constructor (options: CallerConnectionOptions) {
    this.#options = options
    const { socket, budget, scheduler } = options
    this.#sentMs = budget.nowMs()
    this.hold = budget.open({ address: socket.remoteAddress ?? '', stage: () => this.#stage(), close: () => this.#close() })
    if (this.hold === null) return
    scheduler.add(this)
    socket.on('data', (chunk: Buffer) => this.#receive(chunk))
    // Node.js resumes the connection whenever the body of a request is read, also if it is empty.
    socket.on('resume', () => {
      if (this.#mustPause) this.pause()
      else startReading(socket)
    })
    // A stream reads ahead although it is paused.
    const read = socket._read.bind(socket)
    socket._read = (size) => { if (!this.#mustPause) read(size) }
    socket.once('close', () => {
      this.#forgetPending()
      scheduler.remove(this)
      this.hold?.release()
    })
  }

  get pendingBytes (): number {
    return this.#pendingBytes
  }

  get isFresh (): boolean {
    return this.#unfinished.length === 0 && this.#unendedBytes === 0 && this.#pendingBytes === 0
  }

  /** Counts a request whose head has arrived, until its response has been sent. */
  addRequest (incoming: IncomingMessage, outgoing: ServerResponse): void {
    const fields = incoming.rawHeaders.length / 2
    const textBytes = incoming.rawHeaders.reduce((sum, text) => sum + text.length, incoming.url?.length ?? 0)
    const request: UnfinishedRequest = { incoming, outgoing, headBytes: REQUEST_BYTES + fields * FIELD_BYTES + HEAD_COPIES * textBytes }
    this.#requests += 1
    this.#unendedBytes = 0
    this.#bodyBytesLeft = Number(incoming.headers['content-length'] ?? 0)
    this.#unfinished.push(request)
    incoming.on('data', (chunk: Buffer) => { this.#bodyBytesRead += chunk.length })
    incoming.once('end', () => this.hold?.recordProgress())
    outgoing.once('close', () => {
      this.#unfinished.splice(this.#unfinished.indexOf(request), 1)
      this.hold?.recordProgress()
      this.#count()
      this.#proceed()
    })
    this.#count()
  }

  /** Drops what has arrived and what arrives from now on: the parser has met bytes that are no request. */
  stopParsing (): void {
    this.#unreadable = true
    this.#forgetPending()
  }

  /** Closes the connection if its caller has read nothing of its complete answers for so long, in milliseconds. */
  closeIfUnread (limitMs: number): void {
    const { socket, budget } = this.#options
    const sentBytes = socket.bytesWritten - socket.writableLength
    if (sentBytes !== this.#sentBytes || this.#stage() !== ConnectionStage.Unread) {
      this.#sentBytes = sentBytes
      this.#sentMs = budget.nowMs()
    } else if (budget.nowMs() - this.#sentMs >= limitMs) socket.destroy()
  }

  parse (): boolean {
    if (this.#pendingBytes === 0 || this.#isFull || this.#options.socket.destroyed) {
      this.#proceedIfEmpty()
      return false
    }
    const part = this.#takePart()
    const bodyBytesBefore = this.#bodyBytes
    const requestsBefore = this.#requests
    this.#parsing = true
    this.#options.parse(part)
    this.#parsing = false
    const bodyBytes = this.#bodyBytes - bodyBytesBefore
    this.#bodyBytesLeft = Math.max(0, this.#bodyBytesLeft - bodyBytes)
    // What is neither a whole head nor a body belongs to a head or to trailers, which the parser keeps.
    if (this.#requests === requestsBefore && bodyBytes === 0) this.#unendedBytes = Math.min(this.#unendedBytes + part.length + FIELD_BYTES * countLines(part), MAX_UNENDED_BYTES)
    else if (this.#requests > requestsBefore) this.#unendedBytes = 0
    this.#count()
    this.#proceedIfEmpty()
    return this.#pendingBytes > 0 && !this.#isFull
  }

  pause (): void {
    const { socket } = this.#options
    socket.pause()
    stopReading(socket)
  }

  resume (): void {
    if (!this.#mustPause) this.#options.socket.resume()
  }

  /** Bytes of bodies that the parser has found; some may not have been read from their request yet. */
  get #bodyBytes (): number {
    return this.#bodyBytesRead + this.#unfinished.reduce((sum, { incoming }) => sum + incoming.readableLength, 0)
  }

  get #isFull (): boolean {
    const max = this.#options.budget.isScarce ? 0 : MAX_UNFINISHED_REQUESTS
    // The body of the last request has to be read on.
    return this.#unfinished.length > max && this.#unfinished.at(-1)?.incoming.complete === true
  }

  get #mustPause (): boolean {
    return !this.#unreadable && (this.#pendingBytes > 0 || this.#isFull || this.#options.scheduler.isHeld(this))
  }

  #receive (chunk: Buffer): void {
    if (this.#unreadable) return
    this.#pending.push(chunk)
    this.#pendingBytes += chunk.length
    this.#options.scheduler.recordPending(chunk.length)
    this.#count()
    if (this.#options.socket.destroyed || this.#parsing) return
    this.#options.scheduler.request(this)
    if (this.#mustPause) this.pause()
  }

  /** Goes on with the bytes that wait, or reads more. */
  #proceed (): void {
    if (this.#options.socket.destroyed) return
    if (this.#pendingBytes > 0 && !this.#isFull) this.#options.scheduler.request(this)
    else this.#proceedIfEmpty()
  }

  #proceedIfEmpty (): void {
    const { socket } = this.#options
    if (socket.isPaused() && !socket.destroyed) this.resume()
  }

  #takePart (): Buffer {
    const [first = Buffer.alloc(0)] = this.#pending
    const bytes = this.#partLength(first)
    if (bytes === first.length) this.#pending.shift()
    else this.#pending[0] = first.subarray(bytes)
    this.#pendingBytes -= bytes
    this.#options.scheduler.recordPending(-bytes)
    return first.subarray(0, bytes)
  }

  /** Bytes that are parsed at once: a body of known length, or at most one request, so that no further ones are made than the caller may have. */
  #partLength (bytes: Buffer): number {
    const last = this.#unfinished.at(-1)
    if (last !== undefined && !last.incoming.complete && this.#bodyBytesLeft > 0) return Math.min(bytes.length, this.#bodyBytesLeft)
    const end = bytes.subarray(0, PART_BYTES).indexOf(HEAD_END)
    if (end !== -1) return end + HEAD_END.length
    // The parser copies an unfinished line again with each part of it.
    const lineEnd = bytes.indexOf(LINE_END, PART_BYTES)
    return lineEnd === -1 ? bytes.length : lineEnd + 1
  }

  #forgetPending (): void {
    this.#options.scheduler.recordPending(-this.#pendingBytes)
    this.#pending = []
    this.#pendingBytes = 0
  }

  #count (): void {
    const requestBytes = this.#unfinished.reduce((sum, { headBytes }) => sum + headBytes, 0)
    this.hold?.resize(CONNECTION_BYTES + this.#pendingBytes + this.#unendedBytes + requestBytes)
  }

  #stage (): ConnectionStage {
    const [first] = this.#unfinished
    if (first === undefined) return this.#requests === 0 || this.#unendedBytes > 0 || this.#pendingBytes > 0 ? ConnectionStage.Unfinished : ConnectionStage.Idle
    if (!first.incoming.complete) return ConnectionStage.Uploading
    if (this.#unfinished.every(({ outgoing }) => outgoing.writableEnded)) return ConnectionStage.Unread
    return this.#unfinished.length > 1 || this.#unendedBytes > 0 ? ConnectionStage.Queueing : ConnectionStage.Serving
  }

  #close (): boolean {
    const { socket, endRequest } = this.#options
    // The rest of an upload is still read and dropped.
    if (endRequest(socket)) {
      for (const request of this.#unfinished) request.headBytes = REQUEST_BYTES
      this.#count()
      return false
    }
    this.#forgetPending()
    this.#unreadable = true
    socket.destroy()
    return true
  }
}

function countLines (bytes: Buffer): number {
  let lines = 0
  for (let at = bytes.indexOf(LINE_END); at !== -1; at = bytes.indexOf(LINE_END, at + 1)) lines += 1
  return lines
}
