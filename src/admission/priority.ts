import type { Board } from '../board/board.js'

/** Reduction of the reported wait of a late request, in ms; puts it behind all reservation requests that can still meet their target. */
const LATE_WAIT_PENALTY_MS = 60000

/** Reduction of the priority of a late request, to below all classes of other requests; engines serve higher numbers first. */
const LATE_PRIORITY_PENALTY = 10

/** Time since admission that a reservation request reports to the coordinator, which serves the longest wait first; negative for a late request. */
export function reportedWaitMs ({ admission }: Board, request: string, nowMs: number): number {
  const waitedMs = nowMs - (admission.asking.get(request) ?? nowMs)
  return admission.late.has(request) ? waitedMs - LATE_WAIT_PENALTY_MS : waitedMs
}

/** Priority of a request on the engines: the priority of its class, reduced if the request cannot meet its first-token target. */
export function enginePriority ({ admission, bundle }: Board, request: { id: string, class: string }): number {
  const priority = bundle?.index.classes.get(request.class)?.priority ?? 0
  return admission.late.has(request.id) ? priority - LATE_PRIORITY_PENALTY : priority
}
