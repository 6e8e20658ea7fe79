import type { Board } from '../board/board.js'
import { MemberState } from '../board/member.js'
import { rendezvous } from './rendezvous.js'

/** The instance that keeps a backend server's account, by this instance's view. */
export function coordinatorOf (board: Board, server: string): string {
  const candidates = [board.self.id]
  for (const member of board.members.values()) {
    if (member.state === MemberState.Alive || member.state === MemberState.Suspect) candidates.push(member.id)
  }
  return rendezvous(server, candidates) ?? board.self.id
}
