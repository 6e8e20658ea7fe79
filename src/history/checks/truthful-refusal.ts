import { RefusalClass, refusalDescriptions } from '../../errors/refusal.js'
import { type HistoryRecord, RecordKind } from '../../model/history.js'
import { Guarantee, type Violation } from '../violation.js'

/** A refusal that says 'not run' is true: neither a service nor an engine ever worked on that attempt. */
export function checkTruthfulRefusal (records: HistoryRecord[]): Violation[] {
  const ranAttempts = new Set<string>()
  const computedSubjects = new Map<string, string>()
  for (const record of records) {
    if (record.kind === RecordKind.ServiceRan) ranAttempts.add(record.attempt ?? '')
    if (record.kind === RecordKind.PrefillComputed) computedSubjects.set(record.subject ?? '', record.server ?? '')
  }
  const violations: Violation[] = []
  for (const record of records) {
    if (record.kind !== RecordKind.CallRefused && record.kind !== RecordKind.RequestRefused) continue
    if (record.refusal === undefined || refusalDescriptions[record.refusal].class !== RefusalClass.NotRun) continue
    const ran = record.kind === RecordKind.CallRefused ? ranAttempts.has(record.attempt ?? '') : computedSubjects.has(record.subject ?? '')
    if (ran) violations.push({ guarantee: Guarantee.TruthfulRefusal, atMs: record.atMs, detail: `${record.attempt} (${record.subject}) was refused as ${record.refusal}, but it ran` })
  }
  return violations
}
