import type { Result } from '../errors/result.js'
import type { KeyValueError } from '../errors/key-value-error.js'

export interface KeyValue {
  key: string
  value: Uint8Array
  /** Revision of the last write of this key. */
  modRevision: number
  createRevision: number
  /** Id of the lease that the key is attached to; '0' if there is none. */
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

/** Result of one compare-and-swap. */
export interface CompareAndSwapResult {
  swapped: boolean
  /** Revision of the service at the call; the record's new revision if the swap was made. */
  revision: number
  /** The current record if the swap was not made; null if it was made or the key does not exist. */
  present: KeyValue | null
}

/** The platform's key-value service. After an error with `effect: Unknown` the operation may have taken effect. */
export interface KeyValueService {
  get: (key: string) => Promise<Result<KeyValue | null, KeyValueError>>
  list: (prefix: string) => Promise<Result<KeyValue[], KeyValueError>>
  compareAndSwap: (write: CompareAndSwap) => Promise<Result<CompareAndSwapResult, KeyValueError>>
  /** Makes independent compare-and-swaps in one call; each has its own result. */
  compareAndSwapEach: (writes: CompareAndSwap[]) => Promise<Result<CompareAndSwapResult[], KeyValueError>>
  grantLease: (seconds: number) => Promise<Result<string, KeyValueError>>
  keepLeaseAlive: (lease: string) => Promise<Result<boolean, KeyValueError>>
  revokeLease: (lease: string) => Promise<Result<void, KeyValueError>>
  /** Calls back for each change of the key, from the given revision on, until the signal aborts; ends with an error when the service becomes unavailable. */
  watch: (key: string, onChange: (change: KeyValue) => void, signal: AbortSignal, fromRevision?: number) => Promise<Result<void, KeyValueError>>
}
