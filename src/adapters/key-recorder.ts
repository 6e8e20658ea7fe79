import { createHash } from 'node:crypto'
import * as z from 'zod'
import type { Identity } from '../board/identity.js'
import { CallOutcome } from '../calls/call-event.js'
import { KEY_LIFETIME_MS } from '../calls/key-issue.js'
import { Effect, type KeyValueError } from '../errors/key-value-error.js'
import { Err, Ok, type Result } from '../errors/result.js'
import type { KeyValue, KeyValueService, CompareAndSwapResult } from '../ports/key-value.js'
import { GroupCommit, sleep } from './group-commit.js'

export const KEY_PREFIX = 'daisybarrow/calls/'

/** Keys recorded within this period share a lease, in ms. The lease lasts for this period and the key lifetime, so each record is kept for the key lifetime at least. */
const LEASE_PERIOD_MS = 60_000

/** Time after which a claim that is neither recorded nor refused is abandoned, in ms; its caller's deadline is near by then. */
const CLAIM_TIMEOUT_MS = 3000

/** Delay before a failed read of a record is retried, in ms. */
const READ_BACK_RETRY_DELAY_MS = 100

/** Attempts at writing one outcome. */
const MAX_OUTCOME_ATTEMPTS = 20

/** Delay before a failed write of an outcome is retried, in ms. */
const OUTCOME_RETRY_DELAY_MS = 1000

/** Limit on outcomes that wait to be written. Further ones are dropped and their records stay in flight, which is safe. */
const MAX_PENDING_OUTCOMES = 10_000

/** Write calls that all entry instances together make per second; the platform's service handles several hundred for all its users. */
const FLEET_WRITES_PER_SECOND = 300

/** Limit on the time between two write calls of one instance, in ms; a longer wait would leave a call too little time before its deadline. */
const MAX_SPACING_MS = 300

const recordSchema = z.object({
  organisation: z.string(),
  key: z.string(),
  bodyHash: z.string(),
  instance: z.string(),
  incarnation: z.string(),
  nonce: z.string(),
  outcome: z.enum(CallOutcome)
})

/** Record of a caller's own key, as opposed to a key issued by an instance, in the key-value service. */
export type OwnKeyRecord = z.infer<typeof recordSchema>

export interface KeyClaim {
  organisation: string
  key: string
  bodyHash: string
  nonce: string
  /** Nonces of earlier claims of the key that this incarnation has abandoned. */
  abandoned: string[]
}

export enum ClaimResult {
  Recorded = 'recorded',
  Taken = 'taken',
  /** The claim was not recorded and its call is never dispatched, though a write of the claim may still take effect. */
  Unrecorded = 'unrecorded'
}

export type ClaimOutcome =
  | { result: ClaimResult.Recorded }
  | { result: ClaimResult.Taken, record: OwnKeyRecord }
  | { result: ClaimResult.Unrecorded, detail: string }

interface KeyRecorderOptions {
  self: Pick<Identity, 'id' | 'incarnation'>
  keyValue: KeyValueService
  nowMs?: () => number
  pause?: (ms: number) => Promise<void>
  /** Number of live entry instances, which share `FLEET_WRITES_PER_SECOND`. */
  instances?: () => number
}

/** Records callers' own keys in the key-value service by compare-and-swap. */
export class KeyRecorder {
  readonly #options: KeyRecorderOptions
  readonly #commit: GroupCommit
  readonly #nowMs: () => number
  readonly #pause: (ms: number) => Promise<void>
  #lease: { id: Promise<Result<string, KeyValueError>>, untilMs: number } | null = null
  /** Revisions of the records of claims that have no outcome yet, by nonce. */
  readonly #revisions = new Map<string, number>()
  #pendingOutcomes = 0

  constructor (options: KeyRecorderOptions) {
    this.#options = options
    this.#nowMs = options.nowMs ?? Date.now
    this.#pause = options.pause ?? sleep
    this.#commit = new GroupCommit({ keyValue: options.keyValue, nowMs: this.#nowMs, pause: this.#pause, spacingMs: () => callSpacingMs(options.instances?.() ?? 1) })
  }

  /** Claims a key for this incarnation. After a write without a reply it reads the record to find out whether the write took effect. */
  async claim (claim: KeyClaim): Promise<ClaimOutcome> {
    const endMs = this.#nowMs() + CLAIM_TIMEOUT_MS
    let expectedRevision = 0
    let detail = 'the claim was not settled in time'
    while (this.#nowMs() < endMs) {
      const written = await this.#put(this.#recordOf(claim, CallOutcome.InFlight), expectedRevision)
      if (written.err && written.val.effect === Effect.None) return { result: ClaimResult.Unrecorded, detail: written.val.detail }
      if (written.ok && written.val.swapped) return this.#markRecorded(claim.nonce, written.val.revision)
      if (written.err) detail = written.val.detail
      const present = written.ok ? Ok(written.val.present) : await this.#readBack(claim, endMs)
      if (present.err) break
      const resolution = this.#resolveClaim(claim, present.val)
      if (typeof resolution !== 'number') return resolution
      expectedRevision = resolution
    }
    return { result: ClaimResult.Unrecorded, detail }
  }

