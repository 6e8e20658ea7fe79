import type { Log } from '../logs/log.js'
import { RendezvousOrder } from '../placement/rendezvous.js'
import type { Configuration, Organisation } from './configuration.js'
import type { InstanceTable } from './instance-table.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import { type QuotaBounds, toleranceOf, toleranceShare } from './quota-bounds.js'
import { QuotaClient } from './quota-client.js'
import { type OrganisationLimit, QuotaLedger } from './quota-ledger.js'

/** Instances that may decide for an organisation when those before them in the order do not answer. */
const RANKED_INSTANCES = 3

/** Share of the rate that a deputy gives out if all instances ask it. The coordinator may still give out the whole rate to others. */
const DEPUTY_RATE_SHARE = 0.25

/** Share of the rate that a deputy gives out if the coordinator's bucket was full: the organisation then used less than its rate. */
const FULL_DEPUTY_RATE_SHARE = 0.4

/** Time between messages about the fill of buckets, in milliseconds. */
const FILL_PERIOD_MS = 500

/** Time after its last use for which the fill of a bucket is told, in milliseconds; it is full again by then or nearly so. */
const FILL_USE_MS = 5000

/** Number of buckets in one message, so that it fits one packet. */
const BUCKETS_PER_MESSAGE = 12

/** Age from which the fill that a coordinator told is not used, in milliseconds: the time in which its death is noticed, and some more. */
const FILL_LIFETIME_MS = 5000

/** Time for which a coordinator has left all probes of a deputy unanswered when the deputy gives out a part of the rate, in milliseconds: five probes, as some may be lost. */
const UNANSWERED_PROBES_MS = 500

/** Time for which an instance that asked a deputy counts as out of touch with the coordinator, in milliseconds. */
const ASKER_MEMORY_MS = 2000

const MS_PER_SECOND = 1000

interface QuotaSharingOptions {
  ip: string
  nowMs: () => number
  log: Log
  bounds: () => QuotaBounds
  instances: InstanceTable
  /** Whether this instance may coordinate organisations. */
  canCoordinate: () => boolean
  send: (ips: string[], message: PeerDatagram) => void
}

/** Shares the quotas of organisations between all instances: keeps the ledgers of those that this instance coordinates, and asks the coordinators of the others. */
export class QuotaSharing {
  readonly client: QuotaClient
  readonly #options: QuotaSharingOptions
  /** Buckets of the organisations that this instance coordinates. */
  readonly #ledger: QuotaLedger
  /** Buckets for instances that do not reach the coordinator of an organisation. */
  readonly #deputyLedger: QuotaLedger
  /** When each instance last asked this one as a deputy, in milliseconds. */
  readonly #askedMs = new Map<string, number>()
  /** Coordinators for which this instance acts as a deputy: since when probes have been unanswered, in milliseconds. */
  readonly #probedMs = new Map<string, { sinceMs: number, probe: PeerDatagram }>()
  /** What the coordinators of other organisations have told of their buckets. */
  readonly #fills = new Map<string, { fill: number, toldMs: number }>()
  #fillsSentMs = -Infinity
  readonly #coordinators = new Map<string, { ip: string, sinceMs: number }>()
  /** Instances that may coordinate organisations, as of the last tick, and their order for each organisation. */
  #candidates: string[] = []
  #order = new RendezvousOrder([])
  readonly #ranked = new Map<string, string[]>()
  #followedConfiguration: Configuration | null = null
  #rateShare = 1
  #knownCount = 1
  /** When this instance first had a configuration, in milliseconds. */
  #configuredMs: number | null = null

