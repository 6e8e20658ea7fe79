import type { Board } from '../board/board.js'
import { MemberState } from '../board/member.js'
import { rendezvous } from './rendezvous.js'

/**
 * Returns the id of the entry instance that is the coordinator for a key, for example, if the key is the id of a backend
 * server, the one that holds its reservation ledger. Instances whose views of the members differ may name different
 * coordinators.
 */
export function coordinatorOf (board: Board, key: string): string {
  const candidates = [board.self.id]
  for (const member of board.members.values()) {
    if (member.state === MemberState.Alive || member.state === MemberState.Suspect) candidates.push(member.id)
  }
  return rendezvous(key, candidates) ?? board.self.id
}
