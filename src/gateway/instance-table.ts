import { rendezvous } from '../placement/rendezvous.js'
import type { LivenessEntry } from './liveness-digest.js'

/** Time between heartbeats, in milliseconds: a quarter of the time after which a silent instance counts as dead in a small fleet. */
export const HEARTBEAT_MS = 500

/** Number of peers up to which every instance sends its heartbeats to all others. In larger fleets, heartbeats also carry liveness entries of other instances. */
export const HEARTBEAT_FANOUT = 10

/** Minimum number of live instances that a heartbeat is sent to in a larger fleet. */
const MIN_TARGETS = 7

/** Minimum number of these in the own failure domain, if it has that many. */
const MIN_NEAR_TARGETS = 5

/** Minimum number of these in other failure domains; few, because traffic between failure domains is dear. */
const MIN_FAR_TARGETS = 2

/** Liveness entries in one heartbeat, of six bytes each, so that it fits one packet. */
const MAX_LIVENESS_ENTRIES = 180

/** Heartbeat periods until a liveness entry passed on between instances has reached all of them: it reaches a hundred instances within two, and one heartbeat may be lost. */
const PROPAGATION_HEARTBEATS = 3

/** Time after its start for which an instance introduces itself to all instances that it has not heard of, in milliseconds: its full status is only in its own heartbeats, not in liveness entries. */
const INTRODUCTION_MS = 5000

/** Minimum number of addresses without a live instance to which each heartbeat is also sent in a large fleet: an instance at such an address may be new or have returned. */
const MIN_SILENT_TARGETS = 2

/** Time for which an instance counts as live after it was last known to run, in milliseconds; four heartbeats. */
export const LIVENESS_MS = 2000

/** Time without a heartbeat after which an instance that does not answer placement requests counts as dead, in milliseconds; more than two heartbeats are then missing. */
export const UNRESPONSIVE_LIVENESS_MS = 1100

/** Processor share of the smallest instances that share the coordination of many subjects, relative to the largest one; smaller ones answer late under load. */
const MIN_CANDIDATE_SHARE = 0.5

/** Time without a heartbeat, liveness entry or mention of its address after which an instance is evicted, in milliseconds. */
const EVICTION_MS = 30000

/** The status that an instance sends about itself in each heartbeat. */
export interface InstanceStatus {
  ip: string
  failureDomain: string
  /** Address that callers connect to. */
  callers: string
  /** Whether it accepts requests. */
  ready: boolean
  configurationVersion: number
  /** Era and revision of the newest position of the store that it has applied; instances of older versions send no era. */
  storeEra?: number | undefined
  storeRevision: number
  /** Whether it can reach the store at present. */
  reachesStore: boolean
  /** Processor time that it may use, in cores of the usual speed. */
  processorShare: number
}

interface Peer {
  /** The status in its newest heartbeat, with `ready` updated by newer liveness entries; null before its first heartbeat. */
  status: InstanceStatus | null
  /** When it was last known to run, in milliseconds; -Infinity if it never was or counts as dead. */
  lastAliveMs: number
  /** When its address was last seen in the store, the settings, a heartbeat or a liveness entry, in milliseconds. */
  addressSeenMs: number
}

interface InstanceTableOptions {
  ip: string
  failureDomain?: string
  nowMs: () => number
  /** Processor time that this instance may use, in cores of the usual speed; only the instances with the largest share become coordinators. */
  processorShare?: number
  random?: () => number
}

/** The other instances that this one has received heartbeats or addresses of. */
export class InstanceTable {
  readonly #options: Required<InstanceTableOptions>
  readonly #peers = new Map<string, Peer>()
  readonly #startedMs: number

  constructor (options: InstanceTableOptions) {
    this.#options = { failureDomain: '', processorShare: 1, random: Math.random, ...options }
    this.#startedMs = options.nowMs()
  }