  constructor (options: QuotaSharingOptions) {
    const { ip, nowMs, log, bounds, instances, send } = options
    this.#options = options
    const tolerance = (limit: OrganisationLimit): number => toleranceOf(limit, bounds())
    this.#ledger = new QuotaLedger({
      nowMs,
      bounds,
      capacity: (limit) => capacityOf(limit, bounds()),
      startLevel: () => 0,
      rateShare: () => this.#rateShare,
      grantsOversized: true
    })
    const deputyCapacity = (limit: OrganisationLimit): number => tolerance(limit) * (toleranceShare.deputy + toleranceShare.leftOver)
    this.#deputyLedger = new QuotaLedger({
      nowMs,
      bounds,
      capacity: deputyCapacity,
      startLevel: (limit) => deputyCapacity(limit) - tolerance(limit) * toleranceShare.leftOver * (1 - this.#fillOf(limit.organisation)),
      rateShare: (organisation) => this.#deputyRateShare(organisation),
      grantsOversized: true
    })
    const equalShare = (limit: OrganisationLimit): number => tolerance(limit) * toleranceShare.uncounted / this.#knownCount
    this.client = new QuotaClient({
      ip,
      nowMs,
      log,
      windowS: () => bounds().windowS,
      coordinators: (organisation) => this.#rankedFor(organisation),
      ledgerFor: (from, limit) => this.#ledgerFor(from, limit),
      ownLedger: new QuotaLedger({ nowMs, bounds, capacity: equalShare, startLevel: equalShare, rateShare: () => 1 / this.#knownCount, grantsOversized: false }),
      uncountedUnits: equalShare,
      onSilence: (silent) => instances.markDeadIfSilent(silent),
      onAnswer: (answering) => this.#probedMs.delete(answering),
      send: (to, message) => send([to], message)
    })
  }

  /** Follows the instances that coordinate the organisations, and tells the coordinators of uncounted uses. */
  tick (configuration: Configuration | null): void {
    if (configuration !== null) this.#configuredMs ??= this.#options.nowMs()
    const limited = configuration?.organisations.filter(({ quota }) => quota !== null) ?? []
    if (limited.length === 0 && this.#coordinators.size === 0) return
    const { instances, nowMs } = this.#options
    this.#ledger.refresh()
    this.#deputyLedger.refresh()
    this.#knownCount = instances.knownCount()
    this.#rateShare = rateShareOf(instances.servingCount() / this.#knownCount)
    for (const [ip, askedMs] of this.#askedMs) if (askedMs < nowMs() - ASKER_MEMORY_MS) this.#askedMs.delete(ip)
    this.#sendProbes()
    if (this.#updateCandidates() || configuration !== this.#followedConfiguration) {
      this.#followedConfiguration = configuration
      for (const organisation of limited) this.#followCoordinator(organisation, configuration?.version ?? 0)
      this.#retain(new Set(limited.map(({ name }) => name)))
    }
    this.#sendFills()
    this.client.tellUses()
  }

  /** Handles a message about quotas; returns false for any other message. */
  handleDatagram (from: string, message: PeerDatagram): boolean {
    const handler = handlers[message.kind] as ((sharing: QuotaSharing, from: string, message: PeerDatagram) => void) | undefined
    handler?.(this, from, message)
    return handler !== undefined
  }

  /** Number of organisations whose quotas this instance keeps. */
  get coordinatedCount (): number {
    return [...this.#coordinators.values()].filter(({ ip }) => ip === this.#options.ip).length
  }

  /** What this instance knows of each organisation with a quota, for the state dump. */
  dump (): Array<{ organisation: string, coordinator: string, sinceMs: number, level: number | null }> {
    return [...this.#coordinators].map(([organisation, { ip, sinceMs }]) => ({ organisation, coordinator: ip, sinceMs, level: this.#ledger.level(organisation) }))
  }

  #rankedFor (organisation: string): string[] {
    if (this.#candidates.length === 0) this.#updateCandidates()
    const ranked = this.#ranked.get(organisation) ?? this.#order.first(organisation, RANKED_INSTANCES)
    this.#ranked.set(organisation, ranked)
    return ranked
  }

  /** Returns whether the candidates have changed since the last tick. */
  #updateCandidates (): boolean {
    const candidates = this.#options.instances.coordinatorCandidates(this.#options.canCoordinate())
    if (candidates.join() === this.#candidates.join()) return false
    this.#candidates = candidates
    this.#order = new RendezvousOrder(candidates)
    this.#ranked.clear()
    return true
  }

  #ledgerFor (from: string, limit: OrganisationLimit): QuotaLedger {
    const { ip, nowMs } = this.#options
    const [coordinator = ip] = this.#rankedFor(limit.organisation)
    if (coordinator === ip) return this.#ledger
    this.#askedMs.set(from, nowMs())
    if (!this.#probedMs.has(coordinator)) this.#probedMs.set(coordinator, { sinceMs: nowMs(), probe: { kind: PeerDatagramKind.QuotaRequest, id: '', ...limit, cost: 0, spent: true } })
    return this.#deputyLedger
  }

  /** A deputy gives out none of the rate while it hears from the coordinator itself, only the units with which its bucket starts. */
  #deputyRateShare (organisation: string): number {
    const { nowMs } = this.#options
    const probed = this.#probedMs.get(this.#rankedFor(organisation)[0] ?? '')
    if (probed === undefined || nowMs() - probed.sinceMs < UNANSWERED_PROBES_MS) return 0
    return Math.max(DEPUTY_RATE_SHARE * Math.min(1, this.#askedMs.size / this.#knownCount), FULL_DEPUTY_RATE_SHARE * this.#fillOf(organisation))
  }

  /** Share of the coordinator's bucket that was left when it last told of it; 0 if that is too long ago. */
  #fillOf (organisation: string): number {
    const told = this.#fills.get(organisation)
    return told === undefined || this.#options.nowMs() - told.toldMs > FILL_LIFETIME_MS ? 0 : Math.min(1, told.fill)
  }

  /** Tells the instances that may follow this one as a coordinator how full its buckets are. */
  #sendFills (): void {
    const { ip, nowMs, send } = this.#options
    if (nowMs() - this.#fillsSentMs < FILL_PERIOD_MS) return
    this.#fillsSentMs = nowMs()
    const bucketsByFollower = new Map<string, Array<{ organisation: string, fill: number }>>()
    for (const bucket of this.#ledger.usedBuckets(nowMs() - FILL_USE_MS)) {
      const [coordinator, ...followers] = this.#rankedFor(bucket.organisation)
      if (coordinator !== ip) continue
      for (const follower of followers) bucketsByFollower.set(follower, [...bucketsByFollower.get(follower) ?? [], bucket])
    }
    for (const [follower, buckets] of bucketsByFollower) {
      for (let start = 0; start < buckets.length; start += BUCKETS_PER_MESSAGE) send([follower], { kind: PeerDatagramKind.QuotaFill, buckets: buckets.slice(start, start + BUCKETS_PER_MESSAGE) })
    }
  }

  recordFills (buckets: Array<{ organisation: string, fill: number }>): void {
    for (const { organisation, fill } of buckets) this.#fills.set(organisation, { fill, toldMs: this.#options.nowMs() })
  }

  #sendProbes (): void {
    if (this.#askedMs.size === 0) this.#probedMs.clear()
    for (const [coordinator, { probe }] of this.#probedMs) this.#options.send([coordinator], probe)
  }

  #followCoordinator ({ name, quota }: Organisation, version: number): void {
    const { ip, nowMs, log, instances } = this.#options
    const [coordinator] = this.#rankedFor(name)
    const previous = this.#coordinators.get(name)
    if (coordinator === undefined || quota === null || previous?.ip === coordinator) return
    this.#coordinators.set(name, { ip: coordinator, sinceMs: nowMs() })
    if (coordinator !== ip && previous?.ip !== ip) return
    log.info('quota.coordinator-changed', { organisation: name, coordinates: coordinator === ip, instances: instances.servingCount() })
    if (coordinator !== ip) return this.#ledger.close(name)
    const limit = { organisation: name, perS: quota.perS, burst: quota.burst, version }
    this.#ledger.open(limit, this.#startLevel(limit, previous?.sinceMs))
  }

  /** Units with which the bucket of an organisation starts whose last coordinator has been known since the given time. */
  #startLevel (limit: OrganisationLimit, sinceMs: number | undefined): number {
    const { nowMs, bounds } = this.#options
    const windowStartMs = nowMs() - bounds().windowS * MS_PER_SECOND
    // A second hand-over in the same window starts empty: the window has room for one. An instance that has just started can't know whether there was one.
    if ((sinceMs ?? this.#configuredMs ?? Infinity) > windowStartMs) return 0
    // The organisation or its quota is new in this version of the configuration.
    if (sinceMs === undefined) return capacityOf(limit, bounds())
    return toleranceOf(limit, bounds()) * (toleranceShare.handOver + toleranceShare.leftOver * this.#fillOf(limit.organisation))
  }

  #retain (organisations: Set<string>): void {
    for (const table of [this.#coordinators, this.#fills]) for (const organisation of table.keys()) if (!organisations.has(organisation)) table.delete(organisation)
    for (const table of [this.#ledger, this.#deputyLedger, this.client]) table.retain(organisations)
  }
}

/** Most units that accumulate at the coordinator of an organisation. */
function capacityOf (limit: OrganisationLimit, bounds: QuotaBounds): number {
  return limit.burst + toleranceOf(limit, bounds) * toleranceShare.burst
}

/** Share of the rate that a coordinator gives out which sees a share of the known instances serve: groups that are cut off from each other, and instances that start and each take themselves for the coordinator, never give out more than the rate together. */
function rateShareOf (servingShare: number): number {
  return servingShare > 0.5 ? (1 + servingShare) / 2 : servingShare / 2
}

type Handlers = { [K in PeerDatagramKind]?: (sharing: QuotaSharing, from: string, message: Extract<PeerDatagram, { kind: K }>) => void }

const handlers: Handlers = {
  [PeerDatagramKind.QuotaRequest]: (sharing, from, message) => sharing.client.answer(from, message),
  [PeerDatagramKind.QuotaFill]: (sharing, _from, { buckets }) => sharing.recordFills(buckets),
  [PeerDatagramKind.QuotaAnswer]: (sharing, from, message) => sharing.client.handleAnswer(from, message)
}
