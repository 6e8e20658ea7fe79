import { type CacheReported, ServerEventKind } from './server-event.js'

/** One change of an engine's cache, as the engine publishes it. */
export interface CacheChange {
  sequence: number
  piece: string
  added: boolean
}

/**
 * Builds the report of the changes that follow sequence number `after`, up to `sequence`. If numbers are missing between
 * the changes, the changes before the last gap are left out: the report then begins after the gap, so that its receiver
 * detects the gap. Only the last change of each piece is reported.
 */
export function cacheReport (options: { server: string, after: number, sequence: number, changes: CacheChange[] }): CacheReported {
  const { server, after, sequence, changes } = options
  let start = changes.length
  for (let expected = sequence; start > 0 && changes[start - 1]?.sequence === expected; expected -= 1) start -= 1
  const contiguous = changes.slice(start)
  const lastChanges = new Map(contiguous.map(({ piece, added }) => [piece, added]))
  const pieces = [...lastChanges]
  return {
    kind: ServerEventKind.CacheReported,
    server,
    firstSequence: sequence <= after ? after + 1 : sequence - contiguous.length + 1,
    lastSequence: sequence,
    added: pieces.filter(([, added]) => added).map(([piece]) => piece),
    removed: pieces.filter(([, added]) => !added).map(([piece]) => piece)
  }
}
