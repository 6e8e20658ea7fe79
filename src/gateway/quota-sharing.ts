import type { Log } from '../logs/log.js'
import { RendezvousOrder } from '../placement/rendezvous.js'
import type { Configuration, Organisation } from './configuration.js'
import type { InstanceTable } from './instance-table.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import { LEFT_OVER_SHARE, type QuotaBounds, toleranceOf, toleranceShare, windowUnits } from './quota-bounds.js'
import { QuotaClient } from './quota-client.js'
import { type Ledger, type OrganisationLimit, QuotaLedger } from './quota-ledger.js'
import { type UseReport, WindowLedger } from './window-ledger.js'

/** Instances that may decide for an organisation when those before them in the order do not answer. */
const RANKED_INSTANCES = 3

/** Share of the rate that a deputy gives out if all instances ask it. The coordinator may still give out the whole rate to others. */
const DEPUTY_RATE_SHARE = 0.2

/** Share of the rate that a deputy gives out if no units had been used at the coordinator: the organisation then used less than its rate. */
const FULL_DEPUTY_RATE_SHARE = 0.5

/** Time between two ticks from which this process counts as having been paused, in milliseconds: other instances notice such a pause. */
const MAX_TICK_GAP_MS = 1000

/** Time between messages about the use of organisations, in milliseconds. */
const REPORT_PERIOD_MS = 500

/** Time after its last request for which the use of an organisation is told, in milliseconds. */
const REPORTED_USE_MS = 8000

/** Number of organisations in one message, so that it fits one packet. */
const REPORTS_PER_MESSAGE = 12

/** Age from which what a coordinator told is not used, in milliseconds: the time in which its death is noticed, and some more. */
const REPORT_LIFETIME_MS = 5000

/** Time for which a coordinator has left all probes of a deputy unanswered when the deputy gives out a part of the rate, in milliseconds: five probes, as some may be lost. */
const UNANSWERED_PROBES_MS = 500

/** Time for which an instance that asked a deputy counts as out of touch with the coordinator, in milliseconds. */
const ASKER_MEMORY_MS = 2000

const MS_PER_SECOND = 1000

interface QuotaSharingOptions {
  ip: string
  nowMs: () => number
  log: Log
  bounds: QuotaBounds
  instances: InstanceTable
  /** Whether this instance may coordinate organisations. */
  canCoordinate: () => boolean
  send: (ips: string[], message: PeerDatagram) => void
}

/** Shares the quotas of organisations between all instances: keeps the ledgers of those that this instance coordinates, and asks the coordinators of the others. */
export class QuotaSharing {
  readonly client: QuotaClient
  readonly #options: QuotaSharingOptions
  /** Use of the organisations that this instance coordinates. */
  readonly #ledger: WindowLedger
  /** Buckets for instances that do not reach the coordinator of an organisation. */
  readonly #deputyLedger: QuotaLedger
  /** Buckets for this instance's own requests when no other one answers. */
  readonly #ownLedger: QuotaLedger
  /** When each instance last asked this one as a deputy, in milliseconds. */
  readonly #askedMs = new Map<string, number>()
  /** Coordinators for which this instance acts as a deputy: since when probes have been unanswered, in milliseconds. */
  readonly #probedMs = new Map<string, { sinceMs: number, probe: PeerDatagram }>()
  /** What coordinators have told of the use of their organisations. */
  readonly #reports = new Map<string, { report: UseReport, toldMs: number }>()
  #reportsSentMs = -Infinity
  readonly #coordinators = new Map<string, { ip: string, sinceMs: number }>()
  /** When this instance last began to keep a quota with units left, in milliseconds. */
  readonly #openedMs = new Map<string, number>()
  /** Instances that may coordinate organisations, as of the last tick, and their order for each organisation. */
  #candidates: string[] = []
  #order = new RendezvousOrder([])
  readonly #ranked = new Map<string, string[]>()
  #followedConfiguration: Configuration | null = null
  #rateShare = 1
  #tickedMs = Infinity
  #knownCount = 1
  readonly #startedMs: number

