import { type QuotaBounds, toleranceOf, toleranceShare, windowUnits } from './quota-bounds.js'
import type { Ledger, LedgerDecision, OrganisationLimit } from './quota-ledger.js'

/** Parts of a window in which use is summed; units are free again when their part has left the window. */
const SLOTS = 32

/** Time for which an organisation may use its rate in advance, in seconds; less than an instance takes to start, so that a restart of all instances, which forgets the use, keeps the bounds. */
const ADVANCE_S = 1

/** Parts of a window in which the use is told to other instances. */
export const PROFILE_PARTS = 8

const SLOTS_PER_PART = SLOTS / PROFILE_PARTS

/** Slots that are kept: a window that begins within a slot reaches into one more. */
const KEPT_SLOTS = SLOTS + 1

const MS_PER_SECOND = 1000

interface Use {
  limit: OrganisationLimit
  /** Units used in each slot, by the slot's number modulo their count. */
  slots: Float64Array
  sum: number
  /** Units that may be used at once; they accumulate with the rate. */
  level: number
  updatedMs: number
  /** Number of the newest slot. */
  newest: number
  usedMs: number
}

/** The use of an organisation as the coordinator tells it to instances that may follow. */
export interface UseReport {
  organisation: string
  /** Share of the units that may be used at once that is left. */
  fill: number
  /** Units used in the parts of the last window, the newest part first. */
  profile: number[]
}

interface WindowLedgerOptions {
  nowMs: () => number
  bounds: QuotaBounds
  /** Share of the quotas that this ledger gives out. */
  share: () => number
}

/** What organisations have used in the last window, kept by their coordinator. */
export class WindowLedger implements Ledger {
  readonly #options: WindowLedgerOptions
  readonly #slotMs: number
  readonly #uses = new Map<string, Use>()

  constructor (options: WindowLedgerOptions) {
    this.#options = options
    this.#slotMs = options.bounds.windowS * MS_PER_SECOND / SLOTS
  }

