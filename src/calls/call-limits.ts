import type { Board } from '../board/board.js'
import type { CallAttempt, CallUsage } from '../board/call-attempt.js'

/** Capacity of a service's retry token bucket, in retries; the bucket starts full. */
const MAX_RETRY_TOKENS = 10

/** Retries that each first try adds to the bucket, so that retries add at most a fifth to the load. */
const RETRY_TOKENS_PER_FIRST_TRY = 0.2

const MS_PER_SECOND = 1000

/** Counts the attempt against the concurrency and rate limits of its organisation; returns false if it exceeds one or the organisation is unknown. */
export function acquireQuota (board: Board, attempt: CallAttempt, nowMs: number): boolean {
  const limits = board.bundle?.index.organisations.get(attempt.organisation)
  if (limits === undefined) return false
  const usage = refillUsage(board, attempt.organisation, nowMs, limits.requestsPerSecond)
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

/** Evicts the usage of organisations that have had no call for two seconds; their token buckets are full again by then, unless the rate is below one request in two seconds. */
export function evictIdleUsage (board: Board, nowMs: number): void {
  for (const [organisation, usage] of board.callUsage) {
    if (usage.inFlight === 0 && nowMs - usage.refilledMs > 2 * MS_PER_SECOND) board.callUsage.delete(organisation)
  }
}

/** Adds the share of a retry token that a first try earns. */
export function creditRetryTokens (board: Board, service: string): void {
  const tokens = board.retryTokens.get(service) ?? MAX_RETRY_TOKENS
  board.retryTokens.set(service, Math.min(MAX_RETRY_TOKENS, tokens + RETRY_TOKENS_PER_FIRST_TRY))
}

/** Consumes one retry token of the service; returns false if none is left. */
export function consumeRetryToken (board: Board, service: string): boolean {
  const tokens = board.retryTokens.get(service) ?? MAX_RETRY_TOKENS
  if (tokens < 1) return false
  board.retryTokens.set(service, tokens - 1)
  return true
}

function refillUsage (board: Board, organisation: string, nowMs: number, requestsPerSecond: number): CallUsage {
  // The bucket must hold at least one whole request, even for rates below one per second.
  const burst = Math.max(1, requestsPerSecond)
  const usage = board.callUsage.get(organisation) ?? { inFlight: 0, tokens: burst, refilledMs: nowMs }
  const refill = Math.max(0, nowMs - usage.refilledMs) * requestsPerSecond / MS_PER_SECOND
  usage.tokens = Math.min(burst, usage.tokens + refill)
  usage.refilledMs = nowMs
  board.callUsage.set(organisation, usage)
  return usage
}
