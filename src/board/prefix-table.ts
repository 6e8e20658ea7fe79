import { PrefixIndex } from '../placement/prefix-index.js'

/** What this instance knows of the prefix caches of the engines. */
export interface PrefixTable {
  index: PrefixIndex
  /** Sequence number of the last cache event seen, by runner. */
  sequences: Map<string, number>
  /** Runners whose cache events had a gap, so that their whole cache listing has to be read. */
  stale: Set<string>
  /** Round-robin position of the next runner whose cache events are read. */
  readTurn: number
}

export function createPrefixTable (): PrefixTable {
  return { index: new PrefixIndex(), sequences: new Map(), stale: new Set(), readTurn: 0 }
}
