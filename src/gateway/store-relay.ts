import { rendezvous } from '../placement/rendezvous.js'
import type { InstanceTable } from './instance-table.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import { type RelayedChange, type StoreChange, StoreChangeKind, type StoreListing } from './platform-store.js'
import { comparePositions, type StorePosition } from './store-position.js'

/** Number of instances of a failure domain that watch the store for the others; two of them may fail at once. */
export const WATCHERS_PER_DOMAIN = 3

/** Time between two announcements of a watching instance, in milliseconds. */
const ANNOUNCEMENT_PERIOD_MS = 500

/** Time without an announcement after which an instance no longer relies on a watching one, in milliseconds; two announcements are then missing. */
const RELIANCE_MS = 1400

/** Time after its own listing for which an instance need not watch the store yet, in milliseconds: the watching instances first have to learn of it. */
const LISTING_TRUST_MS = 1000

/** Time for which the position of an instance may be behind an announced one before it fetches a snapshot, in milliseconds: a datagram with the changes may still arrive. */
const MAX_BEHIND_MS = 200

/** Time for which the choice of the watching instances is kept, in milliseconds. */
const CHOICE_LIFETIME_MS = 500

/** Maximum number of changes in one datagram, so that it fits one packet; for more, the others fetch a snapshot. */
const MAX_RELAYED_CHANGES = 4

type StoreState = Extract<PeerDatagram, { kind: PeerDatagramKind.StoreState }>

/** What a watching instance has announced last. */
interface Announcement {
  receivedMs: number
  reachesStore: boolean
  position: StorePosition
}

interface StoreRelayOptions {
  ip: string
  failureDomain: string
  processorShare: number
  instances: InstanceTable
  /** Whether this instance needs the newest state of the store itself, as the coordinator of a service does. */
  isCoordinator: () => boolean
  /** Newest position of the store that this instance has applied. */
  position: () => StorePosition
  /** Whether this instance reaches the store. */
  reachesStore: () => boolean
  /** Time left in which missing servers may register again, in milliseconds. */
  graceLeftMs: () => number
  /** Applies changes that continue the position of this instance. */
  applyChanges: (changes: StoreChange[], position: StorePosition, graceLeftMs: number) => void
  send: (ips: string[], message: PeerDatagram) => void
  nowMs: () => number
}

/**
 * Lets a few instances of each failure domain watch the store for the others, so that calls to the store grow with the failure domains and not with the instances.
 * The watching instances pass changes on and announce their position twice a second. An instance that hears of none that reaches the store watches it itself.
 */
export class StoreRelay {
  readonly #options: StoreRelayOptions
  readonly #announcements = new Map<string, Announcement>()
  #listedMs = -Infinity
  #announcedMs = -Infinity
  /** Since when the position of this instance is behind an announced one, in milliseconds; null if it is not. */
  #behindSinceMs: number | null = null
  #choice: { watchers: Set<string>, others: string[], chosenMs: number } = { watchers: new Set(), others: [], chosenMs: -Infinity }

  constructor (options: StoreRelayOptions) {
    this.#options = options
  }

  /** Records that this instance has listed the entries of the store. */
  recordListing (): void {
    this.#listedMs = this.#options.nowMs()
  }

