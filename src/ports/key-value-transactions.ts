import type { KeyValueError } from '../errors/key-value-error.js'
import type { Result } from '../errors/result.js'
import type { KeyValue, Put } from './key-value.js'

/** Writes that are made atomically, or not at all if a key is not at its expected revision. */
export interface KeyValueTransaction {
  /** Revisions of the last writes that the keys must have; 0 means that the key must not exist. */
  expected: Array<{ key: string, revision: number }>
  puts: Put[]
  deletes?: string[]
}

/** Result of reading a key on condition that its revision differs from the known one. */
export interface ConditionalRead {
  changed: boolean
  /** The current record; null if it does not exist or has not changed. */
  item: KeyValue | null
}

/** Operations on the key-value service that go beyond reads and compare-and-swaps of single keys. */
export interface KeyValueTransactions {
  /** Returns whether the writes were made. After an error with `effect: Unknown` they may have been made. */
  transact: (transaction: KeyValueTransaction) => Promise<Result<boolean, KeyValueError>>
  /** Reads keys, up to 128 in one call to the service; null for each key that does not exist. */
  getEach: (keys: string[]) => Promise<Result<Array<KeyValue | null>, KeyValueError>>
  /** Reads a key only if its last revision differs from the known one; a reply without a change is small. */
  getIfChanged: (key: string, knownRevision: number) => Promise<Result<ConditionalRead, KeyValueError>>
  /** Names and revisions of all keys with the prefix, without their values. */
  listRevisions: (prefix: string) => Promise<Result<Array<{ key: string, modRevision: number }>, KeyValueError>>
}
