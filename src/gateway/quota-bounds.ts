import type { Quota } from './configuration.js'

/** How exactly quotas have to hold. */
export interface QuotaBounds {
  /** Length of the window in which an organisation's use is judged, in seconds. */
  windowS: number
  /** Share of the quota in a window by which it may be exceeded. */
  overshoot: number
  /** Units by which it may be exceeded besides. */
  slack: number
}

type Limit = Pick<Quota, 'perS' | 'burst'>

/** How the tolerance is divided; the shares sum to less than 1, as several deputies may act in one window. */
export const toleranceShare = {
  /** Burst of callers in addition to the quota's own: small organisations have a few costly requests a window, and two of them may come together. */
  burst: 3 / 8,
  /** Units that have been used and not yet been counted, or that instances grant which reach no other. */
  uncounted: 3 / 16,
  /** Units with which the bucket of a new coordinator starts, whatever the one before had left. */
  handOver: 1 / 8,
  /** Units with which the bucket of a deputy starts, whatever the coordinator has left. */
  deputy: 1 / 16,
  /** Units with which either starts besides if the coordinator's bucket was full when it last told of it: what it had left is not used otherwise. */
  leftOver: 3 / 16
}

/** Units that an organisation may use in one window by its quota alone. */
export function windowUnits ({ perS, burst }: Limit, { windowS }: QuotaBounds): number {
  return perS * windowS + burst
}

/** Units in one window by which the quota may be exceeded. */
export function toleranceOf (limit: Limit, bounds: QuotaBounds): number {
  return windowUnits(limit, bounds) * bounds.overshoot + bounds.slack
}
