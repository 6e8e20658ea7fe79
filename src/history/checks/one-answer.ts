import { hasIssuedPrefix } from '../../calls/issued-key.js'
import { type HistoryRecord, RecordKind } from '../../model/history.js'
import { type Disturbance, disturbances } from '../disturbance.js'
import { Guarantee, type Violation } from '../violation.js'

const SENT = new Set([RecordKind.RequestSent, RecordKind.CallSent])
const ANSWERED = new Set([RecordKind.RequestAnswered, RecordKind.CallAnswered])
const REFUSED = new Set([RecordKind.RequestRefused, RecordKind.CallRefused])

/** Time for a newer attempt to reach the instance that answers the older one. */
const OVERLAP_GRACE_MS = 50

/** Faults that can delay one of two attempts on its way to the instance that decides between them. */
const DELAYS = [RecordKind.EntryPaused, RecordKind.NetworkCut, RecordKind.DegradedFrom]

/** Attempts with a caller's own key wait for the key-value service as well. */
const OWN_KEY_DELAYS = [...DELAYS, RecordKind.KeyValueDown]

/** An attempt gets one answer or refusal, and of overlapping attempts of one request only the newest gets an answer. */
export function checkOneAnswer (records: HistoryRecord[]): Violation[] {
  const violations: Violation[] = []
  const replies = new Map<string, number>()
  const sent = new Map<string, HistoryRecord>()
  const answersBySubject = new Map<string, HistoryRecord[]>()
  for (const record of records) {
    const { attempt = '', subject = '' } = record
    if (SENT.has(record.kind)) sent.set(attempt, record)
    if (!ANSWERED.has(record.kind) && !REFUSED.has(record.kind)) continue
    const count = (replies.get(attempt) ?? 0) + 1
    replies.set(attempt, count)
    if (count > 1) violations.push({ guarantee: Guarantee.OneAnswer, atMs: record.atMs, detail: `${attempt} got ${count} replies` })
    if (ANSWERED.has(record.kind)) answersBySubject.set(subject, [...answersBySubject.get(subject) ?? [], record])
  }
  const delaysOfIssued = disturbances(records, DELAYS)
  const delaysOfOwn = disturbances(records, OWN_KEY_DELAYS)
  for (const [subject, answers] of answersBySubject) {
    const delays = hasIssuedPrefix(subject.slice(subject.indexOf('/') + 1)) ? delaysOfIssued : delaysOfOwn
    for (const older of answers) {
      const newer = answers.find((other) => overlaps(older, other, sent) && !mayCross(older, other, sent, delays))
      if (newer !== undefined) violations.push({ guarantee: Guarantee.OneAnswer, atMs: newer.atMs, detail: `${subject}: ${older.attempt} and ${newer.attempt} were open together and both answered` })
    }
  }
  return violations
}

function overlaps (older: HistoryRecord, newer: HistoryRecord, sent: Map<string, HistoryRecord>): boolean {
  const olderSent = sent.get(older.attempt ?? '')?.atMs ?? 0
  const newerSent = sent.get(newer.attempt ?? '')?.atMs ?? 0
  return older.attempt !== newer.attempt && newerSent > olderSent && newerSent + OVERLAP_GRACE_MS < older.atMs
}

/**
 * The instance that decides sees attempts through two instances in the order in which they reach it. A fault that delays
 * one of them swaps that order, and no instance can know: both connections then get the one stored answer. Attempts at the
 * same instance cross only if that instance was paused and finds both when it goes on.
 */
function mayCross (older: HistoryRecord, newer: HistoryRecord, sent: Map<string, HistoryRecord>, delays: Disturbance[]): boolean {
  const from = sent.get(older.attempt ?? '')
  if (from === undefined) return false
  const sameEntry = from.entry === sent.get(newer.attempt ?? '')?.entry
  return delays.some(({ fromMs, untilMs, entry }) => fromMs <= older.atMs && untilMs >= from.atMs && (!sameEntry || entry === from.entry))
}
