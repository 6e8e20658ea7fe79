import type { OrganisationUsage } from '../board/admission-table.js'
import type { Board } from '../board/board.js'
import { MemberState } from '../board/member.js'
import type { Organisation } from '../bundles/bundle.js'

/**
 * Burst that an organisation may use on one instance, in seconds of the instance's share of the rate limit; the long-run
 * rate stays within the limit. Arrivals are uneven: with a burst of 2 s, an instance whose share was an eighth of 6
 * requests per second refused every fifth request, although requests arrived at only half the limit.
 */
export const BURST_SECONDS = 8

/** Number of entry instances that serve requests, including this one. */
export function servingInstanceCount (board: Board): number {
  let count = 1
  for (const { state } of board.members.values()) {
    if (state === MemberState.Alive || state === MemberState.Suspect) count += 1
  }
  return count
}

/**
 * This instance's share of an organisation's limits. Each serving instance has an equal share, so that no request needs
 * coordination. The first instances by id get the remainder of the division, so that the shares of concurrency add up to
 * the limit while the instances agree on the members. An organisation whose limit is below the number of instances may
 * run one request at a time on each of them.
 */
export function limitShare (board: Board, { concurrency, requestsPerSecond }: Organisation): { concurrency: number, requestsPerSecond: number } {
  const instances = servingInstanceCount(board)
  const extra = rankOf(board) < concurrency % instances ? 1 : 0
  return {
    concurrency: Math.max(1, Math.floor(concurrency / instances) + extra),
    requestsPerSecond: requestsPerSecond / instances
  }
}

/** Counts one request against this instance's share of the organisation's limits, or returns why it is not allowed and after what time to retry. */
export function acquireQuota (board: Board, organisation: Organisation, nowMs: number): { allowed: true } | { allowed: false, detail: string, retryAfterMs: number } {
  const share = limitShare(board, organisation)
  const usage = usageOf(board, organisation.id, nowMs, share.requestsPerSecond)
  const burst = Math.max(1, share.requestsPerSecond * BURST_SECONDS)
  usage.allowance = Math.min(burst, usage.allowance + (nowMs - usage.filledMs) / 1000 * share.requestsPerSecond)
  usage.filledMs = nowMs
  if (usage.inFlight >= share.concurrency) {
    return { allowed: false, detail: `${organisation.concurrency} requests at once are allowed`, retryAfterMs: CONCURRENCY_RETRY_MS }
  }
  if (usage.allowance < 1) {
    return { allowed: false, detail: `${organisation.requestsPerSecond} requests a second are allowed`, retryAfterMs: (1 - usage.allowance) / share.requestsPerSecond * 1000 }
  }
  usage.allowance -= 1
  usage.inFlight += 1
  return { allowed: true }
}

/** Time after which a request above the concurrency limit may be retried, in ms. */
const CONCURRENCY_RETRY_MS = 1000

/** Releases one request from the organisation's concurrency limit. */
export function releaseQuota (board: Board, organisation: string): void {
  const usage = board.admission.organisations.get(organisation)
  if (usage !== undefined) usage.inFlight = Math.max(0, usage.inFlight - 1)
}

function usageOf (board: Board, organisation: string, nowMs: number, requestsPerSecond: number): OrganisationUsage {
  const { organisations } = board.admission
  let usage = organisations.get(organisation)
  if (usage === undefined) {
    usage = { inFlight: 0, allowance: Math.max(1, requestsPerSecond * BURST_SECONDS), filledMs: nowMs, lastTag: 0 }
    organisations.set(organisation, usage)
  }
  return usage
}

/** Number of serving instances whose id sorts before the id of this one. */
function rankOf (board: Board): number {
  let rank = 0
  for (const { id, state } of board.members.values()) {
    if ((state === MemberState.Alive || state === MemberState.Suspect) && id < board.self.id) rank += 1
  }
  return rank
}
