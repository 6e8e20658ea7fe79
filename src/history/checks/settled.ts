import { type HistoryRecord, RecordKind } from '../../model/history.js'
import { Guarantee, type Violation } from '../violation.js'

const SENT = new Set([RecordKind.RequestSent, RecordKind.CallSent])
const ENDS = new Set([RecordKind.RequestAnswered, RecordKind.RequestRefused, RecordKind.CallAnswered, RecordKind.CallRefused, RecordKind.ConnectionLost, RecordKind.CallerGone])

/** Longest deadline of the deployments, with time for the refusal to travel. */
const SETTLE_BOUND_MS = 20000

/** Every request is answered or refused; a connection is lost only with a killed instance. */
export function checkSettled (records: HistoryRecord[]): Violation[] {
  const ended = new Set<string>()
  const killed = new Set<string>()
  const lastMs = records.at(-1)?.atMs ?? 0
  const violations: Violation[] = []
  for (const { kind, attempt, entry = '', atMs } of records) {
    if (kind === RecordKind.EntryKilled || kind === RecordKind.EntryExited) killed.add(entry.split('/')[0] ?? '')
    if (ENDS.has(kind) && attempt !== undefined) ended.add(attempt)
    if (kind === RecordKind.ConnectionLost && !killed.has(entry)) violations.push({ guarantee: Guarantee.Settled, atMs, detail: `${attempt} lost its connection to the live ${entry}` })
  }
  for (const { kind, attempt = '', atMs, entry } of records) {
    if (!SENT.has(kind) || ended.has(attempt) || atMs + SETTLE_BOUND_MS > lastMs) continue
    violations.push({ guarantee: Guarantee.Settled, atMs, detail: `${attempt} at ${entry} was neither answered nor refused` })
  }
  return violations
}
