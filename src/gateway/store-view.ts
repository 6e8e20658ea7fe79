import type { Log } from '../logs/log.js'
import type { BackendServer } from './backend.js'
import type { BackendTable } from './backend-table.js'
import type { Configuration } from './configuration.js'
import type { InstanceStatus, InstanceTable } from './instance-table.js'
import type { OrderTokenIssuer } from './order-token-issuer.js'
import type { PeerSnapshot } from './peer-snapshot.js'
import { describesServer, type StoreChange, StoreChangeKind, type StoreListing } from './platform-store.js'
import { comparePositions, type StorePosition } from './store-position.js'

interface StoreViewOptions {
  /** Id of this instance, under which it sends orders. */
  holder: string
  failureDomain: string
  backends: BackendTable
  instances: InstanceTable
  orderTokenIssuer: OrderTokenIssuer
  /** `from` is 'store' or the IP address of a peer. */
  applyConfiguration: (configuration: Configuration, from: string) => void
  /** Version of the active configuration; -Infinity without one. */
  configurationVersion: () => number
  /** Called with the runner of another instance's new order. */
  onPeerOrder: (server: string) => void
  /** Called with the runner of a listed order record that was not known before. */
  onListedOrder: (server: string) => void
  /** Called when a complete list of the servers has been applied. */
  onListing: () => void
  log: Log
  random: () => number
}

/** The state of the platform's store as this instance knows it, from the store itself or from its peers. */
export class StoreView {
  readonly #options: StoreViewOptions
  #position: StorePosition = { era: 0, revision: 0 }
  /** Newest position of the store whose servers were taken from a peer. */
  #peerPosition: StorePosition = { era: 0, revision: 0 }
  #reachesStore = false
  #hasListing = false

  constructor (options: StoreViewOptions) {
    this.#options = options
  }

  /** Newest position of the store that has been applied. */
  get position (): StorePosition {
    return this.#position
  }

  /** Whether the store can be reached, by this instance or by the peers that it relies on. */
  get reachesStore (): boolean {
    return this.#reachesStore
  }

  /** Whether a complete list of the backend servers has been received, from the store or from a peer. */
  get hasListing (): boolean {
    return this.#hasListing
  }

  applyListing (listing: StoreListing): void {
    const { orderTokenIssuer, backends } = this.#options
    this.#followEra(listing)
    orderTokenIssuer.observeEra(listing.era)
    const listed: BackendServer[] = []
    for (const change of listing.changes) {
      if (change.kind === StoreChangeKind.Backend) listed.push(change.backend)
      else if (change.kind === StoreChangeKind.OrderRecord) this.#applyListedOrder(change, listing.era)
      else this.applyChange(change, listing)
    }
    this.#advancePosition(listing)
    this.#hasListing = true
    if (this.#isSuperseded(listing)) this.#logSuperseded(listing)
    else backends.replaceAll(listed)
    this.#options.onListing()
  }

  /** The order of a listed record may be long past or still be carried out. */
  #applyListedOrder ({ service, record }: Extract<StoreChange, { kind: StoreChangeKind.OrderRecord }>, era: number): void {
    const { orderTokenIssuer, onListedOrder } = this.#options
    if (orderTokenIssuer.observe(service, record, era)) onListedOrder(record.server)
  }

