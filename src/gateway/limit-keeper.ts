import { type BackendServer, incarnationOf } from './backend.js'
import type { ServerLimits } from './server-limits.js'

/** Share of a server's limit that is used; the rest is a margin for the moments at which two instances keep the same limit. */
const USABLE_LIMIT_SHARE = 0.9

/** Time for which unused permits accumulate, in seconds. */
const BURST_S = 0.5

const MS_PER_SECOND = 1000

interface Permits {
  count: number
  updatedMs: number
}

interface LimitKeeperOptions {
  nowMs: () => number
  limits: ServerLimits
  /** Share of all instances that this one and the instances it serves make up; less than 1 when others are cut off, which then use the rest. */
  fleetShare: () => number
}

/** Permits for sends to servers with limits, given out by one instance to all others. */
export class LimitKeeper {
  readonly #options: LimitKeeperOptions
  /** By incarnation. */
  readonly #permits = new Map<string, Permits>()

  constructor (options: LimitKeeperOptions) {
    this.#options = options
  }

  /** Whether a permit could be taken now; always for a server without a limit. */
  isAvailable (backend: BackendServer): boolean {
    return this.waitMs(backend) === 0
  }

  /** Takes a permit; returns whether there was one. */
  tryTake (backend: BackendServer): boolean {
    const permits = this.#current(backend)
    if (permits === null) return true
    if (permits.count < 1) return false
    permits.count -= 1
    return true
  }

  /** Time until a permit is available, in milliseconds; 0 if one is available now. */
  waitMs (backend: BackendServer): number {
    const permits = this.#current(backend)
    if (permits === null || permits.count >= 1) return 0
    return Math.ceil((1 - permits.count) / this.ratePerS(backend) * MS_PER_SECOND)
  }

  /** Permits per second for a server; Infinity without a limit. */
  ratePerS (backend: BackendServer): number {
    const limitPerS = this.#options.limits.limitOf(backend)
    return limitPerS === null ? Infinity : limitPerS * USABLE_LIMIT_SHARE * this.#options.fleetShare()
  }

  /** Forgets all servers except the given incarnations. */
  retain (incarnations: Set<string>): void {
    for (const server of this.#permits.keys()) if (!incarnations.has(server)) this.#permits.delete(server)
  }

  #current (backend: BackendServer): Permits | null {
    const ratePerS = this.ratePerS(backend)
    const server = incarnationOf(backend)
    if (ratePerS === Infinity) {
      this.#permits.delete(server)
      return null
    }
    const nowMs = this.#options.nowMs()
    // A new keeper begins without permits, as the one before may just have given out some.
    const permits = this.#permits.get(server) ?? { count: 0, updatedMs: nowMs }
    permits.count = Math.min(1 + ratePerS * BURST_S, permits.count + ratePerS * (nowMs - permits.updatedMs) / MS_PER_SECOND)
    permits.updatedMs = nowMs
    this.#permits.set(server, permits)
    return permits
  }
}
