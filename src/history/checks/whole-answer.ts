import { type HistoryRecord, RecordKind } from '../../model/history.js'
import { Guarantee, type Violation } from '../violation.js'

/** Every answer is the whole answer to the request of that very attempt. */
export function checkWholeAnswer (records: HistoryRecord[]): Violation[] {
  const expected = new Map<string, string>()
  const violations: Violation[] = []
  for (const record of records) {
    const attempt = record.attempt ?? ''
    if (record.kind === RecordKind.RequestSent) expected.set(attempt, (record.expectedTokens ?? []).join(' '))
    if (record.kind === RecordKind.CallSent) expected.set(attempt, `answer-of-${record.subject}`)
    if (record.kind !== RecordKind.RequestAnswered && record.kind !== RecordKind.CallAnswered) continue
    const got = (record.tokens ?? []).join(' ')
    if (got === expected.get(attempt)) continue
    violations.push({ guarantee: Guarantee.WholeAnswer, atMs: record.atMs, detail: `${attempt} got '${got}', not '${expected.get(attempt)}'` })
  }
  return violations
}
