import type { Board } from '../board/board.js'
import type { CallAttempt, KeyRecord } from '../board/call-attempt.js'
import type { Action } from '../core/action.js'
import { CallActionKind } from './call-action.js'
import { CallOutcome } from './call-event.js'
import { hasIssuedPrefix } from './issued-key.js'
import { KEY_LIFETIME_MS } from './key-issue.js'

/** Largest number of key records that an instance holds. At about 600 bytes each, they stay within half of an instance's memory for control data. */
export const MAX_KEY_RECORDS = 100_000

/** Largest total size of the answers that an instance stores, in bytes. */
export const MAX_STORED_ANSWER_BYTES = 32 * 1024 * 1024

/** Largest number of abandoned claims listed per key. Only the claim that the key-value service holds matters; the others are listed because writes may take effect late. */
const MAX_ABANDONED_CLAIMS = 16

type KeyIdentity = Pick<KeyRecord, 'key' | 'organisation'>

/** Id of a record. The space is an unambiguous separator, since neither an organisation nor a key can contain one. */
export function recordId ({ organisation, key }: KeyIdentity): string {
  return hasIssuedPrefix(key) ? key : `${organisation} ${key}`
}

export function findRecord (board: Board, organisation: string, key: string): KeyRecord | undefined {
  return board.issuedKeys.records.get(recordId({ organisation, key }))
}

/** The record whose call the attempt dispatches; undefined for repeatable calls and for attempts that only wait for an answer. */
export function findDispatchedRecord (board: Board, attempt: CallAttempt): KeyRecord | undefined {
  if (attempt.key === null) return undefined
  const record = findRecord(board, attempt.organisation, attempt.key)
  return record?.dispatcher === attempt.call ? record : undefined
}

/** Creates or replaces the record of a key, with the attempt as its dispatcher; returns null if the table of records is full. */
export function createRecord (board: Board, attempt: CallAttempt, options: { key: string, nonce: string | null, nowMs: number }): KeyRecord | null {
  const { records } = board.issuedKeys
  const { key, nonce, nowMs } = options
  const { organisation, bodyHash, call } = attempt
  const id = recordId({ organisation, key })
  const previous = records.get(id)
  if (previous === undefined && records.size >= MAX_KEY_RECORDS) return null
  const record: KeyRecord = {
    organisation, key, bodyHash, outcome: CallOutcome.InFlight, dispatcher: call, newest: call, usedMs: nowMs, nonce, abandoned: previous?.abandoned ?? [], answer: null
  }
  // Deleting first keeps the records in order of use, so that expiry checks only the oldest.
  records.delete(id)
  records.set(id, record)
  return record
}

export function abandonClaim (record: KeyRecord): void {
  if (record.nonce === null) return
  record.abandoned = [...record.abandoned, record.nonce].slice(-MAX_ABANDONED_CLAIMS)
}

/** Stores the answer for further attempts with the same key. Drops the oldest answers while the total exceeds the byte limit, but never their records. */
export function storeAnswer (board: Board, record: KeyRecord, source: string, bytes: number): Action[] {
  const { issuedKeys } = board
  record.answer = source
  issuedKeys.answers.set(recordId(record), bytes)
  issuedKeys.answerBytes += bytes
  const actions: Action[] = []
  for (const id of issuedKeys.answers.keys()) {
    if (issuedKeys.answerBytes <= MAX_STORED_ANSWER_BYTES) break
    actions.push(...dropAnswer(board, id))
  }
  return actions
}

/** Removes records past their lifetime, except of calls in flight. Their keys have expired by then, so the calls never run again. */
export function expireRecords (board: Board, nowMs: number): Action[] {
  const { records } = board.issuedKeys
  const actions: Action[] = []
  for (const [id, record] of records) {
    if (record.usedMs + KEY_LIFETIME_MS > nowMs - EXPIRY_SLACK_MS) break
    if (record.outcome === CallOutcome.InFlight) continue
    actions.push(...dropAnswer(board, id))
    records.delete(id)
  }
  return actions
}

/** Time that a record outlives its key, in ms; it covers the resolution of issue times and one CallTick period. */
const EXPIRY_SLACK_MS = 5000

function dropAnswer ({ issuedKeys }: Board, id: string): Action[] {
  const record = issuedKeys.records.get(id)
  issuedKeys.answerBytes -= issuedKeys.answers.get(id) ?? 0
  issuedKeys.answers.delete(id)
  if (record === undefined || record.answer === null) return []
  const call = record.answer
  record.answer = null
  return [{ kind: CallActionKind.ReleaseCall, call, keepAnswer: false }]
}
