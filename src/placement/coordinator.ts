import type { Board } from '../board/board.js'
import { MemberState } from '../board/member.js'
import { rendezvous } from './rendezvous.js'

/**
 * Returns the id of the entry instance that coordinates a subject, for example the one that holds the reservation
 * ledger of a backend server. Instances whose views of the members differ may name different coordinators.
 */
export function coordinatorOf (board: Board, subject: string): string {
  const candidates = [board.self.id]
  for (const member of board.members.values()) {
    if (member.state === MemberState.Alive || member.state === MemberState.Suspect) candidates.push(member.id)
  }
  return rendezvous(subject, candidates) ?? board.self.id
}