  constructor (options: QuotaSharingOptions) {
    const { ip, nowMs, log, bounds, instances, send } = options
    this.#options = options
    this.#startedMs = nowMs()
    const tolerance = (limit: OrganisationLimit): number => toleranceOf(limit, bounds)
    this.#ledger = new WindowLedger({ nowMs, bounds, share: () => this.#rateShare })
    this.#deputyLedger = new QuotaLedger({
      nowMs,
      bounds,
      capacity: (limit) => tolerance(limit) * toleranceShare.deputy + windowUnits(limit, bounds) * LEFT_OVER_SHARE,
      startLevel: (limit) => tolerance(limit) * toleranceShare.deputy + this.#leftOver(limit),
      rateShare: (organisation) => this.#deputyRateShare(organisation),
      grantsOversized: true
    })
    const equalShare = (limit: OrganisationLimit): number => tolerance(limit) * toleranceShare.uncounted / this.#knownCount
    this.#ownLedger = new QuotaLedger({ nowMs, bounds, capacity: equalShare, startLevel: equalShare, rateShare: () => 1 / this.#knownCount, grantsOversized: false })
    this.client = new QuotaClient({
      ip,
      nowMs,
      log,
      windowS: bounds.windowS,
      coordinators: (organisation) => this.#rankedFor(organisation),
      ledgerFor: (from, limit) => this.#ledgerFor(from, limit),
      ownLedger: this.#ownLedger,
      uncountedUnits: equalShare,
      onSilence: (silent) => instances.markDeadIfSilent(silent),
      onAnswer: (answering) => this.#probedMs.delete(answering),
      send: (to, message) => send([to], message)
    })
  }

  /** Follows the instances that coordinate the organisations, and tells the coordinators of uncounted uses. */
  tick (configuration: Configuration | null): void {
    const limited = configuration?.organisations.filter(({ quota }) => quota !== null) ?? []
    if (limited.length === 0 && this.#coordinators.size === 0) return
    const { instances, nowMs } = this.#options
    this.#ledger.refresh()
    // Others may have taken over while this process was paused.
    if (nowMs() - this.#tickedMs > MAX_TICK_GAP_MS) this.#ledger.drain()
    this.#tickedMs = nowMs()
    this.#deputyLedger.refresh()
    for (const ledger of [this.#deputyLedger, this.#ownLedger]) ledger.forgetUnused()
    this.#knownCount = instances.knownCount()
    const rateShare = rateShareOf((1 + instances.live().length) / this.#knownCount)
    this.#ledger.rescale(rateShare / this.#rateShare)
    this.#rateShare = rateShare
    for (const [ip, askedMs] of this.#askedMs) if (askedMs < nowMs() - ASKER_MEMORY_MS) this.#askedMs.delete(ip)
    this.#sendProbes()
    if (this.#updateCandidates() || configuration !== this.#followedConfiguration) {
      this.#followedConfiguration = configuration
      for (const organisation of limited) this.#followCoordinator(organisation, configuration?.version ?? 0)
      this.#retain(new Set(limited.map(({ name }) => name)))
    }
    this.#sendReports()
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

  #ledgerFor (from: string, limit: OrganisationLimit): Ledger {
    const { ip, nowMs } = this.#options
    const [coordinator = ip] = this.#rankedFor(limit.organisation)
    if (coordinator === ip) return this.#ledger
    this.#askedMs.set(from, nowMs())
    if (!this.#probedMs.has(coordinator)) this.#probedMs.set(coordinator, { sinceMs: nowMs(), probe: { kind: PeerDatagramKind.QuotaRequest, id: '', ...limit, cost: 0, spent: true } })
    return this.#deputyLedger
  }

  /** A deputy gives out none of the rate while it hears from the coordinator itself, only the units with which it starts. */
  #deputyRateShare (organisation: string): number {
    const { nowMs } = this.#options
    const probed = this.#probedMs.get(this.#rankedFor(organisation)[0] ?? '')
    if (probed === undefined || nowMs() - probed.sinceMs < UNANSWERED_PROBES_MS) return 0
    return Math.max(DEPUTY_RATE_SHARE * Math.min(1, this.#askedMs.size / this.#knownCount), FULL_DEPUTY_RATE_SHARE * Math.min(1, this.#reportOf(organisation)?.fill ?? 0))
  }

  #leftOver (limit: OrganisationLimit): number {
    return windowUnits(limit, this.#options.bounds) * LEFT_OVER_SHARE * Math.min(1, this.#reportOf(limit.organisation)?.fill ?? 0)
  }

  /** What the coordinator of an organisation last told of it; undefined if that is too long ago. */
  #reportOf (organisation: string): UseReport | undefined {
    const told = this.#reports.get(organisation)
    return told === undefined || this.#options.nowMs() - told.toldMs > REPORT_LIFETIME_MS ? undefined : told.report
  }

  /** Tells the instances that may follow this one as a coordinator what the organisations have used. */
  #sendReports (): void {
    const { ip, nowMs, send } = this.#options
    if (nowMs() - this.#reportsSentMs < REPORT_PERIOD_MS) return
    this.#reportsSentMs = nowMs()
    const reportsByFollower = new Map<string, UseReport[]>()
    for (const report of this.#ledger.reports(nowMs() - REPORTED_USE_MS)) {
      for (const follower of this.#rankedFor(report.organisation)) if (follower !== ip) reportsByFollower.set(follower, [...reportsByFollower.get(follower) ?? [], report])
    }
    for (const [follower, reports] of reportsByFollower) {
      for (let start = 0; start < reports.length; start += REPORTS_PER_MESSAGE) send([follower], { kind: PeerDatagramKind.QuotaUse, reports: reports.slice(start, start + REPORTS_PER_MESSAGE) })
    }
  }

  /** Records what a coordinator tells of its organisations. */
  recordReports (reports: UseReport[]): void {
    for (const report of reports) this.#reports.set(report.organisation, { report, toldMs: this.#options.nowMs() })
  }

  #sendProbes (): void {
    if (this.#askedMs.size === 0) this.#probedMs.clear()
    for (const [coordinator, { probe }] of this.#probedMs) this.#options.send([coordinator], probe)
  }

  #followCoordinator ({ name, quota }: Organisation, version: number): void {
    const { ip, nowMs, log, instances } = this.#options
    const [coordinator] = this.#rankedFor(name)
    const previous = this.#coordinators.get(name)
    if (coordinator === undefined || quota === null) return
    const limit = { organisation: name, perS: quota.perS, burst: quota.burst, version }
    if (previous?.ip === coordinator) {
      // Takes over the quota of a new configuration.
      if (coordinator === ip) this.#ledger.charge(limit, 0)
      return
    }
    this.#coordinators.set(name, { ip: coordinator, sinceMs: nowMs() })
    if (coordinator !== ip && previous?.ip !== ip) return
    log.info('quota.coordinator-changed', { organisation: name, coordinates: coordinator === ip, instances: instances.servingCount() })
    if (coordinator !== ip) return this.#ledger.close(name)
    this.#ledger.open(limit, { level: this.#startLevel(limit, previous === undefined), profile: this.#reportOf(name)?.profile ?? [] })
  }

  /** Units that an organisation may use at once when this instance begins to keep its quota; `isNew` if this instance knew no coordinator of it before. */
  #startLevel (limit: OrganisationLimit, isNew: boolean): number {
    const { nowMs, bounds, canCoordinate } = this.#options
    const windowStartMs = nowMs() - bounds.windowS * MS_PER_SECOND
    // While instances start, each may take itself for the coordinator; and none starts with units twice in a window.
    const openedMs = this.#openedMs.get(limit.organisation) ?? -Infinity
    if (!canCoordinate() || openedMs > windowStartMs) return 0
    this.#openedMs.set(limit.organisation, nowMs())
    // The organisation or its quota is new in this version of the configuration.
    if (isNew && this.#startedMs <= windowStartMs) return windowUnits(limit, bounds)
    return toleranceOf(limit, bounds) * toleranceShare.handOver + this.#leftOver(limit)
  }

  #retain (organisations: Set<string>): void {
    for (const table of [this.#coordinators, this.#reports, this.#openedMs]) for (const organisation of table.keys()) if (!organisations.has(organisation)) table.delete(organisation)
    for (const table of [this.#ledger, this.client]) table.retain(organisations)
  }
}

/** Share of the rate that a coordinator gives out which is in touch with a share of the known instances: groups that are cut off from each other never give out more than the rate together. */
function rateShareOf (reachableShare: number): number {
  return reachableShare > 0.5 ? (1 + reachableShare) / 2 : reachableShare / 2
}

type Handlers = { [K in PeerDatagramKind]?: (sharing: QuotaSharing, from: string, message: Extract<PeerDatagram, { kind: K }>) => void }

const handlers: Handlers = {
  [PeerDatagramKind.QuotaRequest]: (sharing, from, message) => sharing.client.answer(from, message),
  [PeerDatagramKind.QuotaUse]: (sharing, _from, { reports }) => sharing.recordReports(reports),
  [PeerDatagramKind.QuotaAnswer]: (sharing, from, message) => sharing.client.handleAnswer(from, message)
}