  /** Adds the address of an instance that may or may not run. */
  addAddress (ip: string): void {
    if (ip === this.#options.ip) return
    const peer = this.#peers.get(ip)
    if (peer === undefined) this.#peers.set(ip, { status: null, lastAliveMs: -Infinity, addressSeenMs: this.#options.nowMs() })
    else peer.addressSeenMs = this.#options.nowMs()
  }

  /** Records the status that an instance sent about itself; returns whether it was not live before. */
  recordHeartbeat (status: InstanceStatus): boolean {
    if (status.ip === this.#options.ip) return false
    const nowMs = this.#options.nowMs()
    const previous = this.#peers.get(status.ip)
    this.#peers.set(status.ip, { status, lastAliveMs: nowMs, addressSeenMs: nowMs })
    return previous === undefined || previous.status === null || nowMs - previous.lastAliveMs > this.#livenessMs()
  }

  /** Merges a liveness entry that another instance passed on. Without a status of the instance, only its address is used. */
  mergeLiveness ({ ip, ageMs, ready }: LivenessEntry): void {
    const peer = this.#peers.get(ip)
    if (peer === undefined) return this.addAddress(ip)
    const aliveMs = this.#options.nowMs() - ageMs
    if (peer.status === null || aliveMs <= peer.lastAliveMs) return
    peer.status.ready = ready
    peer.lastAliveMs = aliveMs
    peer.addressSeenMs = Math.max(peer.addressSeenMs, aliveMs)
  }

  /** Marks an instance that does not answer as dead if its heartbeats are missing too; returns whether it is dead. An unknown instance counts as dead. */
  markDeadIfSilent (ip: string): boolean {
    const peer = this.#peers.get(ip)
    if (peer === undefined) return true
    if (this.#options.nowMs() - peer.lastAliveMs < UNRESPONSIVE_LIVENESS_MS + this.propagationMs()) return false
    peer.lastAliveMs = -Infinity
    return true
  }

  /** Addresses of all instances that may run; evicts those neither live nor mentioned for EVICTION_MS. */
  knownAddresses (): string[] {
    const sinceMs = this.#options.nowMs() - EVICTION_MS
    for (const [ip, { lastAliveMs, addressSeenMs }] of this.#peers) if (Math.max(lastAliveMs, addressSeenMs) < sinceMs) this.#peers.delete(ip)
    return [...this.#peers.keys()]
  }

  /** Addresses that the next heartbeat is sent to, with liveness entries. In a large fleet their number grows with the square root of the failure domain. */
  heartbeatTargets (): string[] {
    const addresses = this.knownAddresses()
    if (addresses.length <= HEARTBEAT_FANOUT) return addresses
    const live = this.live()
    const near = live.filter(({ failureDomain }) => failureDomain === this.#options.failureDomain).map(({ ip }) => ip)
    const far = live.filter(({ failureDomain }) => failureDomain !== this.#options.failureDomain).map(({ ip }) => ip)
    const nearTargets = this.#sample(near, Math.max(MIN_NEAR_TARGETS, Math.ceil(Math.sqrt(near.length))))
    const farTargets = this.#sample(far, Math.max(MIN_FAR_TARGETS, MIN_TARGETS - nearTargets.length))
    const isLive = new Set(live.map(({ ip }) => ip))
    const silent = addresses.filter((ip) => !isLive.has(ip))
    return [...nearTargets, ...farTargets, ...this.#sample(silent, Math.max(MIN_SILENT_TARGETS, MIN_TARGETS - live.length))]
  }

  /** Addresses to which a starting instance of a large fleet sends its status besides: those that it has not heard of. Each answers with its own status. */
  introductionTargets (): string[] {
    if (this.#peers.size <= HEARTBEAT_FANOUT || this.#options.nowMs() - this.#startedMs >= INTRODUCTION_MS) return []
    return this.knownAddresses().filter((ip) => this.#peers.get(ip)?.status === null)
  }

  /** Liveness entries of recently live instances for the next heartbeat; empty in a fleet where all send heartbeats to each other. */
  livenessEntries (): LivenessEntry[] {
    if (this.#peers.size <= HEARTBEAT_FANOUT) return []
    const nowMs = this.#options.nowMs()
    const entries: LivenessEntry[] = []
    for (const [ip, { status, lastAliveMs }] of this.#peers) {
      if (status !== null && nowMs - lastAliveMs < LIVENESS_MS) entries.push({ ip, ageMs: nowMs - lastAliveMs, ready: status.ready })
    }
    return this.#sample(entries, MAX_LIVENESS_ENTRIES)
  }

  /** Time until the liveness entry of a heartbeat has reached all instances, in milliseconds; 0 in a fleet where all send heartbeats to each other. */
  propagationMs (): number {
    return this.#peers.size <= HEARTBEAT_FANOUT ? 0 : HEARTBEAT_MS * PROPAGATION_HEARTBEATS
  }

  #livenessMs (): number {
    return LIVENESS_MS + this.propagationMs()
  }

  /** Statuses of the other live instances. */
  live (): InstanceStatus[] {
    const sinceMs = this.#options.nowMs() - this.#livenessMs()
    const live: InstanceStatus[] = []
    for (const { status, lastAliveMs } of this.#peers.values()) if (status !== null && lastAliveMs >= sinceMs) live.push(status)
    return live
  }

  /** Number of instances known to run or mentioned recently, including this one: an upper bound of the live ones, even when this instance is cut off from the others. */
  knownCount (): number {
    return 1 + this.knownAddresses().length
  }

  /** Number of instances that accept requests, including this one. */
  servingCount (): number {
    return 1 + this.live().filter(({ ready }) => ready).length
  }

  /** Address of the service's coordinator by this instance's view: one of the ready instances with the largest processor share. `canCoordinate` states whether this instance is a candidate; it is the coordinator anyway if there is no other. */
  coordinatorOf (service: string, canCoordinate: boolean): string {
    const { ip: self, processorShare } = this.#options
    const candidates = this.live().filter(({ ready }) => ready).map(({ ip, processorShare: share }) => ({ ip, share }))
    if (canCoordinate || candidates.length === 0) candidates.push({ ip: self, share: processorShare })
    const largestShare = Math.max(...candidates.map(({ share }) => share))
    return rendezvous(service, candidates.filter(({ share }) => share === largestShare).map(({ ip }) => ip)) ?? self
  }

  /** Addresses of the instances that may share the coordination of many subjects, sorted: ready ones with at least half of the largest processor share. While most instances start, the others may too, so that each does not take itself for the only one. `canCoordinate` as in `coordinatorOf`. */
  coordinatorCandidates (canCoordinate: boolean): string[] {
    const { ip: self, processorShare } = this.#options
    const live = this.live()
    const ready = live.filter((instance) => instance.ready)
    const mostStart = 2 * ready.length < live.length
    const candidates = (mostStart ? live : ready).map(({ ip, processorShare: share }) => ({ ip, share }))
    if (canCoordinate || mostStart || candidates.length === 0) candidates.push({ ip: self, share: processorShare })
    const smallestShare = MIN_CANDIDATE_SHARE * Math.max(...candidates.map(({ share }) => share))
    return candidates.filter(({ share }) => share >= smallestShare).map(({ ip }) => ip).sort()
  }

  /** A random sample of the items, by a partial shuffle in place. */
  #sample<T> (items: T[], count: number): T[] {
    for (let index = 0; index < Math.min(count, items.length); index += 1) {
      const swapIndex = index + Math.floor(this.#options.random() * (items.length - index))
      const item = items[index] as T
      items[index] = items[swapIndex] as T
      items[swapIndex] = item
    }
    return items.slice(0, count)
  }
}
