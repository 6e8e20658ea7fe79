import type { BackendServer } from '../board/backend-server.js'

/** Number of consecutive failures that opens the breaker. */
const OPEN_AFTER_FAILURES = 3

/** Time until an open breaker lets a trial request through, in ms; it doubles with each failed trial. */
const OPEN_MS = 1000

/** Longest time until the next trial request, in ms. */
const MAX_OPEN_MS = 30000

/** Whether the server's breaker allows new work; a half-open breaker allows one trial request at a time. */
export function allowsRequest (server: BackendServer, nowMs: number): boolean {
  const { breaker } = server
  if (breaker.failures < OPEN_AFTER_FAILURES) return true
  return breaker.openUntilMs <= nowMs && !breaker.trial
}

/** Marks a trial request as in flight if the breaker is not closed; must be called whenever work is sent to the server. */
export function recordStart (server: BackendServer): void {
  if (server.breaker.failures >= OPEN_AFTER_FAILURES) server.breaker.trial = true
}

export function recordSuccess (server: BackendServer): void {
  server.breaker = { failures: 0, openUntilMs: 0, trial: false }
}

export function recordFailure (server: BackendServer, nowMs: number): void {
  const { breaker } = server
  breaker.failures += 1
  breaker.trial = false
  if (breaker.failures < OPEN_AFTER_FAILURES) return
  const doublings = breaker.failures - OPEN_AFTER_FAILURES
  breaker.openUntilMs = nowMs + Math.min(MAX_OPEN_MS, OPEN_MS * 2 ** doublings)
}
