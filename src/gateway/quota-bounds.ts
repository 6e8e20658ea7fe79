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

/** How the tolerance is divided; the shares that may be used in the same window sum to less than 1. */
export const toleranceShare = {
  /** Units that may be used at once besides the burst: small organisations have a few costly requests a window, and two of them may come together. */
  advance: 3 / 8,
  /** Units that the coordinator grants beyond the quota of a window, so that rounding refuses nobody within it. */
  coordinator: 1 / 16,
  /** Units that have been used and not yet been counted, or that instances grant which reach no other. */
  uncounted: 3 / 16,
  /** Units with which a new coordinator starts, whatever the one before had left. */
  handOver: 1 / 8,
  /** Units with which a deputy starts, whatever the coordinator has left. */
  deputy: 1 / 16
}

/** Share of the units of a window with which a new coordinator or a deputy starts besides, if none had been used when the coordinator last told of them: what that one had left is not used otherwise. */
export const LEFT_OVER_SHARE = 1 / 8

/** Units that an organisation may use in one window by its quota alone. */
export function windowUnits ({ perS, burst }: Limit, { windowS }: QuotaBounds): number {
  return perS * windowS + burst
}

/** Units in one window by which the quota may be exceeded. */
export function toleranceOf (limit: Limit, bounds: QuotaBounds): number {
  return windowUnits(limit, bounds) * bounds.overshoot + bounds.slack
}