  /** Writes the outcome of a claim into its record, with retries; returns whether it was written. The record of another claim is never changed. */
  async recordOutcome (claim: Omit<KeyClaim, 'abandoned'>, outcome: CallOutcome): Promise<boolean> {
    if (this.#pendingOutcomes >= MAX_PENDING_OUTCOMES) return false
    this.#pendingOutcomes += 1
    try {
      return await this.#writeOutcome(claim, outcome)
    } finally {
      this.#pendingOutcomes -= 1
      this.#revisions.delete(claim.nonce)
    }
  }

  /** Reads the record of a key; null if it does not exist or can't be parsed. */
  async find (organisation: string, key: string): Promise<Result<OwnKeyRecord | null, KeyValueError>> {
    const found = await this.#options.keyValue.get(storageKey(organisation, key))
    return found.map((present) => present === null ? null : parseRecord(present))
  }

  /** Decides a claim by the key's current record: returns its outcome, or the revision to expect in the next write. */
  #resolveClaim (claim: KeyClaim, present: KeyValue | null): ClaimOutcome | number {
    if (present === null) return 0
    const record = parseRecord(present)
    if (record === null) return { result: ClaimResult.Unrecorded, detail: 'the record of the key is not readable' }
    // This claim's write took effect, but its reply was lost.
    if (record.nonce === claim.nonce) return this.#markRecorded(claim.nonce, present.modRevision)
    const abandoned = record.incarnation === this.#options.self.incarnation && claim.abandoned.includes(record.nonce)
    const replaceable = abandoned || record.outcome === CallOutcome.NotRun
    if (replaceable && record.bodyHash === claim.bodyHash) return present.modRevision
    return { result: ClaimResult.Taken, record }
  }

  #markRecorded (nonce: string, revision: number): ClaimOutcome {
    // If the revision is not stored, the first attempt at writing the outcome fails and returns it.
    if (this.#revisions.size < MAX_PENDING_OUTCOMES) this.#revisions.set(nonce, revision)
    return { result: ClaimResult.Recorded }
  }

  async #readBack ({ organisation, key }: KeyClaim, endMs: number): Promise<Result<KeyValue | null, KeyValueError>> {
    for (;;) {
      const read = await this.#options.keyValue.get(storageKey(organisation, key))
      if (read.ok || this.#nowMs() + READ_BACK_RETRY_DELAY_MS >= endMs) return read
      await this.#pause(READ_BACK_RETRY_DELAY_MS)
    }
  }

  async #writeOutcome (claim: Omit<KeyClaim, 'abandoned'>, outcome: CallOutcome): Promise<boolean> {
    let revision = this.#revisions.get(claim.nonce) ?? 0
    for (let attempt = 0; attempt < MAX_OUTCOME_ATTEMPTS; attempt += 1) {
      const written = await this.#put(this.#recordOf(claim, outcome), revision)
      if (written.ok && written.val.swapped) return true
      if (written.err) {
        await this.#pause(OUTCOME_RETRY_DELAY_MS)
        continue
      }
      const present = written.val.present === null ? null : parseRecord(written.val.present)
      if (written.val.present === null || present?.nonce !== claim.nonce) return false
      // An earlier attempt took effect, but its reply was lost.
      if (present.outcome === outcome) return true
      revision = written.val.present.modRevision
    }
    return false
  }

  #recordOf ({ organisation, key, bodyHash, nonce }: Omit<KeyClaim, 'abandoned'>, outcome: CallOutcome): OwnKeyRecord {
    const { id: instance, incarnation } = this.#options.self
    return { organisation, key, bodyHash, instance, incarnation, nonce, outcome }
  }

  async #put (record: OwnKeyRecord, expectedRevision: number): Promise<Result<CompareAndSwapResult, KeyValueError>> {
    const lease = await this.#currentLease()
    // The write was not sent, since there is no lease for it.
    if (lease.err) return Err({ effect: Effect.None, detail: lease.val.detail })
    const written = await this.#commit.write({
      key: storageKey(record.organisation, record.key), value: Buffer.from(JSON.stringify(record)), lease: lease.val, expectedRevision
    })
    // The service may have refused the write because the lease no longer exists, so the next write uses a new one.
    if (written.err) this.#lease = null
    return written
  }

  async #currentLease (): Promise<Result<string, KeyValueError>> {
    const nowMs = this.#nowMs()
    if (this.#lease !== null && nowMs < this.#lease.untilMs) return await this.#lease.id
    const id = this.#options.keyValue.grantLease(Math.ceil((KEY_LIFETIME_MS + LEASE_PERIOD_MS) / 1000))
    const lease = { id, untilMs: nowMs + LEASE_PERIOD_MS }
    this.#lease = lease
    const granted = await id
    if (granted.err && this.#lease === lease) this.#lease = null
    return granted
  }
}

/** Minimum time between the starts of two write calls of one instance, in ms. */
function callSpacingMs (instances: number): number {
  return Math.min(MAX_SPACING_MS, instances * 1000 / FLEET_WRITES_PER_SECOND)
}

/** Key of a record in the key-value service. */
function storageKey (organisation: string, key: string): string {
  return `${KEY_PREFIX}${organisation}/${createHash('sha256').update(key).digest('hex')}`
}

/** Null if the record is malformed. */
function parseRecord ({ value }: KeyValue): OwnKeyRecord | null {
  try {
    return recordSchema.parse(JSON.parse(Buffer.from(value).toString('utf8')))
  } catch {
    return null
  }
}
