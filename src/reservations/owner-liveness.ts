import type { Board } from '../board/board.js'
import { type Member, MemberState } from '../board/member.js'

/** Why the owner of a stream may be gone. */
export enum OwnerLiveness {
  None = 'none',
  Suspect = 'suspect',
  Dead = 'dead',
  /** The live view shows another incarnation of the owner. */
  Replaced = 'replaced',
  /** The owner was in the instance list and is no longer. */
  Departed = 'departed',
  /** The owner has never been seen: it may have just started. */
  Unknown = 'unknown'
}

/** When an owner in doubt is asked and when its silence releases the stream. */
export interface DoubtRule {
  askAfterListings: number
  releaseAfterListings: number
}

/** Listings come each half second. */
export const doubtRules: Record<OwnerLiveness, DoubtRule> = {
  [OwnerLiveness.None]: { askAfterListings: Infinity, releaseAfterListings: Infinity },
  // Asked early, so that no further wait is needed when the owner is declared dead.
  [OwnerLiveness.Suspect]: { askAfterListings: 1, releaseAfterListings: Infinity },
  [OwnerLiveness.Dead]: { askAfterListings: 1, releaseAfterListings: 1 },
  // The view may be older than the stream: a restarted owner then answers for it.
  [OwnerLiveness.Replaced]: { askAfterListings: 1, releaseAfterListings: 4 },
  [OwnerLiveness.Departed]: { askAfterListings: 1, releaseAfterListings: 4 },
  // Longer than the instance list lags behind the start of an instance.
  [OwnerLiveness.Unknown]: { askAfterListings: 3, releaseAfterListings: 20 }
}

/** Below this number of members one death is already most of them. */
const MIN_MEMBERS_TO_DOUBT_SELF = 3

/** What the live view says against the owner of a stream. */
export function ownerLiveness (board: Board, { owner, incarnation }: { owner: string, incarnation: string }): OwnerLiveness {
  const member = board.members.get(owner)
  if (member === undefined) return doubtOfAbsent(board, owner)
  if (member.incarnation === incarnation) return doubtOfKnown(board, member)
  // Until its incarnation is known, a live member may well be the owner.
  if (member.incarnation === '' && member.state !== MemberState.Dead) return OwnerLiveness.None
  return doubtOfReplaced(member, incarnation)
}

function doubtOfAbsent (board: Board, owner: string): OwnerLiveness {
  // A list without this instance says nothing about the others.
  if (!board.listedInstances.has(board.self.id)) return OwnerLiveness.None
  return board.departedInstances.has(owner) ? OwnerLiveness.Departed : OwnerLiveness.Unknown
}

function doubtOfKnown (board: Board, member: Member): OwnerLiveness {
  if (member.state === MemberState.Dead) return board.listedInstances.has(member.id) && seemsCutOff(board) ? OwnerLiveness.Suspect : OwnerLiveness.Dead
  // A leaving member stops answering probes by itself, so that only the list tells when it is gone.
  if (member.state === MemberState.Leaving && board.departedInstances.has(member.id)) return OwnerLiveness.Departed
  return member.state === MemberState.Suspect ? OwnerLiveness.Suspect : OwnerLiveness.None
}

function doubtOfReplaced (member: Member, incarnation: string): OwnerLiveness {
  // Incarnations are ordered: a later process of the instance has run and died, so the owner of the stream is gone too.
  if (member.state === MemberState.Dead && incarnation < member.incarnation) return OwnerLiveness.Replaced
  const states: Record<MemberState, OwnerLiveness> = {
    [MemberState.Alive]: OwnerLiveness.Replaced,
    [MemberState.Leaving]: OwnerLiveness.Replaced,
    [MemberState.Suspect]: OwnerLiveness.Suspect,
    // The dead incarnation is not the stream's, whose process may have started since.
    [MemberState.Dead]: OwnerLiveness.Unknown
  }
  return states[member.state]
}

/** An instance that sees most listed others dead is more likely cut off itself; those that the list dropped are gone. */
function seemsCutOff (board: Board): boolean {
  const listed = [...board.members.values()].filter((member) => board.listedInstances.has(member.id))
  const dead = listed.filter((member) => member.state === MemberState.Dead).length
  return listed.length >= MIN_MEMBERS_TO_DOUBT_SELF && dead * 2 > listed.length
}