  /** Whether this instance has to watch the store itself. */
  needsStore (): boolean {
    const { ip, isCoordinator, nowMs } = this.#options
    if (this.#choose().watchers.has(ip) || isCoordinator()) return true
    if (this.#isCovered()) return false
    return nowMs() - this.#listedMs > LISTING_TRUST_MS
  }

  /** Passes on the changes that a watch call returned, if this instance watches for the others. `fromRevision` is the revision that the call continued. */
  relay (fromRevision: number, { era, revision, changes }: StoreListing): void {
    if (revision <= fromRevision || !this.#watchesForOthers()) return
    const needed = changes.filter(concernsAll)
    const relayed = needed.filter(isRelayable)
    const isComplete = relayed.length === needed.length && relayed.length <= MAX_RELAYED_CHANGES
    this.#announce({ era, revision }, isComplete ? { from: fromRevision, changes: relayed } : { from: null, changes: [] })
  }

  /** Sends the announcement when it is due, and notices when this instance is behind those of others. */
  tick (): void {
    const { nowMs, position } = this.#options
    if (nowMs() - this.#announcedMs >= ANNOUNCEMENT_PERIOD_MS && this.#watchesForOthers()) this.#announce(position(), { from: position().revision, changes: [] })
    if (this.#newerAnnouncer() === undefined) this.#behindSinceMs = null
    else this.#behindSinceMs ??= nowMs()
  }

  /** The instance from which this one should fetch a snapshot, because it has missed changes; undefined if there is none. */
  snapshotSource (): string | undefined {
    if (this.#behindSinceMs === null || this.#options.nowMs() - this.#behindSinceMs < MAX_BEHIND_MS) return undefined
    return this.#newerAnnouncer()
  }

  /** Returns whether the datagram was one of the relay. */
  handleDatagram (from: string, message: PeerDatagram): boolean {
    if (message.kind !== PeerDatagramKind.StoreState) return false
    const { nowMs, applyChanges, position } = this.#options
    const { era, revision, reachesStore, fromRevision, changes, graceLeftMs } = message
    this.#announcements.set(from, { receivedMs: nowMs(), reachesStore, position: { era, revision } })
    const own = position()
    if (fromRevision !== null && era === own.era && fromRevision <= own.revision && own.revision < revision) applyChanges(changes, { era, revision }, graceLeftMs)
    else if (fromRevision === null && comparePositions({ era, revision }, own) > 0) this.#behindSinceMs ??= nowMs() - MAX_BEHIND_MS
    return true
  }

  #announce ({ era, revision }: StorePosition, { from, changes }: { from: number | null, changes: RelayedChange[] }): void {
    const { nowMs, send, reachesStore, graceLeftMs } = this.#options
    this.#announcedMs = nowMs()
    const message: StoreState = { kind: PeerDatagramKind.StoreState, era, revision, reachesStore: reachesStore(), fromRevision: from, changes, graceLeftMs: Math.max(0, graceLeftMs()) }
    send(this.#choose().others, message)
  }

  #watchesForOthers (): boolean {
    const { watchers, others } = this.#choose()
    return others.length >= WATCHERS_PER_DOMAIN && watchers.has(this.#options.ip)
  }

  /** Whether a watching instance that reaches the store has announced itself recently. */
  #isCovered (): boolean {
    const sinceMs = this.#options.nowMs() - RELIANCE_MS
    for (const { receivedMs, reachesStore } of this.#announcements.values()) if (reachesStore && receivedMs >= sinceMs) return true
    return false
  }

  #newerAnnouncer (): string | undefined {
    const { nowMs, position } = this.#options
    const sinceMs = nowMs() - RELIANCE_MS
    for (const [ip, announcement] of this.#announcements) {
      if (announcement.receivedMs < sinceMs) this.#announcements.delete(ip)
      else if (comparePositions(announcement.position, position()) > 0) return ip
    }
    return undefined
  }

  /** The instances of this failure domain that watch the store: those with the largest processor share. All choose the same ones as far as they know the same live instances. */
  #choose (): { watchers: Set<string>, others: string[] } {
    const { ip, failureDomain, processorShare, instances, nowMs } = this.#options
    if (nowMs() - this.#choice.chosenMs < CHOICE_LIFETIME_MS) return this.#choice
    const near = instances.live().filter((status) => status.failureDomain === failureDomain)
    const others = near.map((status) => status.ip)
    const candidates = [{ ip, processorShare }, ...near]
    const watchers = new Set<string>()
    while (watchers.size < Math.min(WATCHERS_PER_DOMAIN, candidates.length)) {
      const left = candidates.filter((candidate) => !watchers.has(candidate.ip))
      const largestShare = Math.max(...left.map((candidate) => candidate.processorShare))
      const chosen = rendezvous(failureDomain, left.filter((candidate) => candidate.processorShare === largestShare).map((candidate) => candidate.ip))
      if (chosen === null) break
      watchers.add(chosen)
    }
    this.#choice = { watchers, others, chosenMs: nowMs() }
    return this.#choice
  }
}

/** Whether instances that do not watch the store need the change: they learn of each other by heartbeats. */
function concernsAll ({ kind }: StoreChange): boolean {
  return kind !== StoreChangeKind.Instance && kind !== StoreChangeKind.InstanceRemoved
}

/** Whether the change fits a datagram: a configuration may be large. */
function isRelayable (change: StoreChange): change is RelayedChange {
  return change.kind === StoreChangeKind.Backend || change.kind === StoreChangeKind.BackendRemoved || change.kind === StoreChangeKind.OrderRecord
}
