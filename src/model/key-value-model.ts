import type { VirtualClock } from './virtual-clock.js'

export interface KeyValueFaults {
  down: boolean
  delayMs: number
  /** Share of writes that take effect while their reply is lost. */
  lostReplies: number
}

/** How a call to the modelled key-value service ended. */
export enum CallEnd {
  Done = 'done',
  /** The call failed and changed nothing. */
  Failed = 'failed',
  /** No reply came; the call may have taken effect. */
  Unknown = 'unknown'
}

const REPLY_TIMEOUT_MS = 1000

/** Model of the platform's key-value service: values with revisions, outages, delays and lost replies. */
export class KeyValueModel {
  readonly faults: KeyValueFaults = { down: false, delayMs: 2, lostReplies: 0 }
  readonly #clock: VirtualClock
  readonly #random: () => number
  readonly #values = new Map<string, { value: unknown, revision: number }>()
  #revision = 0
  reads = 0
  writes = 0

  constructor (options: { clock: VirtualClock, random: () => number }) {
    this.#clock = options.clock
    this.#random = options.random
  }

  get (key: string): { value: unknown, revision: number } | undefined {
    return this.#values.get(key)
  }

  /** Writes at once, for what the platform itself or operators put there. */
  put (key: string, value: unknown): void {
    this.#revision += 1
    this.#values.set(key, { value, revision: this.#revision })
  }

  read (key: string, reply: (end: CallEnd, found: { value: unknown, revision: number } | undefined) => void): void {
    this.#call(() => {
      this.reads += 1
      const found = this.#values.get(key)
      this.#clock.schedule(this.faults.delayMs, () => reply(CallEnd.Done, found))
    }, () => reply(CallEnd.Failed, undefined))
  }

  /** Writes if the last revision is the expected one; 0 means that the key must not exist. */
  compareAndSwap (key: string, value: unknown, expectedRevision: number, reply: (end: CallEnd, swapped: boolean) => void): void {
    this.#call(() => {
      this.writes += 1
      const swapped = (this.#values.get(key)?.revision ?? 0) === expectedRevision
      if (swapped) {
        this.#revision += 1
        this.#values.set(key, { value, revision: this.#revision })
      }
      if (this.#random() < this.faults.lostReplies) this.#clock.schedule(REPLY_TIMEOUT_MS, () => reply(CallEnd.Unknown, false))
      else this.#clock.schedule(this.faults.delayMs, () => reply(CallEnd.Done, swapped))
    }, () => reply(CallEnd.Failed, false))
  }

  #call (arrive: () => void, refused: () => void): void {
    this.#clock.schedule(this.faults.delayMs, () => {
      if (this.faults.down) refused()
      else arrive()
    })
  }
}
