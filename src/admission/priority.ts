import type { Board } from '../board/board.js'

/** Places a late request behind every ask of a request that can still meet its target. */
const LATE_HANDICAP_MS = 60000

/** Engines serve higher numbers first; a late request comes below the classes of others. */
const LATE_PRIORITY_STEP = 10

/** Time that an ask for a place counts as having waited: the keeper serves the longest first. */
export function queueWaitMs ({ admission }: Board, request: string, nowMs: number): number {
  const waitedMs = nowMs - (admission.asking.get(request) ?? nowMs)
  return admission.late.has(request) ? waitedMs - LATE_HANDICAP_MS : waitedMs
}

/** Priority of a request on the engines: that of its class, lowered when its target is missed anyway. */
export function enginePriority ({ admission, bundle }: Board, request: { id: string, class: string }): number {
  const priority = bundle?.index.classes.get(request.class)?.priority ?? 0
  return admission.late.has(request.id) ? priority - LATE_PRIORITY_STEP : priority
}
