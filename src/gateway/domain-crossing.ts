/** What the operators charge for leaving a failure domain, as time that a caller would have to gain to make up for it. */
export interface CrossingPrice {
  /** Additional time of an exchange with a server in another failure domain, in milliseconds. */
  roundTripMs: number
  /** Time that a megabyte between failure domains is worth, in milliseconds. */
  msPerMegabyte: number
}

/** A server that could take a piece of work. */
export interface CrossingCandidate {
  failureDomain: string
  /** Time until the work would be done there, without the crossing, in milliseconds; Infinity if the server can't take it. */
  doneAfterMs: number
}

/** The work to be sent somewhere. */
export interface CrossingWork {
  /** Failure domain of the instance that sends it, or of the data that it needs. */
  failureDomain: string
  /** Bytes that would cross, both ways. */
  bytes: number
  /** Time left until the objective of the caller, in milliseconds; it may have passed. */
  objectiveLeftMs: number
}

/** Gain below which work that left its domain stays away and work that stayed does not leave, as a share of the cost of the crossing; keeps small differences from moving work back and forth. */
const HYSTERESIS_SHARE = 0.5

/** Factor of the price when the own domain meets the objective: the caller then gains nothing that it was promised. */
const MET_OBJECTIVE_PRICE_FACTOR = 3

/** Time for which a domain counts as leaving after its last crossing, in milliseconds: a few times the time that a burst takes to build up a queue. */
const LEAVING_MS = 1000

const BYTES_PER_MEGABYTE = 1_000_000

/** Settings without a price for bytes: the additional time alone. */
export const DEFAULT_CROSSING_PRICE: CrossingPrice = { roundTripMs: 2, msPerMegabyte: 1000 }

/** Cost of sending work to another failure domain, as a time in milliseconds. */
export function crossingCostMs ({ roundTripMs, msPerMegabyte }: CrossingPrice, bytes: number): number {
  return roundTripMs + msPerMegabyte * bytes / BYTES_PER_MEGABYTE
}

interface DomainCrossingOptions {
  nowMs: () => number
  price: () => CrossingPrice
}

/**
 * Decides whether work leaves the failure domain of its caller. The own domain is left for the time that the caller gains, weighed against the time
 * and the bytes that the crossing costs; as each decision counts the work sent before, just so much leaves that both domains serve equally well.
 */
export class DomainCrossing {
  readonly #options: DomainCrossingOptions
  /** By failure domain, when work last left it, in milliseconds. */
  readonly #lastLeftMs = new Map<string, number>()

  constructor (options: DomainCrossingOptions) {
    this.#options = options
  }

  /** The best candidate; undefined if none can take the work. Candidates of equal cost keep their order. */
  choose<Candidate extends CrossingCandidate> (work: CrossingWork, candidates: Candidate[]): Candidate | undefined {
    const near = fastest(candidates.filter(({ failureDomain }) => failureDomain === work.failureDomain))
    const far = fastest(candidates.filter(({ failureDomain }) => failureDomain !== work.failureDomain))
    if (near === undefined || far === undefined) {
      if (far !== undefined) this.#lastLeftMs.set(work.failureDomain, this.#options.nowMs())
      return near ?? far
    }
    if (near.doneAfterMs - far.doneAfterMs <= this.#thresholdMs(work, near)) return near
    this.#lastLeftMs.set(work.failureDomain, this.#options.nowMs())
    return far
  }

  /** Gain above which the work leaves, in milliseconds. */
  #thresholdMs (work: CrossingWork, near: CrossingCandidate): number {
    const costMs = crossingCostMs(this.#options.price(), work.bytes)
    const leaving = this.#options.nowMs() - (this.#lastLeftMs.get(work.failureDomain) ?? -Infinity) < LEAVING_MS
    const steadyMs = costMs * (leaving ? 1 - HYSTERESIS_SHARE : 1 + HYSTERESIS_SHARE)
    const met = near.doneAfterMs <= work.objectiveLeftMs
    return met ? steadyMs * MET_OBJECTIVE_PRICE_FACTOR : steadyMs
  }
}

function fastest<Candidate extends CrossingCandidate> (candidates: Candidate[]): Candidate | undefined {
  let best: Candidate | undefined
  for (const candidate of candidates) if (Number.isFinite(candidate.doneAfterMs) && candidate.doneAfterMs < (best?.doneAfterMs ?? Infinity)) best = candidate
  return best
}
