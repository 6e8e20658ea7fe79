import type { Log } from '../logs/log.js'
import { isStoreError, type PlatformStore, type StoreChange, StoreChangeKind, type StoreError, StoreErrorKind, type StoreListing } from './platform-store.js'

/** Longest wait of one watch, in milliseconds: a connection gone silent must be noticed well within the time in which a configuration takes force. */
export const WATCH_WAIT_MS = 1500

/** Pause after a watch that brought changes, in milliseconds, so that changes in quick succession cost one call: far below the time in which they must take effect. */
const GATHER_MS = 150

/** First pause after a failed call, in milliseconds; doubled up to the longest. */
const FIRST_PAUSE_MS = 100
const LONGEST_PAUSE_MS = 800

interface StoreFollowerOptions {
  store: PlatformStore
  ip: string
  log: Log
  random: () => number
  /** Told of every entry of a complete listing. */
  onListing: (listing: StoreListing) => void
  onChange: (change: StoreChange, revision: number) => void
  /** Told when the store is lost and when it is back. */
  onContact: (reached: boolean) => void
}

/** Follows the platform's store: one listing, then its changes; a fault never empties what is known. */
export class StoreWatcher {
  readonly #options: StoreFollowerOptions
  #revision: number | null = null
  #reached: boolean | null = null
  #stopped = false
  #pauseMs = FIRST_PAUSE_MS
  #announced = false

  constructor (options: StoreFollowerOptions) {
    this.#options = options
  }

  get revision (): number {
    return this.#revision ?? 0
  }

  get reached (): boolean {
    return this.#reached === true
  }

  /** Runs until stopped. */
  async run (): Promise<void> {
    while (!this.#stopped) {
      const fault = await this.#step()
      if (fault === null) this.#succeeded()
      else await this.#failed(fault)
    }
  }

  stop (): void {
    this.#stopped = true
  }

  async #step (): Promise<StoreError | null> {
    const { store } = this.#options
    if (this.#revision === null) {
      const listing = await store.list()
      if (isStoreError(listing)) return listing
      this.#revision = listing.revision
      this.#options.onListing(listing)
      // The entry stays over a restart: each write would wake the watch of every other instance.
      this.#announced = listing.changes.some((change) => change.kind === StoreChangeKind.Instance && change.ip === this.#options.ip)
      return null
    }
    if (!this.#announced) {
      const fault = await store.announce(this.#options.ip)
      if (fault !== null) return fault
      this.#announced = true
    }
    const changes = await store.watch(this.#revision, WATCH_WAIT_MS)
    if (this.#stopped) return null
    if (isStoreError(changes)) return changes
    this.#revision = changes.revision
    for (const change of changes.changes) this.#take(change, changes.revision)
    if (changes.changes.length > 0) await new Promise((resolve) => setTimeout(resolve, GATHER_MS))
    return null
  }

  #take (change: StoreChange, revision: number): void {
    this.#options.onChange(change, revision)
    if (change.kind === StoreChangeKind.InstanceRemoved && change.ip === this.#options.ip && !this.#stopped) {
      this.#announced = false
    }
  }

  #succeeded (): void {
    this.#pauseMs = FIRST_PAUSE_MS
    if (this.#reached === true) return
    this.#reached = true
    this.#options.log.info('store.reached', { revision: this.revision })
    this.#options.onContact(true)
  }

  async #failed (fault: StoreError): Promise<void> {
    if (fault.kind === StoreErrorKind.HistoryLost) {
      this.#options.log.info('store.history-lost', { revision: this.revision, detail: fault.detail })
      this.#revision = null
      return
    }
    if (this.#reached !== false) {
      this.#reached = false
      this.#options.log.warn('store.lost', { revision: this.revision, detail: fault.detail })
    }
    this.#options.onContact(false)
    const pauseMs = this.#pauseMs * (0.5 + this.#options.random())
    this.#pauseMs = Math.min(LONGEST_PAUSE_MS, this.#pauseMs * 2)
    await new Promise((resolve) => setTimeout(resolve, pauseMs))
  }
}
