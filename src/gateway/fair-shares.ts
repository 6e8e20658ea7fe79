import { DecayingSum } from './decaying-sum.js'

/** Half-life of what was placed and asked recently, in milliseconds; about the time for which a run holds its memory. */
const RECENT_HALF_LIFE_MS = 3000

/** Half-life of the usual demand of an organisation, in milliseconds; a burst of some seconds hardly raises its share. */
const USUAL_HALF_LIFE_MS = 60_000

/** Time for which all demand counts as usual, in milliseconds, since nothing is known of an earlier one. */
const LEARNING_MS = 5000

/** Multiple of its usual demand up to which the demand of an organisation counts as usual; a lasting growth still doubles its share within the half-life. */
const USUAL_GROWTH = 2

/** Steps of use, per share, in which organisations are compared; within one, their requests go by their objectives, as demand varies by chance. */
const STEPS_PER_SHARE = 4

/** Requests of average size that do not count as use of a share: the demand of a small organisation is only a few requests. */
const SPARE_REQUESTS = 3

/** Least share of an organisation, as a part of an equal share; an organisation without usual demand gets it too. */
const MIN_EQUAL_SHARE = 0.25

/** A less urgent priority goes first while a smaller part of its demand is placed than this part of what is placed of all demand. */
const MIN_RELATIVE_SERVICE = 0.6

/** Demand of one organisation, or of one priority, in tokens. */
interface Demand {
  usual: DecayingSum
  asked: DecayingSum
  placed: DecayingSum
}

interface ServiceShares {
  /** When the first demand was recorded, in milliseconds. */
  sinceMs: number
  all: Demand
  /** Requests placed recently, to know their average size. */
  placedRequests: DecayingSum
  organisations: Map<string, Demand>
  priorities: Map<number, Demand>
}

/** Whose request it is, and its size in tokens of prompt and expected output. */
export interface ShareOfRequest {
  service: string
  /** Empty if the request has none. */
  organisation: string
  /** 0 is the most urgent. */
  priority: number
  tokens: number
}

/**
 * Tells who has had more, and who less, than its share of a service's runners.
 * An organisation's share follows its usual demand in tokens; what an organisation sends beyond it goes behind the requests of the others.
 */
export class FairShares {
  readonly #nowMs: () => number
  readonly #services = new Map<string, ServiceShares>()

  constructor (options: { nowMs: () => number }) {
    this.#nowMs = options.nowMs
  }

  /** Records the first attempt of a request; further attempts ask for the same work and raise no share. */
  recordDemand ({ service, organisation, priority, tokens }: ShareOfRequest): void {
    const shares = this.#sharesOf(service)
    if (!shares.organisations.has(organisation)) this.#evictIdle(shares.organisations)
    const own = this.#demandOf(shares.organisations, organisation)
    const usualTokens = tokens * this.#usualPart(shares, own)
    for (const demand of [shares.all, own, this.#demandOf(shares.priorities, priority)]) {
      demand.usual.add(usualTokens)
      demand.asked.add(tokens)
    }
  }

  recordPlacement ({ service, organisation, priority, tokens }: ShareOfRequest): void {
    const shares = this.#sharesOf(service)
    shares.placedRequests.add(1)
    for (const demand of [shares.all, this.#demandOf(shares.organisations, organisation), this.#demandOf(shares.priorities, priority)]) demand.placed.add(tokens)
  }

  /** How much of its share of what was placed recently an organisation has had, in steps; the lower one goes first. Always 0 without organisations, or with one only. */
  useOf (service: string, organisation: string): number {
    const shares = this.#services.get(service)
    const demand = shares?.organisations.get(organisation)
    if (shares === undefined || demand === undefined || shares.organisations.size < 2) return 0
    const allPlaced = shares.all.placed.value
    const equalShare = 1 / shares.organisations.size
    const share = Math.max(equalShare * MIN_EQUAL_SHARE, demand.usual.value / Math.max(1, shares.all.usual.value))
    const spareTokens = SPARE_REQUESTS * allPlaced / Math.max(1, shares.placedRequests.value)
    return Math.floor(Math.max(0, demand.placed.value - spareTokens) / Math.max(1, allPlaced * share) * STEPS_PER_SHARE)
  }

  /** Whether so little of the demand of a priority is placed, compared with all demand, that it has to go first. */
  isUnderserved (service: string, priority: number): boolean {
    const shares = this.#services.get(service)
    const demand = shares?.priorities.get(priority)
    if (shares === undefined || demand === undefined || shares.priorities.size < 2) return false
    const servedOfAll = shares.all.placed.value / Math.max(1, shares.all.asked.value)
    return demand.placed.value / Math.max(1, demand.asked.value) < servedOfAll * MIN_RELATIVE_SERVICE
  }

  /** Part of an organisation's present demand that counts as usual, so that a burst does not become its share while it lasts. */
  #usualPart ({ sinceMs, all, organisations }: ServiceShares, own: Demand): number {
    const ageMs = this.#nowMs() - sinceMs
    if (ageMs < LEARNING_MS) return 1
    const least = all.usual.value / organisations.size * MIN_EQUAL_SHARE
    const usualPerMs = Math.max(least, own.usual.value) / windowMs(USUAL_HALF_LIFE_MS, ageMs)
    const presentPerMs = own.asked.value / windowMs(RECENT_HALF_LIFE_MS, ageMs)
    return Math.min(1, USUAL_GROWTH * usualPerMs / Math.max(presentPerMs, Number.EPSILON))
  }

  #sharesOf (service: string): ServiceShares {
    const existing = this.#services.get(service)
    if (existing !== undefined) return existing
    const shares: ServiceShares = { sinceMs: this.#nowMs(), all: this.#newDemand(), placedRequests: this.#newSum(RECENT_HALF_LIFE_MS), organisations: new Map(), priorities: new Map() }
    this.#services.set(service, shares)
    return shares
  }

  /** Drops the organisations that have asked for nothing for a long time, so that the table does not grow with all that there ever were. */
  #evictIdle (organisations: Map<string, Demand>): void {
    for (const [name, { usual }] of organisations) if (usual.value < 1) organisations.delete(name)
  }

  #demandOf<K> (demands: Map<K, Demand>, key: K): Demand {
    const existing = demands.get(key)
    if (existing !== undefined) return existing
    const demand = this.#newDemand()
    demands.set(key, demand)
    return demand
  }

  #newDemand (): Demand {
    return { usual: this.#newSum(USUAL_HALF_LIFE_MS), asked: this.#newSum(RECENT_HALF_LIFE_MS), placed: this.#newSum(RECENT_HALF_LIFE_MS) }
  }

  #newSum (halfLifeMs: number): DecayingSum {
    return new DecayingSum({ nowMs: this.#nowMs, halfLifeMs })
  }
}

/** Time that a decaying sum covers: at a constant rate, its value is the rate times this time. */
function windowMs (halfLifeMs: number, ageMs: number): number {
  return halfLifeMs / Math.LN2 * (1 - 0.5 ** (ageMs / halfLifeMs))
}
