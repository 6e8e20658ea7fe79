import { type HistoryRecord, RecordKind } from '../../model/history.js'
import { disturbances, dueMs } from '../disturbance.js'
import { Guarantee, type Violation } from '../violation.js'

/** A leaving backend server gets no new work after this time. */
export const LEAVING_BOUND_MS = 5000

const NEW_WORK = new Set([RecordKind.WorkHeld, RecordKind.ServiceRan])

export function checkLeavingServer (records: HistoryRecord[]): Violation[] {
  const leavingMs = new Map<string, number>()
  const found = disturbances(records, [RecordKind.EntryPaused, RecordKind.NetworkCut])
  const violations: Violation[] = []
  for (const record of records) {
    const server = record.server ?? ''
    if (record.kind === RecordKind.ServerLeaving) leavingMs.set(server, record.atMs)
    const since = leavingMs.get(server)
    if (since === undefined || !NEW_WORK.has(record.kind)) continue
    if (record.atMs <= dueMs(since, LEAVING_BOUND_MS, found)) continue
    violations.push({ guarantee: Guarantee.LeavingServer, atMs: record.atMs, detail: `${server} was told to leave at ${since} and got ${record.work ?? record.subject}` })
  }
  return violations
}
