import { type HistoryRecord, RecordKind } from '../../model/history.js'
import { disturbances, dueMs } from '../disturbance.js'
import { Guarantee, type Violation } from '../violation.js'

/** An accepted bundle is in force on every instance after this time. */
export const IN_FORCE_BOUND_MS = 8000

const DISTURBANCES = [RecordKind.EntryPaused, RecordKind.NetworkCut, RecordKind.KeyValueDown]

/** Each accepted version, or a higher one, comes into force on every instance that lives long enough. */
export function checkBundleInForce (records: HistoryRecord[]): Violation[] {
  const found = disturbances(records, DISTURBANCES)
  const lastMs = records.at(-1)?.atMs ?? 0
  const violations: Violation[] = []
  for (const accepted of records.filter((record) => record.kind === RecordKind.BundleAccepted)) {
    const due = dueMs(accepted.atMs, IN_FORCE_BOUND_MS, found)
    if (due > lastMs) continue
    for (const entry of instancesAlive(records, accepted.atMs, due)) {
      const inForce = records.some((record) => record.kind === RecordKind.BundleInForce && record.entry === entry && record.atMs <= due && (record.version ?? 0) >= (accepted.version ?? 0))
      if (!inForce) violations.push({ guarantee: Guarantee.BundleInForce, atMs: due, detail: `version ${accepted.version} is not in force on ${entry}` })
    }
  }
  return violations
}

/** Instances seen before the first moment that have not ended by the second. */
function instancesAlive (records: HistoryRecord[], fromMs: number, untilMs: number): string[] {
  const alive = new Set<string>()
  for (const { kind, entry, atMs } of records) {
    if (entry === undefined) continue
    if (kind === RecordKind.BundleInForce && atMs <= fromMs) alive.add(entry)
    if ((kind === RecordKind.EntryKilled || kind === RecordKind.EntryExited) && atMs <= untilMs) alive.delete(entry)
  }
  return [...alive]
}

/** No incarnation puts a lower version in force than it had. */
export function checkBundleNeverReverts (records: HistoryRecord[]): Violation[] {
  const highest = new Map<string, number>()
  const violations: Violation[] = []
  for (const { kind, entry = '', version = 0, atMs } of records) {
    if (kind !== RecordKind.BundleInForce) continue
    const before = highest.get(entry) ?? 0
    if (version < before) violations.push({ guarantee: Guarantee.BundleNeverReverts, atMs, detail: `${entry} went from version ${before} to ${version}` })
    highest.set(entry, Math.max(before, version))
  }
  return violations
}
