/** A point in the history of the platform's store. When the store returns from a copy, its era rises and its revisions go back to that of the copy, so revisions are comparable only within an era. */
export interface StorePosition {
  era: number
  revision: number
}

/** Negative if `a` is older than `b`, positive if it is newer, 0 if they are equal. */
export function comparePositions (a: StorePosition, b: StorePosition): number {
  return a.era - b.era || a.revision - b.revision
}
