import { rendezvous } from '../placement/rendezvous.js'

/** An instance counts as live for this long after it was heard, in milliseconds; four heartbeats at the usual period. */
export const LIVENESS_MS = 2000

/** An instance that does not answer is dead if it was not heard for this long, in milliseconds: more than two heartbeats are missing. */
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
}

interface Peer {
  status: InstanceStatus | null
  heardMs: number
  /** When it was first heard of, by the store, the settings or another instance. */
  namedMs: number
}

interface InstanceTableOptions {
  ip: string
  nowMs: () => number
}

/** The other instances of the system, as far as this one has heard of them. */
export class InstanceTable {
  readonly #options: InstanceTableOptions
  readonly #peers = new Map<string, Peer>()

  constructor (options: InstanceTableOptions) {
    this.#options = options
  }

  /** Learns the address of an instance, which may or may not run. */
  name (ip: string): void {
    if (ip === this.#options.ip) return
    const known = this.#peers.get(ip)
    if (known === undefined) this.#peers.set(ip, { status: null, heardMs: -Infinity, namedMs: this.#options.nowMs() })
    else known.namedMs = this.#options.nowMs()
  }

  heard (status: InstanceStatus): void {
    if (status.ip === this.#options.ip) return
    const nowMs = this.#options.nowMs()
    this.#peers.set(status.ip, { status, heardMs: nowMs, namedMs: nowMs })
  }

  /** Takes an instance that does not answer for dead if its heartbeats are missing too; returns whether it is. */
  suspect (ip: string): boolean {
    const peer = this.#peers.get(ip)
    if (peer === undefined) return true
    if (this.#options.nowMs() - peer.heardMs < SUSPICION_MS) return false
    peer.heardMs = -Infinity
    return true
  }

  /** Addresses that heartbeats go to. */
  named (): string[] {
    const sinceMs = this.#options.nowMs() - FORGET_MS
    for (const [ip, { heardMs, namedMs }] of this.#peers) if (Math.max(heardMs, namedMs) < sinceMs) this.#peers.delete(ip)
    return [...this.#peers.keys()]
  }

  live (): InstanceStatus[] {
    const sinceMs = this.#options.nowMs() - LIVENESS_MS
    const live: InstanceStatus[] = []
    for (const { status, heardMs } of this.#peers.values()) if (status !== null && heardMs >= sinceMs) live.push(status)
    return live
  }

  /** Instances heard or named lately, this one included: an upper bound also for one that is cut off from the others. */
  knownCount (): number {
    return 1 + this.named().length
  }

  /** Instances that take requests, this one included. */
  servingCount (): number {
    return 1 + this.live().filter(({ ready }) => ready).length
  }

  /** The instance that decides on the subject, by this instance's view. */
  keeperOf (subject: string, selfServes: boolean): string {
    const candidates = this.live().filter(({ ready }) => ready).map(({ ip }) => ip)
    if (selfServes || candidates.length === 0) candidates.push(this.#options.ip)
    return rendezvous(subject, candidates) ?? this.#options.ip
  }
}
