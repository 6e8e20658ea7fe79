/** Share of the allowed repeats that is used; the rest covers instances whose windows or views differ. */
const USED_SHARE = 0.7

const MS_PER_SECOND = 1000

interface RetryAllowance {
  /** Repeats allowed for each request of a service. */
  ratio: number
  /** Repeats allowed to all instances together in one window, besides the ratio. */
  slack: number
  windowS: number
}

interface RetryBudgetOptions {
  nowMs: () => number
  /** Read at each use, as it may change while the instance runs. */
  allowance: () => RetryAllowance
  /** Instances that share the slack. */
  instances: () => number
}

interface Counts {
  requests: number[]
  repeats: number[]
}

/** This instance's part of the budget for sending requests again, by service. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions
  readonly #services = new Map<string, Counts>()

  constructor (options: RetryBudgetOptions) {
    this.#options = options
  }

  /** Counts a caller's request. */
  addRequest (service: string): void {
    this.#counts(service).requests.push(this.#options.nowMs())
  }

  /** Takes one repeat; false if the part is spent. */
  takeRetry (service: string): boolean {
    const counts = this.#counts(service)
    const { ratio, slack } = this.#options.allowance()
    const allowed = USED_SHARE * (ratio * counts.requests.length + slack / Math.max(1, this.#options.instances()))
    if (counts.repeats.length + 1 > allowed) return false
    counts.repeats.push(this.#options.nowMs())
    return true
  }

  #counts (service: string): Counts {
    const counts = this.#services.get(service) ?? { requests: [], repeats: [] }
    this.#services.set(service, counts)
    const sinceMs = this.#options.nowMs() - this.#options.allowance().windowS * MS_PER_SECOND
    dropBefore(counts.requests, sinceMs)
    dropBefore(counts.repeats, sinceMs)
    return counts
  }
}

function dropBefore (times: number[], sinceMs: number): void {
  const kept = times.findIndex((time) => time >= sinceMs)
  if (kept === -1) times.length = 0
  else if (kept > 0) times.splice(0, kept)
}
