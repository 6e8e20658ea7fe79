import type { Log } from '../logs/log.js'
import type { StorePosition } from './store-position.js'
import { isStoreError, type PlatformStore, type StoreChange, StoreChangeKind, type StoreError, StoreErrorKind, type StoreListing } from './platform-store.js'

/** Time that one watch call waits for changes, in milliseconds: a silent connection must be noticed well within the time in which a new configuration must take effect. */
export const WATCH_WAIT_MS = 1500

/** Pause after a watch call that returned changes, in milliseconds: changes in quick succession then need only one call. It is far below the time in which they must take effect. */
const CHANGE_BATCH_MS = 150

/** Longest time without an answer of the store after which the changes made meanwhile are replayed, in milliseconds. After a longer time, the entries are listed instead: a replay transfers every version of the configuration in full and may never complete over a slow link. */
const MAX_REPLAY_MS = 1000

/** Size from which the transfer of a response is logged, in bytes: only a large configuration makes a response that large. */
const LOGGED_TRANSFER_BYTES = 64 * 1024

/** Time between two checks whether the store has to be watched, while it has not, in milliseconds. */
const REST_MS = 100

/** Mean pause after the first failed call, in milliseconds; doubled after each further failure. */
const INITIAL_BACKOFF_MS = 100

/** Longest mean pause after a failed call, in milliseconds. */
const MAX_BACKOFF_MS = 800

interface StoreWatcherOptions {
  store: PlatformStore
  ip: string
  log: Log
  random: () => number
  nowMs: () => number
  /** Called with every complete listing. */
  onListing: (listing: StoreListing) => void
  /** Whether this instance has to watch the store itself; always by default. */
  isNeeded?: () => boolean
  /** Newest era of the store that this instance knows, also from peers; 0 by default. */
  knownEra?: () => number
  /** Called after the changes of a watch call, with the revision that it continued. */
  onBatch?: (fromRevision: number, batch: StoreListing) => void
  /** Called with each change, and with the position of the store that the watch call reached. */
  onChange: (change: StoreChange, position: StorePosition) => void
  /** Called with true when the store becomes reachable, and with false after each call that could not reach it. */
  onReachability: (reached: boolean) => void
}

/** Watches the platform's store: reads one listing, then its changes while that is needed. When the store returns from a copy, its entries are listed again. A store error never removes entries that were read before. */
export class StoreWatcher {
  readonly #options: StoreWatcherOptions
  /** Position of the store that the last listing or watch call reached; era and revision are 0 before the first listing. */
  #position: StorePosition = { era: 0, revision: 0 }
  /** Whether the next call lists the entries instead of watching for changes. */
  #listsNext = true
  /** When the store last answered a call, in milliseconds. */
  #answeredMs = -Infinity
  /** Whether the last call reached the store; null before the first call. */
  #reached: boolean | null = null
  /** Whether the watch has rested since the last call. */
  #rested = false
  #stopped = false
  #backoffMs = INITIAL_BACKOFF_MS
  /** Whether the store has an entry of this instance. */
  #announced = false
  /** Whether a lost entry of this instance is written again. */
  #announces = true

  constructor (options: StoreWatcherOptions) {
    this.#options = options
  }

  get reached (): boolean {
    return this.#reached === true
  }

  /** Lists and watches the store until stop() is called. */
  async run (): Promise<void> {
    while (!this.#stopped) {
      if (this.#mayRest()) {
        await delay(REST_MS)
        continue
      }
      const error = await this.#step()
      if (error === null) this.#handleSuccess()
      else await this.#handleFailure(error)
    }
  }

  /** Goes on watching without writing the entry of this instance again. */
  stopAnnouncing (): void {
    this.#announces = false
  }

  stop (): void {
    this.#stopped = true
  }

