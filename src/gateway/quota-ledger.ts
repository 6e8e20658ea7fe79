import type { Quota } from './configuration.js'
import { type QuotaBounds, windowUnits } from './quota-bounds.js'

/** Time after its last use for which a bucket is kept, in milliseconds: longer than instances that can't ask the coordinator need to agree on another one. */
const UNUSED_LIFETIME_MS = 30_000

/** Time after which a request is worth another try while a ledger gives out no rate, in milliseconds: a deputy begins to, or the coordinator answers. */
const NO_RATE_WAIT_MS = 500

const MS_PER_SECOND = 1000

/** The rate and burst of an organisation in one version of the configuration. */
export interface OrganisationLimit extends Pick<Quota, 'perS' | 'burst'> {
  organisation: string
  /** Version of the configuration that it is from. */
  version: number
}

export interface LedgerDecision {
  granted: boolean
  /** Time until such a request is granted, in milliseconds; 0 if it is now, null if it never will be. */
  waitMs: number | null
}

interface Bucket {
  limit: OrganisationLimit
  /** Units left; negative after units were charged that had been used before. */
  level: number
  updatedMs: number
  usedMs: number
}

interface QuotaLedgerOptions {
  nowMs: () => number
  bounds: QuotaBounds
  /** Most units that accumulate while none are used. */
  capacity: (limit: OrganisationLimit) => number
  /** Units with which a bucket starts. */
  startLevel: (limit: OrganisationLimit) => number
  /** Share of the quota's rate that this ledger gives out. */
  rateShare: (organisation: string) => number
  /** Whether a request that costs more than the capacity is granted when the bucket is full. */
  grantsOversized: boolean
}

/** Decides whether units of a quota are left. */
export interface Ledger {
  take: (limit: OrganisationLimit, cost: number) => LedgerDecision
  charge: (limit: OrganisationLimit, cost: number) => LedgerDecision
  level: (organisation: string) => number | null
}

/** Token buckets of organisations, from which an instance grants units while it can't ask the coordinator. */
export class QuotaLedger implements Ledger {
  readonly #options: QuotaLedgerOptions
  readonly #buckets = new Map<string, Bucket>()

  constructor (options: QuotaLedgerOptions) {
    this.#options = options
  }

  /** Takes the units that a request costs, if there are as many. */
  take (limit: OrganisationLimit, cost: number): LedgerDecision {
    const bucket = this.#used(limit)
    const waitMs = this.#waitMs(bucket, cost)
    if (waitMs !== 0) return { granted: false, waitMs }
    bucket.level -= cost
    return { granted: true, waitMs }
  }

  /** Counts units that were used without a grant, or returns units if negative; says whether the organisation is within its quota, and when it is again. */
  charge (limit: OrganisationLimit, cost: number): LedgerDecision {
    const bucket = this.#used(limit)
    bucket.level = Math.min(this.#options.capacity(bucket.limit), bucket.level - cost)
    return { granted: bucket.level >= 0, waitMs: this.#waitMs(bucket, 0) }
  }

  /** Accumulates the units of all buckets up to now, so that a change of the rate counts only from now on. */
  refresh (): void {
    for (const { limit } of this.#buckets.values()) this.#current(limit)
  }

  /** Units that are left for an organisation; null if it has no bucket. */
  level (organisation: string): number | null {
    return this.#buckets.get(organisation)?.level ?? null
  }

  /** Forgets the organisations that have not been asked about for some time; their buckets start anew. */
  forgetUnused (): void {
    const sinceMs = this.#options.nowMs() - UNUSED_LIFETIME_MS
    for (const [organisation, { usedMs }] of this.#buckets) if (usedMs < sinceMs) this.#buckets.delete(organisation)
  }

  #used (limit: OrganisationLimit): Bucket {
    const bucket = this.#current(limit)
    bucket.usedMs = this.#options.nowMs()
    return bucket
  }

  #waitMs ({ limit, level }: Bucket, cost: number): number | null {
    const { bounds, capacity, grantsOversized, rateShare } = this.#options
    const full = capacity(limit)
    if (cost > full && (!grantsOversized || cost > windowUnits(limit, bounds))) return null
    const missing = Math.min(cost, full) - level
    if (missing <= 0) return 0
    const perS = limit.perS * rateShare(limit.organisation)
    return perS === 0 ? NO_RATE_WAIT_MS : Math.ceil(missing / perS * MS_PER_SECOND)
  }

  #current (limit: OrganisationLimit): Bucket {
    const { nowMs, capacity, startLevel, rateShare } = this.#options
    const now = nowMs()
    const bucket = this.#buckets.get(limit.organisation) ?? { limit, level: startLevel(limit), updatedMs: now, usedMs: now }
    this.#buckets.set(limit.organisation, bucket)
    const added = bucket.limit.perS * rateShare(limit.organisation) * (now - bucket.updatedMs) / MS_PER_SECOND
    if (limit.version > bucket.limit.version) bucket.limit = limit
    bucket.level = Math.min(capacity(bucket.limit), bucket.level + added)
    bucket.updatedMs = now
    return bucket
  }
}
