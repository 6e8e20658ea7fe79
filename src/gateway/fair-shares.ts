import { DecayingSum } from './decaying-sum.js'

/** Half-life of what was placed and asked recently, in milliseconds; about the time for which a run holds its memory. */
const RECENT_HALF_LIFE_MS = 3000

/** Half-life of the usual demand of an organisation, in milliseconds; a burst of some seconds hardly raises its share. */
const USUAL_HALF_LIFE_MS = 60_000

/** Factor by which an organisation may exceed its share before its requests wait behind those of others: demand varies by chance. */
const SHARE_TOLERANCE = 1.25

/** Requests of average size that an organisation may always have placed beyond its share: the demand of a small one is only a few requests. */
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
    for (const demand of [shares.all, this.#demandOf(shares.organisations, organisation), this.#demandOf(shares.priorities, priority)]) {
      demand.usual.add(tokens)
      demand.asked.add(tokens)
    }
  }

  recordPlacement ({ service, organisation, priority, tokens }: ShareOfRequest): void {
    const shares = this.#sharesOf(service)
    shares.placedRequests.add(1)
    for (const demand of [shares.all, this.#demandOf(shares.organisations, organisation), this.#demandOf(shares.priorities, priority)]) demand.placed.add(tokens)
  }

  /** Whether an organisation has more than its share of what was placed recently. Without an organisation, or with one only, never. */
  isOverShare (service: string, organisation: string): boolean {
    const shares = this.#services.get(service)
    const demand = shares?.organisations.get(organisation)
    if (shares === undefined || demand === undefined || shares.organisations.size < 2) return false
    const allPlaced = shares.all.placed.value
    const equalShare = 1 / shares.organisations.size
    const share = Math.max(equalShare * MIN_EQUAL_SHARE, demand.usual.value / Math.max(1, shares.all.usual.value))
    const meanTokens = allPlaced / Math.max(1, shares.placedRequests.value)
    return demand.placed.value > allPlaced * share * SHARE_TOLERANCE + SPARE_REQUESTS * meanTokens
  }

  /** Whether so little of the demand of a priority is placed, compared with all demand, that it has to go first. */
  isUnderserved (service: string, priority: number): boolean {
    const shares = this.#services.get(service)
    const demand = shares?.priorities.get(priority)
    if (shares === undefined || demand === undefined || shares.priorities.size < 2) return false
    const servedOfAll = shares.all.placed.value / Math.max(1, shares.all.asked.value)
    return demand.placed.value / Math.max(1, demand.asked.value) < servedOfAll * MIN_RELATIVE_SERVICE
  }

  #sharesOf (service: string): ServiceShares {
    const existing = this.#services.get(service)
    if (existing !== undefined) return existing
    const shares: ServiceShares = { all: this.#newDemand(), placedRequests: this.#newSum(RECENT_HALF_LIFE_MS), organisations: new Map(), priorities: new Map() }
    this.#services.set(service, shares)
    return shares
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
