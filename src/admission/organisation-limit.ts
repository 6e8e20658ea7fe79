import type { OrganisationUsage } from '../board/admission-table.js'
import type { Board } from '../board/board.js'
import { MemberState } from '../board/member.js'
import type { Organisation } from '../bundles/bundle.js'

/**
 * A burst may use up an instance's part for this time at once; the long-run rate stays within the limit. With 2 s, an
 * eighth of 6 requests a second refused every fifth request at half the limit, since arrivals are uneven.
 */
export const BURST_SECONDS = 8

/** Entry instances that take requests, this one included. */
export function servingInstanceCount (board: Board): number {
  let count = 1
  for (const { state } of board.members.values()) {
    if (state === MemberState.Alive || state === MemberState.Suspect) count += 1
  }
  return count
}

/**
 * This instance's part of an organisation's limits. Each live instance takes an equal part, so that no request needs
 * coordination. The first instances by id take what the division leaves over, so that the parts add up to the limit
 * wherever the views agree; an organisation with a smaller limit than there are instances gets one place on each.
 */
export function limitShare (board: Board, { concurrency, requestsPerSecond }: Organisation): { concurrency: number, requestsPerSecond: number } {
  const instances = servingInstanceCount(board)
  const extra = rankOf(board) < concurrency % instances ? 1 : 0
  return {
    concurrency: Math.max(1, Math.floor(concurrency / instances) + extra),
    requestsPerSecond: requestsPerSecond / instances
  }
}

/** Takes one request from the organisation's limits, or tells when to come again. */
export function acquireQuota (board: Board, organisation: Organisation, nowMs: number): { allowed: true } | { allowed: false, detail: string, retryAfterMs: number } {
  const share = limitShare(board, organisation)
  const use = useOf(board, organisation.id, nowMs, share.requestsPerSecond)
  const burst = Math.max(1, share.requestsPerSecond * BURST_SECONDS)
  use.allowance = Math.min(burst, use.allowance + (nowMs - use.filledMs) / 1000 * share.requestsPerSecond)
  use.filledMs = nowMs
  if (use.inFlight >= share.concurrency) {
    return { allowed: false, detail: `${organisation.concurrency} requests at once are allowed`, retryAfterMs: CONCURRENCY_RETRY_MS }
  }
  if (use.allowance < 1) {
    return { allowed: false, detail: `${organisation.requestsPerSecond} requests a second are allowed`, retryAfterMs: (1 - use.allowance) / share.requestsPerSecond * 1000 }
  }
  use.allowance -= 1
  use.inFlight += 1
  return { allowed: true }
}

const CONCURRENCY_RETRY_MS = 1000

/** Gives back a place of the concurrency limit. */
export function releaseQuota (board: Board, organisation: string): void {
  const use = board.admission.organisations.get(organisation)
  if (use !== undefined) use.inFlight = Math.max(0, use.inFlight - 1)
}

function useOf (board: Board, organisation: string, nowMs: number, perSecond: number): OrganisationUsage {
  const { organisations } = board.admission
  let use = organisations.get(organisation)
  if (use === undefined) {
    use = { inFlight: 0, allowance: Math.max(1, perSecond * BURST_SECONDS), filledMs: nowMs, lastTag: 0 }
    organisations.set(organisation, use)
  }
  return use
}

/** How many live instances come before this one by id. */
function rankOf (board: Board): number {
  let rank = 0
  for (const { id, state } of board.members.values()) {
    if ((state === MemberState.Alive || state === MemberState.Suspect) && id < board.self.id) rank += 1
  }
  return rank
}
