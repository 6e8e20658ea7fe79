import { type HistoryRecord, RecordKind } from '../model/history.js'

/** A time during which part of the fleet could not act or be reached. */
export interface Disturbance {
  fromMs: number
  untilMs: number
  /** The paused instance. */
  entry: string | undefined
}

const ENDS: Partial<Record<RecordKind, RecordKind>> = {
  [RecordKind.EntryPaused]: RecordKind.EntryResumed,
  [RecordKind.NetworkCut]: RecordKind.NetworkHealed,
  [RecordKind.KeyValueDown]: RecordKind.KeyValueUp,
  [RecordKind.DegradedFrom]: RecordKind.DegradedUntil
}

/** Disturbances of the given kinds; one that never ends lasts to the end of the run, a kind without an end lasts no time. */
export function disturbances (records: HistoryRecord[], kinds: RecordKind[]): Disturbance[] {
  const lastMs = records.at(-1)?.atMs ?? 0
  return records.filter((record) => kinds.includes(record.kind)).map((start) => {
    if (ENDS[start.kind] === undefined) return { fromMs: start.atMs, untilMs: start.atMs, entry: start.entry }
    const end = records.find((record) => record.kind === ENDS[start.kind] && record.atMs >= start.atMs && record.subject === start.subject && record.entry === start.entry)
    return { fromMs: start.atMs, untilMs: end?.atMs ?? lastMs, entry: start.entry }
  })
}

/** The bound counted from a moment, or from the end of the last disturbance that overlaps the time until then. */
export function dueMs (fromMs: number, boundMs: number, found: Disturbance[]): number {
  let due = fromMs + boundMs
  for (const { fromMs: start, untilMs } of [...found].sort((a, b) => a.fromMs - b.fromMs)) {
    if (start <= due && untilMs + boundMs > due && untilMs >= fromMs) due = untilMs + boundMs
  }
  return due
}
