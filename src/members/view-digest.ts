import xxhash from 'xxhash-wasm'
import type { Board } from '../board/board.js'
import { MemberState } from '../board/member.js'
import { selfUpdate } from './member-update.js'

const { h32 } = await xxhash()

/** Instances with the same digest see the same members in the same states. Dead members do not count, since instances evict them at different times. */
export function viewDigest (board: Board): number {
  const { membership } = board
  membership.digest ??= computeDigest(board)
  return membership.digest
}

function computeDigest (board: Board): number {
  let sum = h32(claimText(selfUpdate(board)))
  for (const member of board.members.values()) {
    if (member.state === MemberState.Dead || member.incarnation === '') continue
    sum = (sum + h32(claimText(member))) >>> 0
  }
  return sum
}

/** The text of a claim that enters the digest. Leaving counts as alive, since an instance may know of it from the instance list alone. */
function claimText ({ id, incarnation, refutation, state }: { id: string, incarnation: string, refutation: number, state: MemberState }): string {
  return `${id} ${incarnation} ${refutation} ${state === MemberState.Suspect ? 1 : 0}`
}