  /** Starts anew for an organisation, with units that may be used at once and the use in the parts of the last window as far as it is known, the newest part first. */
  open (limit: OrganisationLimit, { level, profile = [] }: { level: number, profile?: number[] }): void {
    const nowMs = this.#options.nowMs()
    const use = { limit, slots: new Float64Array(KEPT_SLOTS), sum: 0, level, updatedMs: nowMs, newest: this.#currentSlot(), usedMs: nowMs }
    const share = this.#options.share()
    for (const [part, told] of profile.slice(0, PROFILE_PARTS).entries()) {
      const units = told * share
      use.slots[(use.newest - part * SLOTS_PER_PART + KEPT_SLOTS) % KEPT_SLOTS] = units
      use.sum += units
    }
    this.#uses.set(limit.organisation, use)
  }

  close (organisation: string): void {
    this.#uses.delete(organisation)
  }

  /** Forgets all organisations except the given ones. */
  retain (organisations: Set<string>): void {
    for (const organisation of this.#uses.keys()) if (!organisations.has(organisation)) this.#uses.delete(organisation)
  }

  /** Takes the units that a request costs, if there are as many. */
  take (limit: OrganisationLimit, cost: number): LedgerDecision {
    const use = this.#current(limit)
    const waitMs = this.#waitMs(use, cost)
    if (waitMs !== 0) return { granted: false, waitMs }
    this.#add(use, cost)
    return { granted: true, waitMs }
  }

  /** Counts units that were used without a grant, or returns units if negative; says whether the organisation is within its quota, and when it is again. */
  charge (limit: OrganisationLimit, cost: number): LedgerDecision {
    const use = this.#current(limit)
    if (cost >= 0) this.#add(use, cost)
    else this.#giveBack(use, -cost)
    const waitMs = this.#waitMs(use, 0)
    return { granted: waitMs === 0, waitMs }
  }

  /** Units that are left for an organisation; null if the ledger does not know it. */
  level (organisation: string): number | null {
    const use = this.#uses.get(organisation)
    return use === undefined ? null : Math.min(use.level, this.#allowance(use.limit) - use.sum)
  }

  /** What instances that may follow need to know of the organisations that were decided about since a time. */
  reports (sinceMs: number): UseReport[] {
    return [...this.#uses.values()].filter(({ usedMs }) => usedMs >= sinceMs).map(({ limit, slots, level, newest }) => {
      const profile = Array.from({ length: PROFILE_PARTS }, (_, part) => {
        const partSlots = Array.from({ length: part === PROFILE_PARTS - 1 ? SLOTS_PER_PART + 1 : SLOTS_PER_PART }, (_slot, index) => slots[(newest - part * SLOTS_PER_PART - index + KEPT_SLOTS) % KEPT_SLOTS] ?? 0)
        return Math.round(partSlots.reduce((total, units) => total + units, 0))
      })
      return { organisation: limit.organisation, fill: Math.max(0, level / this.#capacity(limit)), profile }
    })
  }

  /** Most units that may be used at once. */
  #capacity (limit: OrganisationLimit): number {
    return limit.burst + limit.perS * ADVANCE_S + toleranceOf(limit, this.#options.bounds) * toleranceShare.advance
  }

  #allowance (limit: OrganisationLimit): number {
    const { bounds, share } = this.#options
    return (windowUnits(limit, bounds) + toleranceOf(limit, bounds) * toleranceShare.coordinator) * share()
  }

  #add (use: Use, cost: number): void {
    const index = use.newest % KEPT_SLOTS
    use.slots[index] = (use.slots[index] ?? 0) + cost
    use.sum += cost
    use.level -= cost
  }

  /** Takes units out of the newest slots that have some, so that none are given back after they have left the window. */
  #giveBack (use: Use, units: number): void {
    let left = units
    for (let slot = use.newest; slot > use.newest - KEPT_SLOTS && left > 0; slot -= 1) {
      const index = slot % KEPT_SLOTS
      const returned = Math.min(left, use.slots[index] ?? 0)
      use.slots[index] = (use.slots[index] ?? 0) - returned
      use.sum -= returned
      use.level = Math.min(this.#capacity(use.limit), use.level + returned)
      left -= returned
    }
  }

  #waitMs (use: Use, cost: number): number | null {
    const { limit, level } = use
    const windowMs = this.#windowWaitMs(use, cost)
    const missing = Math.min(cost, this.#capacity(limit)) - level
    if (windowMs === null || missing <= 0) return windowMs
    const perS = limit.perS * this.#options.share()
    return perS === 0 ? null : Math.max(windowMs, Math.ceil(missing / perS * MS_PER_SECOND))
  }

  /** Time until the window has room for the units, in milliseconds; null if it never has. */
  #windowWaitMs ({ limit, slots, sum, newest }: Use, cost: number): number | null {
    const allowance = this.#allowance(limit)
    if (cost > allowance) return null
    let excess = sum + cost - allowance
    if (excess <= 0) return 0
    for (let slot = newest - SLOTS; slot <= newest; slot += 1) {
      excess -= slots[(slot + KEPT_SLOTS) % KEPT_SLOTS] ?? 0
      if (excess <= 0) return Math.ceil((slot + KEPT_SLOTS) * this.#slotMs - this.#options.nowMs())
    }
    return null
  }

  #current (limit: OrganisationLimit): Use {
    if (!this.#uses.has(limit.organisation)) this.open(limit, { level: 0 })
    const use = this.#uses.get(limit.organisation) as Use
    use.usedMs = this.#options.nowMs()
    this.#accumulate(use)
    if (limit.version > use.limit.version) use.limit = limit
    use.level = Math.min(this.#capacity(use.limit), use.level)
    const slot = this.#currentSlot()
    for (let passed = Math.max(use.newest + 1, slot - SLOTS); passed <= slot; passed += 1) {
      use.sum -= use.slots[passed % KEPT_SLOTS] ?? 0
      use.slots[passed % KEPT_SLOTS] = 0
    }
    use.newest = slot
    return use
  }

  /** Adapts what is known of the use to a new share: the use that was counted so far is taken to be spread over the instances evenly. */
  rescale (ratio: number): void {
    for (const use of this.#uses.values()) {
      for (const index of use.slots.keys()) use.slots[index] = (use.slots[index] ?? 0) * ratio
      use.sum *= ratio
      use.level *= Math.min(1, ratio)
    }
  }

  /** Empties what may be used at once, after a time in which other instances may have decided. */
  drain (): void {
    for (const use of this.#uses.values()) use.level = Math.min(0, use.level)
  }

  /** Adds the units of the time since the last call, so that a change of the share or the rate counts only from now on. */
  refresh (): void {
    for (const use of this.#uses.values()) this.#accumulate(use)
  }

  #accumulate (use: Use): void {
    const nowMs = this.#options.nowMs()
    const added = use.limit.perS * this.#options.share() * (nowMs - use.updatedMs) / MS_PER_SECOND
    use.level = Math.min(this.#capacity(use.limit), use.level + added)
    use.updatedMs = nowMs
  }

  #currentSlot (): number {
    return Math.floor(this.#options.nowMs() / this.#slotMs)
  }
}
