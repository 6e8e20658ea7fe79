import { rendezvous } from '../placement/rendezvous.js'
import type { LivenessEntry } from './liveness-digest.js'

/** Time between heartbeats, in milliseconds: a quarter of the time after which an instance counts as dead in a small fleet. */
export const HEARTBEAT_MS = 500

/** Least number of instances that one heartbeat goes to; in fleets of up to one more, all hear each other directly. Larger fleets pass on what they heard, so that the messages of one instance grow with the square root of the fleet only. */
export const HEARTBEAT_FANOUT = 10

/** Sightings of others passed on in each heartbeat, six bytes each, so that it fits one packet. */
const MAX_SIGHTINGS = 180

/** Heartbeats until a sighting has reached all instances by way of others: two reach a hundred, and one may be lost. */
const SPREAD_HEARTBEATS = 3

/** Heartbeats of a new instance go to all others for this long, in milliseconds, so that they know more of it than sightings say. */
const INTRODUCTION_MS = 2000

/** Silent addresses that each heartbeat of a large fleet also tries: they may be new or back. */
const SILENT_TARGETS = 2

/** An instance counts as live for this long after its newest status, in milliseconds; four heartbeats. */
export const LIVENESS_MS = 2000

/** An instance that does not answer is dead if nothing was heard of it for this long, in milliseconds: more than two heartbeats are missing. */
export const SUSPICION_MS = 1100

/** An instance that left no sign for this long is forgotten, in milliseconds. */
const FORGET_MS = 30000

/** What an instance says of itself in each heartbeat. */
export interface InstanceStatus {
  ip: string
  failureDomain: string
  /** Address for callers. */
  callers: string
  /** Takes requests. */
  ready: boolean
  configurationVersion: number
  /** Revision of the store that its view stands for. */
  storeRevision: number
  /** Whether it reaches the store now. */
  reachesStore: boolean
  /** Processor that it may use, in usual cores. */
  processorShare: number
}

interface Peer {
  status: InstanceStatus | null
  /** When it said what its status shows. */
  heardMs: number
  /** When it was first heard of, by the store, the settings or another instance. */
  namedMs: number
}

interface InstanceTableOptions {
  ip: string
  nowMs: () => number
  /** Decides among instances with more processor than others, which one keeps a service. */
  processorShare?: number
  random?: () => number
}

/** The other instances of the system, as far as this one has heard of them. */
export class InstanceTable {
  readonly #options: Required<InstanceTableOptions>
  readonly #peers = new Map<string, Peer>()
  readonly #startedMs: number

  constructor (options: InstanceTableOptions) {
    this.#options = { processorShare: 1, random: Math.random, ...options }
    this.#startedMs = options.nowMs()
  }

