import { RecentValues } from './recent-values.js'

/** Number of newest prefills of a service from which their delay is taken. */
const DELAYED_PREFILLS = 30

/** Quantile of the delays of prefills that is expected of the next one: requests are often placed just in time, and with a median delay half of them would be late. */
const PREFILL_DELAY_QUANTILE = 0.8

/** By how much prefills end later than expected at their placement: their instances and runners may be slow at the moment. */
export class PrefillDelays {
  readonly #byService = new Map<string, RecentValues<number>>()

  /** Records a prefill that ended this many milliseconds later than expected; negative if earlier. */
  record (service: string, delayMs: number): void {
    const delays = this.#byService.get(service) ?? new RecentValues<number>({ maxValues: DELAYED_PREFILLS })
    this.#byService.set(service, delays)
    delays.add(Math.max(0, delayMs))
  }

  /** Delay that the next prefill of a service is unlikely to exceed, in milliseconds. */
  expectedMs (service: string): number {
    const delays = this.#byService.get(service)?.all() ?? []
    return delays.toSorted((a, b) => a - b)[Math.floor(delays.length * PREFILL_DELAY_QUANTILE)] ?? 0
  }
}
