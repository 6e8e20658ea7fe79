import type { Board } from '../board/board.js'
import type { CallAttempt, CallUsage } from '../board/call-attempt.js'

/** Retries that a service may get at once before first tries have earned new ones. */
const MAX_RETRY_TOKENS = 10

/** Each first try earns this share of a retry, so that retries add at most a fifth to the load. */
const RETRY_SHARE = 0.2

const MS_PER_SECOND = 1000

/** Takes a place for the attempt in the limits of its organisation; false if there is none. */
export function acquireQuota (board: Board, attempt: CallAttempt, nowMs: number): boolean {
  const limits = board.bundle?.index.organisations.get(attempt.organisation)
  if (limits === undefined) return false
  const usage = usageOf(board, attempt.organisation, nowMs, limits.requestsPerSecond)
  if (usage.inFlight >= limits.concurrency || usage.tokens < 1) return false
  usage.tokens -= 1
  usage.inFlight += 1
  attempt.counted = true
  return true
}

export function releaseQuota (board: Board, attempt: CallAttempt): void {
  const usage = board.callUsage.get(attempt.organisation)
  if (!attempt.counted || usage === undefined) return
  attempt.counted = false
  usage.inFlight -= 1
}

/** Forgets organisations without calls, whose bucket would be full again. */
export function forgetIdleUsage (board: Board, nowMs: number): void {
  for (const [organisation, usage] of board.callUsage) {
    if (usage.inFlight === 0 && nowMs - usage.refilledMs > 2 * MS_PER_SECOND) board.callUsage.delete(organisation)
  }
}

export function addRetryShare (board: Board, service: string): void {
  const tokens = board.retryTokens.get(service) ?? MAX_RETRY_TOKENS
  board.retryTokens.set(service, Math.min(MAX_RETRY_TOKENS, tokens + RETRY_SHARE))
}

/** Spends one retry of the service; false if its budget is used up. */
export function takeRetry (board: Board, service: string): boolean {
  const tokens = board.retryTokens.get(service) ?? MAX_RETRY_TOKENS
  if (tokens < 1) return false
  board.retryTokens.set(service, tokens - 1)
  return true
}

function usageOf (board: Board, organisation: string, nowMs: number, perSecond: number): CallUsage {
  // At least one whole request must fit in the bucket, also for rates below one a second.
  const burst = Math.max(1, perSecond)
  const usage = board.callUsage.get(organisation) ?? { inFlight: 0, tokens: burst, refilledMs: nowMs }
  const earned = Math.max(0, nowMs - usage.refilledMs) * perSecond / MS_PER_SECOND
  usage.tokens = Math.min(burst, usage.tokens + earned)
  usage.refilledMs = nowMs
  board.callUsage.set(organisation, usage)
  return usage
}
