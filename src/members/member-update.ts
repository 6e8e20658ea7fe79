import type { Board } from '../board/board.js'
import { type Member, MemberState } from '../board/member.js'
import type { MemberUpdate } from './member-event.js'

/** Between claims with the same counters, the more severe state wins, since only the member itself can refute it. */
const severity: Record<MemberState, number> = {
  [MemberState.Alive]: 0,
  [MemberState.Leaving]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Dead]: 2
}

type Claim = Pick<MemberUpdate, 'incarnation' | 'refutation' | 'state'>

/** Whether the claim replaces the current one: incarnation decides, then refutation, then state. */
export function supersedes (claim: Claim, current: Claim): boolean {
  if (claim.incarnation !== current.incarnation) return claim.incarnation > current.incarnation
  if (claim.refutation !== current.refutation) return claim.refutation > current.refutation
  return severity[claim.state] > severity[current.state]
}

export function updateOf (member: Member): MemberUpdate {
  const { id, incarnation, refutation, state, peerAddress, callerAddress, failureDomain, region } = member
  return { id, incarnation, refutation, state, peerAddress, callerAddress, failureDomain, region }
}

/** This instance's own state as an update. */
export function selfUpdate (board: Board): MemberUpdate {
  const state = board.drainingSinceMs === null ? MemberState.Alive : MemberState.Leaving
  return { ...board.self, refutation: board.membership.refutation, state }
}
