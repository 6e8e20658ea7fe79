import { createHmac } from 'node:crypto'
import type { Board } from '../board/board.js'
import { formatIssuedKey, type IssuedKey } from './issued-key.js'

/** How long a key and the record of its call are valid, in ms. Callers receive this value, so it is part of the interface. */
export const KEY_LIFETIME_MS = 30 * 60 * 1000

/** Resolution of the stored issue times, in ms; it limits how many of them are stored. */
const ISSUE_TIME_RESOLUTION_MS = 1000

/** Length of a key's tag, in hexadecimal digits. */
const TAG_LENGTH = 16

/** Issues the next key of this incarnation to an organisation. */
export function issueKey (board: Board, organisation: string, nowMs: number): string {
  const { issuedKeys, self } = board
  issuedKeys.lastNumber += 1
  const number = issuedKeys.lastNumber
  const lastMark = issuedKeys.marks.at(-1)
  if (lastMark !== undefined && nowMs - lastMark.issuedMs < ISSUE_TIME_RESOLUTION_MS) lastMark.number = number
  else issuedKeys.marks.push({ number, issuedMs: nowMs })
  return formatIssuedKey({ instance: self.id, incarnation: self.incarnation, number, tag: computeTag(board, organisation, number) })
}

/** Whether this incarnation issued the key to the organisation. */
export function isIssuedTo (board: Board, organisation: string, { incarnation, number, tag }: IssuedKey): boolean {
  if (incarnation !== board.self.incarnation || number > board.issuedKeys.lastNumber) return false
  return tag === computeTag(board, organisation, number)
}

/** Raises `expiredNumber`, the number up to which keys have expired. */
export function expireIssuedKeys ({ issuedKeys }: Board, nowMs: number): void {
  const { marks } = issuedKeys
  // The number of a mark may have been issued up to one resolution period after the time of the mark.
  while (marks[0] !== undefined && marks[0].issuedMs + ISSUE_TIME_RESOLUTION_MS + KEY_LIFETIME_MS <= nowMs) {
    issuedKeys.expiredNumber = marks[0].number
    marks.shift()
  }
}

function computeTag ({ issuedKeys, self }: Board, organisation: string, number: number): string {
  const text = `${self.incarnation}\n${organisation}\n${number}`
  return createHmac('sha256', issuedKeys.secret).update(text).digest('hex').slice(0, TAG_LENGTH)
}
