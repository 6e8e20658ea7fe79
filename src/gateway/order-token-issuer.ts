import type { Log } from '../logs/log.js'
import type { PlatformStore } from './platform-store.js'
import type { StorePosition } from './store-position.js'

/** Factor of the era in a token, above the revisions of an era: tokens must rise although revisions go back. */
const ERA_TOKENS = 2 ** 36

/** Time beyond `turnMs` for which the record of another holder is not replaced, in milliseconds. */
const TAKEOVER_MARGIN_MS = 1500

/** Longest time from the start of a token's acquisition to its use, in milliseconds of the monotonic clock; an instance that was delayed longer sends no order with it. */
const MAX_TOKEN_AGE_MS = 500

/** Record in the store of the last order for a service's runners. */
export interface OrderRecord {
  /** The instance that acquired the fencing token. */
  holder: string
  /** The runner that the order is for. */
  server: string
  /** Store revision of the record, from which the order's fencing token follows. */
  revision: number
}

interface OrderTokenIssuerOptions {
  store: PlatformStore
  /** Id of this instance. */
  holder: string
  /** Time after a holder's record, or after the start of an era, within which no other instance may become the holder, in milliseconds. */
  turnMs: () => number
  log: Log
  nowMs: () => number
}

/**
 * Issues a fencing token for each order. A token is made of the era and the revision of a conditional write to the service's record in the store,
 * so tokens grow with every order, whichever instance sends it. When the store returns from a copy, it may have lost records of recent orders,
 * so no instance sends an order until the turn of each possible holder has passed.
 */
export class OrderTokenIssuer {
  readonly #options: OrderTokenIssuerOptions
  /** Records of the present era. */
  readonly #records = new Map<string, OrderRecord & { seenMs: number }>()
  /** Era of the newest listing or record; null before the first. */
  #era: number | null = null
  #eraSeenMs = -Infinity

  constructor (options: OrderTokenIssuerOptions) {
    this.#options = options
  }

  /** Forgets the records of older eras; returns whether the era is new. Call it with the era of every listing before the records in it are observed. */
  observeEra (era: number): boolean {
    if (this.#era !== null && era <= this.#era) return false
    this.#era = era
    this.#eraSeenMs = this.#options.nowMs()
    this.#records.clear()
    return true
  }

  /** Stores an order record read from or written to the store in an era, unless it is older than the stored one or the same; returns whether it was stored. */
  observe (service: string, record: OrderRecord, era: number): boolean {
    this.observeEra(era)
    if (this.#era !== era) return false
    const latest = this.#records.get(service)
    if (latest !== undefined && latest.revision >= record.revision) return false
    this.#records.set(service, { ...record, seenMs: this.#options.nowMs() })
    return true
  }

  /** Whether this instance may acquire a token: false while the last record is another instance's and too recent, or may have been lost with the last era. */
  mayAcquire (service: string): boolean {
    if (this.#era === null || this.#options.nowMs() - this.#eraSeenMs <= this.#options.turnMs() + TAKEOVER_MARGIN_MS) return false
    const latest = this.#records.get(service)
    if (latest === undefined || latest.holder === this.#options.holder) return true
    return this.#options.nowMs() - latest.seenMs > this.#options.turnMs() + TAKEOVER_MARGIN_MS
  }

  /** Acquires the token for one order, which must be sent at once; null if this instance may not send one, the write failed, or it took too long. */
  async acquire (service: string, server: string): Promise<number | null> {
    if (!this.mayAcquire(service)) return null
    const { store, holder, nowMs, log } = this.#options
    const startedMs = nowMs()
    const era = this.#era
    const result = await store.recordOrder(service, { holder, server }, this.#records.get(service)?.revision ?? 0)
    if ('kind' in result) {
      // The write may have succeeded although its answer was lost; that token stays unused and the next one is higher.
      log.warn('order.not-granted', { service, detail: result.detail })
      return null
    }
    this.observe(service, { holder, server, revision: result.revision }, result.era)
    const token = tokenOf(result)
    if (result.era !== era || !Number.isSafeInteger(token)) {
      log.warn('order.not-granted', { service, detail: `granted at era ${result.era}, revision ${result.revision}; the known era is ${era}` })
      return null
    }
    if (nowMs() - startedMs > MAX_TOKEN_AGE_MS) return null
    return token
  }
}

function tokenOf ({ era, revision }: StorePosition): number {
  return era * ERA_TOKENS + revision
}
