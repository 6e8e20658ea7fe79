/** Share of the allowed retries that the instances use; the rest is a margin, as their windows and their counts of instances differ. */
const USABLE_BUDGET_SHARE = 0.7

const MS_PER_SECOND = 1000

interface RetryAllowance {
  /** Retries allowed per request of a service. */
  ratio: number
  /** Retries allowed in one window in addition to the ratio, for all instances together. */
  slack: number
  windowS: number
}

interface RetryBudgetOptions {
  nowMs: () => number
  /** Called at each use, as the settings may be reloaded. */
  allowance: () => RetryAllowance
  /** Number of instances that share the slack. */
  instanceCount: () => number
}

/** Times of the requests and retries in the current window, in milliseconds. */
interface RecentTimes {
  requests: number[]
  retries: number[]
}

/** Limits the retries of each service to this instance's share of the budget. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions
  readonly #services = new Map<string, RecentTimes>()

  constructor (options: RetryBudgetOptions) {
    this.#options = options
  }

  /** Counts a caller's request. */
  recordRequest (service: string): void {
    this.#recentTimes(service).requests.push(this.#options.nowMs())
  }

  /** Whether one more retry is within this instance's share of the budget, of which `reservedShare` is kept for other retries. */
  allows (service: string, { reservedShare = 0 }: { reservedShare?: number } = {}): boolean {
    const recent = this.#recentTimes(service)
    const { ratio, slack } = this.#options.allowance()
    return recent.retries.length + 1 <= (1 - reservedShare) * USABLE_BUDGET_SHARE * (ratio * recent.requests.length + slack / Math.max(1, this.#options.instanceCount()))
  }

  /** Consumes one retry; false if this instance's share of the budget is exhausted. */
  tryConsume (service: string): boolean {
    if (!this.allows(service)) return false
    this.#recentTimes(service).retries.push(this.#options.nowMs())
    return true
  }

  #recentTimes (service: string): RecentTimes {
    const recent = this.#services.get(service) ?? { requests: [], retries: [] }
    this.#services.set(service, recent)
    const sinceMs = this.#options.nowMs() - this.#options.allowance().windowS * MS_PER_SECOND
    dropBefore(recent.requests, sinceMs)
    dropBefore(recent.retries, sinceMs)
    return recent
  }
}

function dropBefore (times: number[], sinceMs: number): void {
  const firstKept = times.findIndex((time) => time >= sinceMs)
  if (firstKept === -1) times.length = 0
  else if (firstKept > 0) times.splice(0, firstKept)
}