  applyChange (change: StoreChange, position: StorePosition): void {
    if (describesServer(change) && this.#isSuperseded(position)) return this.#logSuperseded(position)
    this.#advancePosition(position)
    const handler = changeHandlers[change.kind] as (options: StoreViewOptions, change: StoreChange, era: number) => void
    handler(this.#options, change, position.era)
  }

  /** Applies changes that a peer has passed on; they continue the position of this instance. */
  applyRelayed (changes: StoreChange[], position: StorePosition): void {
    for (const change of changes) this.applyChange(change, position)
    this.#advancePosition(position)
    this.#peerPosition = position
  }

  /** Applies a snapshot from a peer: its configuration if that is newer, and its backend servers if its position of the store is newer. */
  applySnapshot (from: string, { era = 0, revision, configuration, backends, missing = [], departed = [] }: PeerSnapshot): void {
    if (configuration !== null) this.#options.applyConfiguration(configuration, from)
    const position = { era, revision }
    if (comparePositions(position, this.#position) <= 0) return
    this.#followEra(position)
    this.#advancePosition(position)
    this.#peerPosition = position
    this.#hasListing = true
    this.#options.backends.replaceBySnapshot(backends, missing, departed)
    this.#options.onListing()
    this.#options.log.info('snapshot.taken', { from, era, revision, servers: backends.length, missing: missing.length })
  }

  /** Records whether the store can be reached. */
  recordReachability (reached: boolean): void {
    this.#reachesStore = reached
    this.#options.backends.startReregistrationGrace()
  }

  /**
   * A live peer that has a newer configuration or, while this instance can't reach the store, one that can reach it and has a newer position of the store.
   * It is a random one of those, of the own failure domain if there are any. Undefined if there is none.
   */
  peerWithNewerState (): InstanceStatus | undefined {
    const { instances, configurationVersion, failureDomain, random } = this.#options
    const ownVersion = configurationVersion()
    const newer = instances.live().filter((peer) => peer.configurationVersion > ownVersion ||
      (!this.#reachesStore && peer.reachesStore && comparePositions({ era: peer.storeEra ?? 0, revision: peer.storeRevision }, this.#position) > 0))
    const near = newer.filter((peer) => peer.failureDomain === failureDomain)
    const candidates = near.length > 0 ? near : newer
    return candidates[Math.floor(random() * candidates.length)]
  }

  /** Prepares for the first state of a new era, which is older than the state known so far. */
  #followEra ({ era }: StorePosition): void {
    if (this.#hasListing && era > this.#position.era) this.#options.backends.startEra()
  }

  #advancePosition ({ era, revision }: StorePosition): void {
    if (comparePositions({ era, revision }, this.#position) > 0) this.#position = { era, revision }
  }

  /** Whether a response of the store is older than the servers taken from a peer: a slow response may arrive later. */
  #isSuperseded (position: StorePosition): boolean {
    return comparePositions(position, this.#peerPosition) < 0
  }

  #logSuperseded ({ era, revision }: StorePosition): void {
    const { era: snapshotEra, revision: snapshotRevision } = this.#peerPosition
    this.#options.log.info('store.superseded', { era, revision, snapshotEra, snapshotRevision })
  }
}

type ChangeHandlers = { [K in StoreChangeKind]: (options: StoreViewOptions, change: Extract<StoreChange, { kind: K }>, era: number) => void }

const changeHandlers: ChangeHandlers = {
  [StoreChangeKind.Configuration]: ({ applyConfiguration }, { configuration }) => applyConfiguration(configuration, 'store'),
  [StoreChangeKind.Backend]: ({ backends }, { backend }) => backends.put(backend),
  [StoreChangeKind.BackendRemoved]: ({ backends }, { id }) => backends.remove(id),
  [StoreChangeKind.Instance]: ({ instances }, { ip }) => instances.addAddress(ip),
  // An instance counts as dead only when its heartbeats stop: its entry may be removed while it still serves requests.
  [StoreChangeKind.InstanceRemoved]: () => {},
  [StoreChangeKind.OrderRecord]: ({ orderTokenIssuer, holder, onPeerOrder }, { service, record }, era) => {
    const isNew = orderTokenIssuer.observe(service, record, era)
    if (isNew && record.holder !== holder) onPeerOrder(record.server)
  },
  [StoreChangeKind.Unreadable]: ({ backends, log }, { key, detail, backendId }) => {
    log.warn('store.unreadable', { key, detail })
    // The unreadable value has overwritten the server's entry, so nothing shows whether the server still exists.
    if (backendId !== null) backends.discard(backendId)
  }
}
