/** Factor by which the capacity of a service may be larger than estimated: a request is refused early only if it can't be placed in time even then. */
const CAPACITY_MARGIN = 1.25

/** Least share of its capacity that a service is taken to have left for returning requests. */
const MIN_SPARE_SHARE = 0.2

/** Retry delay while the capacity of a service is unknown, in milliseconds. */
const UNKNOWN_RETRY_AFTER_MS = 2000

/** Shortest retry delay of a refusal for lack of capacity, in milliseconds; a shorter one would lead into the same burst. */
const MIN_RETRY_AFTER_MS = 1000

/** Longest retry delay, in milliseconds; callers have no more time for a stream after a longer one. */
const MAX_RETRY_AFTER_MS = 6000

/** Shortest retry delay, as a share of the longest one, of callers that return before there is room: the same delay for all would bring a burst back as it was. */
const MIN_SPREAD_SHARE = 0.5

const MS_PER_SECOND = 1000

/** Rates of a service in requests per second. */
export interface ServiceLoad {
  /** Requests that the runners can serve. */
  capacityPerS: number
  /** Arrivals over a longer time. */
  usualArrivalsPerS: number
}

/** Shortest time until runners can take a request behind this number of others, in milliseconds: that of a load that ends now. Infinity without capacity. */
export function shortestWaitMs ({ capacityPerS }: ServiceLoad, ahead: number): number {
  return (ahead + 1) / (capacityPerS * CAPACITY_MARGIN) * MS_PER_SECOND
}

/** The same for a late request, which the requests that arrive meanwhile go before. */
export function shortestLateWaitMs ({ capacityPerS }: ServiceLoad, ahead: number, arrivalsPerS: number): number {
  const sparePerS = Math.max(capacityPerS * MIN_SPARE_SHARE, capacityPerS * CAPACITY_MARGIN - arrivalsPerS)
  return (ahead + 1) / sparePerS * MS_PER_SECOND
}

/** Tells refused callers when to return: one after the other at the rate that the runners have to spare, after the requests that wait now. */
export class Backlog {
  readonly #nowMs: () => number
  readonly #random: () => number
  /** By service, when the last refused caller was told to return, in milliseconds. */
  readonly #lastReturnMs = new Map<string, number>()

  constructor (options: { nowMs: () => number, random?: () => number }) {
    this.#nowMs = options.nowMs
    this.#random = options.random ?? Math.random
  }

  /** Time after which a refused caller should return, in milliseconds. `load` is null while it is unknown; `longestMs` is the longest time after which this caller returns anyway. */
  returnAfterMs (service: string, load: ServiceLoad | null, waiting: number, longestMs: number | null = null): number {
    const maxMs = Math.min(MAX_RETRY_AFTER_MS, longestMs ?? MAX_RETRY_AFTER_MS)
    if (load === null || load.capacityPerS <= 0) return Math.min(maxMs, UNKNOWN_RETRY_AFTER_MS)
    const nowMs = this.#nowMs()
    const sparePerS = Math.max(load.capacityPerS * MIN_SPARE_SHARE, load.capacityPerS - load.usualArrivalsPerS)
    const clearedMs = nowMs + waiting / sparePerS * MS_PER_SECOND
    const afterLastMs = (this.#lastReturnMs.get(service) ?? -Infinity) + MS_PER_SECOND / sparePerS
    const roomMs = Math.max(nowMs + MIN_RETRY_AFTER_MS, clearedMs, afterLastMs)
    if (roomMs > nowMs + maxMs) return maxMs * (MIN_SPREAD_SHARE + (1 - MIN_SPREAD_SHARE) * this.#random())
    this.#lastReturnMs.set(service, roomMs)
    return roomMs - nowMs
  }
}
