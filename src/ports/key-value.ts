import type { Result } from '../errors/result.js'
import type { KeyValueError } from '../errors/key-value-error.js'

export interface KeyValue {
  key: string
  value: Uint8Array
  /** Revision of the last write of this key. */
  modRevision: number
  createRevision: number
  lease: string
}

export interface Put {
  key: string
  value: Uint8Array
  lease?: string
}

/** Writes one key only if its last revision is the expected one; 0 means that the key must not exist. */
export interface CompareAndSwap extends Put {
  expectedRevision: number
}

/** What became of one compare-and-swap. */
export interface CompareAndSwapResult {
  swapped: boolean
  revision: number
  /** The present record when the swap did not happen. */
  present: KeyValue | null
}

/** The platform's key-value service. An error with `effect: Unknown` may have taken effect. */
export interface KeyValueService {
  get: (key: string) => Promise<Result<KeyValue | null, KeyValueError>>
  list: (prefix: string) => Promise<Result<KeyValue[], KeyValueError>>
  compareAndSwap: (write: CompareAndSwap) => Promise<Result<CompareAndSwapResult, KeyValueError>>
  /** Independent compare-and-swaps in one call; each has its own outcome. */
  compareAndSwapEach: (writes: CompareAndSwap[]) => Promise<Result<CompareAndSwapResult[], KeyValueError>>
  grantLease: (seconds: number) => Promise<Result<string, KeyValueError>>
  keepLeaseAlive: (lease: string) => Promise<Result<boolean, KeyValueError>>
  revokeLease: (lease: string) => Promise<Result<void, KeyValueError>>
  /** Calls back for each change of the key, from the given revision on, until the signal aborts; ends with an error when the service goes away. */
  watch: (key: string, onChange: (change: KeyValue) => void, signal: AbortSignal, fromRevision?: number) => Promise<Result<void, KeyValueError>>
}