  /** Learns the address of an instance, which may or may not run. */
  addAddress (ip: string): void {
    if (ip === this.#options.ip) return
    const known = this.#peers.get(ip)
    if (known === undefined) this.#peers.set(ip, { status: null, heardMs: -Infinity, namedMs: this.#options.nowMs() })
    else known.namedMs = this.#options.nowMs()
  }

  /** Takes what an instance says of itself; returns whether it was unknown or silent until now. */
  recordHeartbeat (status: InstanceStatus): boolean {
    if (status.ip === this.#options.ip) return false
    const nowMs = this.#options.nowMs()
    const known = this.#peers.get(status.ip)
    this.#peers.set(status.ip, { status, heardMs: nowMs, namedMs: nowMs })
    return known === undefined || known.status === null || nowMs - known.heardMs > this.#livenessMs()
  }

  /** Takes what another instance says of when an instance was last known to run. */
  mergeLiveness ({ ip, ageMs, ready }: LivenessEntry): void {
    const known = this.#peers.get(ip)
    if (known === undefined) return this.addAddress(ip)
    const heardMs = this.#options.nowMs() - ageMs
    if (known.status === null || heardMs <= known.heardMs) return
    known.status.ready = ready
    known.heardMs = heardMs
    known.namedMs = Math.max(known.namedMs, heardMs)
  }

  /** Takes an instance that does not answer for dead if its heartbeats are missing too; returns whether it is. */
  suspect (ip: string): boolean {
    const peer = this.#peers.get(ip)
    if (peer === undefined) return true
    if (this.#options.nowMs() - peer.heardMs < SUSPICION_MS + this.propagationMs()) return false
    peer.heardMs = -Infinity
    return true
  }

  /** Addresses of all instances that may run. */
  knownAddresses (): string[] {
    const sinceMs = this.#options.nowMs() - FORGET_MS
    for (const [ip, { heardMs, namedMs }] of this.#peers) if (Math.max(heardMs, namedMs) < sinceMs) this.#peers.delete(ip)
    return [...this.#peers.keys()]
  }

  /** Addresses that the next heartbeat goes to. */
  heartbeatTargets (): string[] {
    const named = this.knownAddresses()
    const fanout = this.#fanout()
    const introducing = this.#options.nowMs() - this.#startedMs < INTRODUCTION_MS
    if (named.length <= fanout || introducing) return named
    const live = new Set(this.live().map(({ ip }) => ip))
    const silent = named.filter((ip) => !live.has(ip))
    return [...this.#sample([...live], fanout), ...this.#sample(silent, Math.max(SILENT_TARGETS, fanout - live.size))]
  }

  /** Who was known to run lately, to pass on with the next heartbeat; empty in a fleet where all hear each other. */
  livenessEntries (): LivenessEntry[] {
    if (this.#peers.size <= HEARTBEAT_FANOUT) return []
    const nowMs = this.#options.nowMs()
    const sightings: LivenessEntry[] = []
    for (const [ip, { status, heardMs }] of this.#peers) {
      if (status !== null && nowMs - heardMs < LIVENESS_MS) sightings.push({ ip, ageMs: nowMs - heardMs, ready: status.ready })
    }
    return this.#sample(sightings, MAX_SIGHTINGS)
  }

  /** Time in which a heartbeat reaches all instances by way of others, in milliseconds; none while all hear each other. */
  propagationMs (): number {
    return this.#peers.size <= HEARTBEAT_FANOUT ? 0 : HEARTBEAT_MS * SPREAD_HEARTBEATS
  }

  #livenessMs (): number {
    return LIVENESS_MS + this.propagationMs()
  }

  #fanout (): number {
    return Math.max(HEARTBEAT_FANOUT, Math.ceil(Math.sqrt(this.#peers.size)))
  }

  live (): InstanceStatus[] {
    const sinceMs = this.#options.nowMs() - this.#livenessMs()
    const live: InstanceStatus[] = []
    for (const { status, heardMs } of this.#peers.values()) if (status !== null && heardMs >= sinceMs) live.push(status)
    return live
  }

  /** Instances heard or named lately, this one included: an upper bound also for one that is cut off from the others. */
  knownCount (): number {
    return 1 + this.knownAddresses().length
  }

  /** Instances that take requests, this one included. */
  servingCount (): number {
    return 1 + this.live().filter(({ ready }) => ready).length
  }

  /** The instance that decides on the subject, by this instance's view: one of those with the most processor. */
  coordinatorOf (subject: string, selfServes: boolean): string {
    const { ip: self, processorShare } = this.#options
    const candidates = this.live().filter(({ ready }) => ready).map(({ ip, processorShare: share }) => ({ ip, share }))
    if (selfServes || candidates.length === 0) candidates.push({ ip: self, share: processorShare })
    const most = Math.max(...candidates.map(({ share }) => share))
    return rendezvous(subject, candidates.filter(({ share }) => share === most).map(({ ip }) => ip)) ?? self
  }

  #sample<T> (items: T[], count: number): T[] {
    for (let at = 0; at < Math.min(count, items.length); at += 1) {
      const other = at + Math.floor(this.#options.random() * (items.length - at))
      const item = items[at] as T
      items[at] = items[other] as T
      items[other] = item
    }
    return items.slice(0, count)
  }
}
