/** What decides on the place of a waiting request among the others of its service. */
export interface WaitingClaim {
  /** Whether its first event can still be sent before its objective. */
  onTime: boolean
  /** 0 is the most urgent. */
  priority: number
  /** Whether its priority has had so little that it goes first. */
  isUnderserved: boolean
  /** How much of its share its organisation has had, in steps. */
  shareUse: number
  /** Time by which its first event should be sent, in milliseconds. */
  objectiveMs: number
  /** Arrival of the caller's first attempt, in milliseconds. */
  firstRequestedMs: number
}

/** Priority of a request whose priority is underserved; lower than any other. */
const UNDERSERVED_PRIORITY = -1

/**
 * Order in which waiting requests are placed: those that can be on time before the late ones, then the more urgent ones, then those of organisations
 * that have had least of their share, then by objective. Late ones come by their first arrival, as none of them can meet its objective any more.
 */
export function compareClaims (a: WaitingClaim, b: WaitingClaim): number {
  return Number(b.onTime) - Number(a.onTime) ||
    effectivePriority(a) - effectivePriority(b) ||
    a.shareUse - b.shareUse ||
    (a.onTime ? a.objectiveMs - b.objectiveMs : a.firstRequestedMs - b.firstRequestedMs)
}

function effectivePriority ({ priority, isUnderserved }: WaitingClaim): number {
  return isUnderserved ? UNDERSERVED_PRIORITY : priority
}