  /** Whether no call is needed now. Afterwards the entries are listed, because peers do not pass on all changes. */
  #mayRest (): boolean {
    const { isNeeded = () => true, knownEra = () => 0 } = this.#options
    if (knownEra() > this.#position.era) this.#listsNext = true
    const isAnnounced = this.#announced || !this.#announces
    if (!this.#listsNext && isAnnounced && !isNeeded()) {
      this.#rested = true
      return true
    }
    if (this.#rested) this.#listsNext = true
    this.#rested = false
    return false
  }

  /** Makes one call to the store, or two if the instance has to announce itself: lists the entries, or waits for changes and applies them. Returns the error of a failed call. */
  async #step (): Promise<StoreError | null> {
    const { store } = this.#options
    if (this.#listsNext) {
      const listing = await store.list()
      if (isStoreError(listing)) return listing
      if (listing.era < this.#position.era) return this.#olderEraError(listing)
      this.#listsNext = false
      this.#logEraChange(listing)
      this.#position = { era: listing.era, revision: listing.revision }
      this.#logTransfer('list', listing)
      this.#options.onListing(listing)
      // The entry of this instance outlives a restart. It is not written again, because each write wakes the watches of all other instances.
      this.#announced = listing.changes.some((change) => change.kind === StoreChangeKind.Instance && change.ip === this.#options.ip)
      return null
    }
    if (!this.#announced && this.#announces) {
      await this.#announce()
      if (this.#mayRest()) return null
    }
    const result = await store.watch(this.#position.revision, WATCH_WAIT_MS)
    if (this.#stopped) return null
    if (isStoreError(result)) return result
    if (result.era < this.#position.era) return this.#olderEraError(result)
    if (result.era > this.#position.era) {
      // Its revisions do not continue those of the known era, even if they have grown past them again.
      this.#listsNext = true
      return null
    }
    const fromRevision = this.#position.revision
    this.#position = { era: result.era, revision: result.revision }
    // More than one version means that changes arrive faster than they are transferred: a listing skips the versions in between.
    this.#listsNext = countConfigurations(result) > 1
    this.#logTransfer('watch', result)
    for (const change of result.changes) this.#handleChange(change)
    this.#options.onBatch?.(fromRevision, result)
    if (result.changes.length > 0) await delay(CHANGE_BATCH_MS)
    return null
  }

  /** Writes the entry of this instance. A refused write is repeated after the next watch call, which must not wait for it. */
  async #announce (): Promise<void> {
    const error = await this.#options.store.announce(this.#options.ip)
    this.#announced = error === null
    if (error !== null) this.#options.log.warn('store.not-announced', { ...this.#position, detail: error.detail })
  }

  /** An answer of an older era than a previous one names no era, or a malformed one: eras only rise. */
  #olderEraError ({ era }: StorePosition): StoreError {
    return { kind: StoreErrorKind.Unreachable, detail: `answer of era ${era} after era ${this.#position.era}` }
  }

  #logEraChange ({ era, revision }: StorePosition): void {
    const { era: eraBefore, revision: revisionBefore } = this.#position
    if (era > eraBefore && revisionBefore > 0) this.#options.log.warn('store.era-changed', { era, revision, eraBefore, revisionBefore })
  }

  #logTransfer (call: 'list' | 'watch', listing: StoreListing): void {
    const { revision, transfer } = listing
    if (transfer === undefined || transfer.bytes < LOGGED_TRANSFER_BYTES) return
    this.#options.log.info('store.transfer', { call, revision, configurations: countConfigurations(listing), bytes: transfer.bytes, headMs: Math.round(transfer.headMs), totalMs: Math.round(transfer.totalMs) })
  }

  #handleChange (change: StoreChange): void {
    this.#options.onChange(change, this.#position)
    if (change.kind === StoreChangeKind.InstanceRemoved && change.ip === this.#options.ip) this.#announced = false
  }

  #handleSuccess (): void {
    this.#backoffMs = INITIAL_BACKOFF_MS
    this.#answeredMs = this.#options.nowMs()
    if (this.#reached === true) return
    this.#reached = true
    this.#options.log.info('store.reached', { ...this.#position })
    this.#options.onReachability(true)
  }

  async #handleFailure (error: StoreError): Promise<void> {
    // A listing needs no history, so the error of one is no reason to list again at once.
    if (error.kind === StoreErrorKind.HistoryLost && !this.#listsNext) {
      this.#options.log.info('store.history-lost', { ...this.#position, detail: error.detail })
      this.#listsNext = true
      return
    }
    if (this.#options.nowMs() - this.#answeredMs > MAX_REPLAY_MS || (error.era ?? 0) > this.#position.era) this.#listsNext = true
    if (this.#reached !== false) {
      this.#reached = false
      this.#options.log.warn('store.lost', { ...this.#position, detail: error.detail })
    }
    this.#options.onReachability(false)
    const pauseMs = this.#backoffMs * (0.5 + this.#options.random())
    this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2)
    await delay(pauseMs)
  }
}

function delay (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

function countConfigurations ({ changes }: StoreListing): number {
  return changes.filter(({ kind }) => kind === StoreChangeKind.Configuration).length
}
