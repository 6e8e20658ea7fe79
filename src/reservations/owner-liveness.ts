import type { Board } from '../board/board.js'
import { type Member, MemberState } from '../board/member.js'

/** Liveness of a stream's owner according to the membership view and the instance list. */
export enum OwnerLiveness {
  /** Nothing indicates that the owner has exited. */
  PresumedAlive = 'none',
  /** Suspected, or declared dead while this instance is probably isolated itself. */
  Suspect = 'suspect',
  Dead = 'dead',
  /** The membership view shows another incarnation of the owner. */
  Replaced = 'replaced',
  /** The owner was in the instance list before and is no longer in it. */
  Departed = 'departed',
  /** The owner's process has not been seen; it may have just started. */
  Unknown = 'unknown'
}

/** Numbers of consecutive listings of a stream after which its owner is queried, and after which the stream is released if the owner does not answer. */
export interface OrphanRule {
  queryAfterListings: number
  releaseAfterListings: number
}

/** One rule for each liveness. The coordinator of a runner lists its streams every half second. */
export const orphanRules: Record<OwnerLiveness, OrphanRule> = {
  [OwnerLiveness.PresumedAlive]: { queryAfterListings: Infinity, releaseAfterListings: Infinity },
  // The query is sent early, so that the time for the answer has already passed when the owner is declared dead.
  [OwnerLiveness.Suspect]: { queryAfterListings: 1, releaseAfterListings: Infinity },
  [OwnerLiveness.Dead]: { queryAfterListings: 1, releaseAfterListings: 1 },
  // The membership view may be older than the stream; the restarted owner then answers that it needs the stream.
  [OwnerLiveness.Replaced]: { queryAfterListings: 1, releaseAfterListings: 4 },
  [OwnerLiveness.Departed]: { queryAfterListings: 1, releaseAfterListings: 4 },
  // The release comes later than a new instance takes to appear in the instance list.
  [OwnerLiveness.Unknown]: { queryAfterListings: 3, releaseAfterListings: 20 }
}

/** Minimum number of other listed instances for the isolation check; with fewer, one death may already be a majority. */
const MIN_MEMBERS_FOR_ISOLATION = 3

/** Derives the liveness of a stream's owner from the membership view and the instance list. */
export function livenessOfOwner (board: Board, { owner, incarnation }: { owner: string, incarnation: string }): OwnerLiveness {
  const member = board.members.get(owner)
  if (member === undefined) return livenessOfUnknownMember(board, owner)
  if (member.incarnation === incarnation) return livenessOfSameIncarnation(board, member)
  // A live member whose incarnation is not known yet may be the owner.
  if (member.incarnation === '' && member.state !== MemberState.Dead) return OwnerLiveness.PresumedAlive
  return livenessOfOtherIncarnation(member, incarnation)
}

function livenessOfUnknownMember (board: Board, owner: string): OwnerLiveness {
  // An instance list that does not contain this instance is no evidence about the others.
  if (!board.listedInstances.has(board.self.id)) return OwnerLiveness.PresumedAlive
  return board.departedInstances.has(owner) ? OwnerLiveness.Departed : OwnerLiveness.Unknown
}

function livenessOfSameIncarnation (board: Board, member: Member): OwnerLiveness {
  if (member.state === MemberState.Dead) return board.listedInstances.has(member.id) && seemsIsolated(board) ? OwnerLiveness.Suspect : OwnerLiveness.Dead
  // A leaving member stops answering probes deliberately, so only the instance list shows when it has exited.
  if (member.state === MemberState.Leaving && board.departedInstances.has(member.id)) return OwnerLiveness.Departed
  return member.state === MemberState.Suspect ? OwnerLiveness.Suspect : OwnerLiveness.PresumedAlive
}

function livenessOfOtherIncarnation (member: Member, incarnation: string): OwnerLiveness {
  // Incarnations are ordered: a later process of the instance has started and died, so the owner of the stream has exited as well.
  if (member.state === MemberState.Dead && incarnation < member.incarnation) return OwnerLiveness.Replaced
  const states: Record<MemberState, OwnerLiveness> = {
    [MemberState.Alive]: OwnerLiveness.Replaced,
    [MemberState.Leaving]: OwnerLiveness.Replaced,
    [MemberState.Suspect]: OwnerLiveness.Suspect,
    // The dead incarnation is unknown or older than the stream's, whose process may have started since.
    [MemberState.Dead]: OwnerLiveness.Unknown
  }
  return states[member.state]
}

/**
 * Whether this instance is probably cut off from the others, because it sees most of the listed ones dead.
 * Members that the instance list no longer contains have exited and do not count.
 */
function seemsIsolated (board: Board): boolean {
  const listed = [...board.members.values()].filter((member) => board.listedInstances.has(member.id))
  const dead = listed.filter((member) => member.state === MemberState.Dead).length
  return listed.length >= MIN_MEMBERS_FOR_ISOLATION && dead * 2 > listed.length
}
