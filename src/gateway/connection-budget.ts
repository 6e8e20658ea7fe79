import type { Log } from '../logs/log.js'

/** What a connection is doing. When room is short, connections are closed in this order. */
export enum ConnectionStage {
  /** No complete request head has arrived: it is silent, or sends a head. */
  Unfinished,
  /** All its answers are complete, and its caller does not read them. */
  Unread,
  /** It sends the body of a request. */
  Uploading,
  /** Its last answer has been sent, and its caller may send the next request. */
  Idle,
  /** It has sent requests ahead of the one that is served. */
  Queueing,
  /** Its only request is served. It is ended only for memory, if nothing else is left, and the one that occupies most. */
  Serving
}

/** Memory of an open connection without a request: its socket, parser and timers, in bytes. */
export const CONNECTION_BYTES = 8 * 1024

/** Time for which a connection may stay without progress before it gives way to a new one, in milliseconds; callers send their request at once, but a busy process may read it later. */
const MIN_STALL_MS = 1000

/** Memory of a connection with an ordinary request, at most, in bytes. One that has just come and holds no more is closed for memory only if there is no other: it would be the first by its stage, though it has had no time for progress. */
const ORDINARY_BYTES = 32 * 1024

/** Added to the time without progress when connections are compared, in milliseconds, so that a fresh connection that holds much is not the last choice. */
const STALL_OFFSET_MS = 100

/** What runs short. */
enum Shortage {
  Connections = 'connections',
  Memory = 'memory',
  /** Memory, and no connection holds more than an ordinary one. */
  AnyMemory = 'any-memory'
}

/** Which connections may be closed. */
const mayClose: Record<Shortage, (connection: { stage: ConnectionStage, stallMs: number, bytes: number }) => boolean> = {
  [Shortage.Connections]: ({ stage, stallMs }) => stage !== ConnectionStage.Serving && stallMs >= MIN_STALL_MS,
  [Shortage.Memory]: ({ stage, stallMs, bytes }) => bytes > ORDINARY_BYTES || (stage !== ConnectionStage.Serving && stallMs >= MIN_STALL_MS),
  [Shortage.AnyMemory]: () => true
}

interface ConnectionOptions {
  /** Caller's address. Many honest callers may share one, so it only decides between connections of the same stage. */
  address: string
  stage: () => ConnectionStage
  /** Closes the connection, or ends its request. Returns false if it stays open for a moment, so that its caller gets an answer; the hold is then released later. */
  close: () => boolean
}

interface ConnectionBudgetOptions {
  /** Name of the listener, for logs. */
  name: string
  /** Largest sum of the memory of all connections, in bytes. */
  limitBytes: number
  maxConnections: number
  log: Log
  nowMs: () => number
  /** Called for each connection that is closed or not accepted. */
  onClose?: () => void
}

/** The memory that one connection occupies, as a part of the budget of its listener. */
export class ConnectionHold {
  readonly address: string
  readonly stage: () => ConnectionStage
  readonly close: () => boolean
  /** Whether the connection has been told to close. */
  closing = false
  readonly #budget: ConnectionBudget
  #bytes = 0
  #released = false
  progressMs: number

  constructor (options: ConnectionOptions & { budget: ConnectionBudget, nowMs: number }) {
    this.address = options.address
    this.stage = options.stage
    this.close = options.close
    this.#budget = options.budget
    this.progressMs = options.nowMs
  }

  get bytes (): number {
    return this.#bytes
  }

  /** Replaces the number of bytes; other connections may be closed, or this one. */
  resize (bytes: number): void {
    if (this.#released || bytes === this.#bytes) return
    const change = bytes - this.#bytes
    this.#bytes = bytes
    this.#budget.recordChange(this, change)
  }

  /** Records that a request or an answer has been completed. */
  recordProgress (): void {
    this.progressMs = this.#budget.nowMs()
  }

  /** Takes the connection out of the budget for good. */
  release (): void {
    if (this.#released) return
    this.resize(0)
    this.#released = true
    this.#budget.remove(this)
  }
}

/** Bounds the number of a listener's connections and the memory that they occupy beside bodies and answers, which the buffer budget counts. When either runs short, the connections that make least progress for what they hold are closed. */
export class ConnectionBudget {
  readonly nowMs: () => number
  readonly #options: ConnectionBudgetOptions
  readonly #holds = new Set<ConnectionHold>()
  readonly #bytesByAddress = new Map<string, number>()
  #heldBytes = 0
  #closing = false

  constructor (options: ConnectionBudgetOptions) {
    this.#options = options
    this.nowMs = options.nowMs
  }

  /** Name of the listener. */
  get name (): string {
    return this.#options.name
  }

  get size (): number {
    return this.#holds.size
  }

  get heldBytes (): number {
    return this.#heldBytes
  }

  /** Whether over half of the memory is in use; callers' requests are then not read ahead. */
  get isScarce (): boolean {
    return this.#heldBytes > this.#options.limitBytes / 2
  }

  /** Accepts a connection; null if there is no room and none to close for it. */
  open (options: ConnectionOptions): ConnectionHold | null {
    const { maxConnections } = this.#options
    if (this.#holds.size >= maxConnections) this.#closeWorst(Shortage.Connections)
    if (this.#holds.size >= maxConnections) {
      this.#options.onClose?.()
      return null
    }
    const hold = new ConnectionHold({ ...options, budget: this, nowMs: this.nowMs() })
    this.#holds.add(hold)
    hold.resize(CONNECTION_BYTES)
    return hold
  }

  /** Records a change of a hold; called by the hold itself. */
  recordChange (hold: ConnectionHold, change: number): void {
    this.#heldBytes += change
    const bytes = (this.#bytesByAddress.get(hold.address) ?? 0) + change
    if (bytes > 0) this.#bytesByAddress.set(hold.address, bytes)
    else this.#bytesByAddress.delete(hold.address)
    // A connection that is closed changes its own bytes.
    if (this.#closing) return
    this.#closing = true
    while (this.#heldBytes > this.#options.limitBytes && (this.#closeWorst(Shortage.Memory) || this.#closeWorst(Shortage.AnyMemory)));
    this.#closing = false
  }

  /** Forgets a hold; called by the hold itself. */
  remove (hold: ConnectionHold): void {
    this.#holds.delete(hold)
  }

  /** Returns false if there is nothing to close. */
  #closeWorst (shortage: Shortage): boolean {
    const nowMs = this.nowMs()
    let worst: ConnectionHold | null = null
    let worstStage = ConnectionStage.Serving
    let worstCost = -1
    for (const hold of this.#holds) {
      if (hold.closing) continue
      const stage = hold.stage()
      const stallMs = nowMs - hold.progressMs
      if (stage > worstStage || !mayClose[shortage]({ stage, stallMs, bytes: hold.bytes })) continue
      const cost = stage === ConnectionStage.Serving ? hold.bytes : hold.bytes * (stallMs + STALL_OFFSET_MS) * (this.#bytesByAddress.get(hold.address) ?? 0)
      if (stage === worstStage && cost <= worstCost) continue
      worst = hold
      worstStage = stage
      worstCost = cost
    }
    if (worst === null) return false
    const { name, log, onClose } = this.#options
    log.warn('connection.closed', { listener: name, shortOf: shortage, stage: ConnectionStage[worstStage], bytes: worst.bytes, stalledMs: Math.round(nowMs - worst.progressMs), connections: this.#holds.size, heldBytes: this.#heldBytes })
    onClose?.()
    worst.closing = true
    if (worst.close()) worst.release()
    return true
  }
}
