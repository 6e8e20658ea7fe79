import { type HistoryRecord, RecordKind } from '../../model/history.js'
import { disturbances, dueMs } from '../disturbance.js'
import { Guarantee, type Violation } from '../violation.js'

/** Memory of a dead request must be free after this time. */
export const RELEASE_BOUND_MS = 5000

const ENDINGS = new Set([RecordKind.RequestAnswered, RecordKind.RequestRefused, RecordKind.ConnectionLost, RecordKind.CallerGone])

/**
 * A further death counts anew: the dead instance may be the keeper that was about to release the work, and its successor
 * first has to learn of that death.
 */
const DELAYS = [RecordKind.EntryPaused, RecordKind.NetworkCut, RecordKind.EntryKilled, RecordKind.EntryExited]

/** Held work is released soon after its request ended, whichever way it ended. */
export function checkHeldMemory (records: HistoryRecord[]): Violation[] {
  const endedMs = new Map<string, number>()
  for (const record of records) {
    if (ENDINGS.has(record.kind) && record.subject !== undefined) endedMs.set(record.subject, record.atMs)
  }
  const found = disturbances(records, DELAYS)
  const lastMs = records.at(-1)?.atMs ?? 0
  const open = new Map<string, HistoryRecord>()
  const violations: Violation[] = []
  const judge = (held: HistoryRecord, untilMs: number): void => {
    const ended = endedMs.get(held.subject ?? '')
    if (ended === undefined) return
    const due = dueMs(Math.max(ended, held.atMs), RELEASE_BOUND_MS, found)
    if (untilMs <= due) return
    violations.push({ guarantee: Guarantee.NoHeldMemory, atMs: due, detail: `${held.work} held on ${held.server} until ${untilMs}, its request ended at ${ended}` })
  }
  for (const record of records) {
    const key = `${record.server} ${record.work}`
    if (record.kind === RecordKind.WorkHeld) open.set(key, record)
    if (record.kind !== RecordKind.WorkReleased) continue
    const held = open.get(key)
    if (held !== undefined) judge(held, record.atMs)
    open.delete(key)
  }
  for (const held of open.values()) judge(held, lastMs)
  return violations
}
