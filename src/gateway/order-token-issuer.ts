import type { Log } from '../logs/log.js'
import type { PlatformStore } from './platform-store.js'

/** Time that the record must have been another holder's last word before this instance takes it over, in milliseconds beyond the time within which holders may not take turns. */
const TAKEOVER_MARGIN_MS = 1500

/** An order goes out only this soon after its number was granted, in milliseconds by the steady clock: an instance that was held up gives none. */
const FRESH_GRANT_MS = 500

/** The newest record of who may give orders to a service's runners. */
export interface OrderRecord {
  holder: string
  /** The runner that the order is for. */
  server: string
  /** Revision of the store; the fencing number of the order it allows. */
  revision: number
}

interface OrderAuthorityOptions {
  store: PlatformStore
  holder: string
  /** Holders may not take turns within this time, in milliseconds. */
  turnMs: () => number
  log: Log
  nowMs: () => number
}

/**
 * Grants fencing numbers for orders. Each order needs a conditional write of the service's record in the store:
 * its revision is the order's number, which therefore grows with every order whoever gives it.
 */
export class OrderTokenIssuer {
  readonly #options: OrderAuthorityOptions
  readonly #records = new Map<string, OrderRecord & { seenMs: number }>()

  constructor (options: OrderAuthorityOptions) {
    this.#options = options
  }

  /** Takes a record as the store shows it. */
  observe (service: string, record: OrderRecord): void {
    const known = this.#records.get(service)
    if (known !== undefined && known.revision >= record.revision) return
    this.#records.set(service, { ...record, seenMs: this.#options.nowMs() })
  }

  /** Whether another instance's last order is too recent for one of this instance. */
  mayAcquire (service: string): boolean {
    const known = this.#records.get(service)
    if (known === undefined || known.holder === this.#options.holder) return true
    return this.#options.nowMs() - known.seenMs > this.#options.turnMs() + TAKEOVER_MARGIN_MS
  }

  /** A number for one order that is to be sent at once; null if this instance may not give one. */
  async acquire (service: string, server: string): Promise<number | null> {
    if (!this.mayAcquire(service)) return null
    const { store, holder, nowMs, log } = this.#options
    const startedMs = nowMs()
    const result = await store.recordOrder(service, { holder, server }, this.#records.get(service)?.revision ?? 0)
    if ('kind' in result) {
      // A lost answer may hide a granted number: it stays unused, and the next one is higher.
      log.warn('order.not-granted', { service, detail: result.detail })
      return null
    }
    this.observe(service, { holder, server, revision: result.revision })
    if (nowMs() - startedMs > FRESH_GRANT_MS) return null
    return result.revision
  }
}
