import { type HistoryRecord, RecordKind } from '../../model/history.js'
import { Guarantee, type Violation } from '../violation.js'

/** An instance that exits after it was asked to shut down leaves no exchange open. */
export function checkGracefulShutdown (records: HistoryRecord[]): Violation[] {
  return records
    .filter((record) => record.kind === RecordKind.EntryExited && (record.count ?? 0) > 0)
    .map(({ atMs, entry, count }) => ({ guarantee: Guarantee.GracefulShutdown, atMs, detail: `${entry} exited with ${count} open exchanges` }))
}
