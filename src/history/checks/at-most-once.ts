import { type HistoryRecord, RecordKind } from '../../model/history.js'
import { Guarantee, type Violation } from '../violation.js'

/** Calls under one key run at most once, however often and wherever they are sent. */
export function checkAtMostOnce (records: HistoryRecord[]): Violation[] {
  const runs = new Map<string, HistoryRecord[]>()
  for (const record of records) {
    if (record.kind !== RecordKind.ServiceRan || record.subject?.startsWith(REPEATABLE_PREFIX) === true) continue
    runs.set(record.subject ?? '', [...runs.get(record.subject ?? '') ?? [], record])
  }
  const violations: Violation[] = []
  for (const [subject, found] of runs) {
    const second = found[1]
    if (second !== undefined) violations.push({ guarantee: Guarantee.AtMostOnce, atMs: second.atMs, detail: `${subject} ran ${found.length} times` })
  }
  return violations
}

/** Subjects of calls on routes that may be repeated. */
export const REPEATABLE_PREFIX = 'repeatable/'
