import type { Board } from '../board/board.js'
import { MemberState } from '../board/member.js'
import { issueKey, KEY_LIFETIME_MS } from '../calls/key-issue.js'
import type { CallerHandler } from './caller-listener.js'

/** Number of request keys in one address response. */
const KEYS_PER_ANSWER = 16

/** Handles `GET /v1/addresses`: returns the addresses that callers may use, how long they may use them, and request keys for calls on routes that aren't repeatable. */
export function addressHandler (board: Board): CallerHandler {
  return ({ response, organisation }) => {
    const text = JSON.stringify({
      addresses: liveAddresses(board),
      lifetimeSeconds: board.tuning.addressLifetimeMs / 1000,
      requestKeys: issueKeys(board, organisation.id),
      keyLifetimeSeconds: KEY_LIFETIME_MS / 1000
    })
    response.writeHead(200, { 'content-type': 'application/json', 'cache-control': 'no-store' })
    response.end(text)
  }
}

function liveAddresses (board: Board): string[] {
  const aliveMembers = [...board.members.values()].filter((member) => member.state === MemberState.Alive)
  const addresses = aliveMembers.map((member) => member.callerAddress)
  return board.drainingSinceMs === null ? [board.self.callerAddress, ...addresses] : addresses
}

function issueKeys (board: Board, organisation: string): string[] {
  // A key can be used only while the instance that issued it runs, and a draining instance exits soon.
  if (board.drainingSinceMs !== null) return []
  return Array.from({ length: KEYS_PER_ANSWER }, () => issueKey(board, organisation, Date.now()))
}
