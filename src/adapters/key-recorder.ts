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

/** A lease is shared by the keys of this period; each key lives for the key lifetime at least. */
const LEASE_PERIOD_MS = 60_000

/** A claim that is not settled by then is given up; its caller's deadline is near. */
const CLAIM_LIMIT_MS = 3000

const READ_BACK_PAUSE_MS = 100

const OUTCOME_TRIES = 20

const OUTCOME_PAUSE_MS = 1000

/** Outcomes that wait to be written; beyond this they are dropped and their records stay in flight, which is safe. */
const MAX_PENDING_OUTCOMES = 10_000

/** The platform's service handles several hundred writes a second, for all its users. */
const FLEET_WRITES_PER_SECOND = 300

/** A longer wait would leave a call too little of its deadline. */
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

/** Record of a caller's own key in the key-value service. */
export type OwnKeyRecord = z.infer<typeof recordSchema>

export interface KeyClaim {
  organisation: string
  key: string
  bodyHash: string
  nonce: string
  abandoned: string[]
}

export enum ClaimResult {
  Recorded = 'recorded',
  Taken = 'taken',
  /** Nothing will be dispatched for this claim, though a write of it may still take effect. */
  Unrecorded = 'unrecorded'
}

export type Claimed =
  | { result: ClaimResult.Recorded }
  | { result: ClaimResult.Taken, record: OwnKeyRecord }
  | { result: ClaimResult.Unrecorded, detail: string }

interface KeyRecorderOptions {
  self: Pick<Identity, 'id' | 'incarnation'>
  keyValue: KeyValueService
  nowMs?: () => number
  pause?: (ms: number) => Promise<void>
  /** Live entry instances, which share the rate of writes. */
  instances?: () => number
}

/** Records callers' own keys in the key-value service by compare-and-swap. */
export class KeyRecorder {
  readonly #options: KeyRecorderOptions
  readonly #commit: GroupCommit
  readonly #nowMs: () => number
  readonly #pause: (ms: number) => Promise<void>
  #lease: { id: Promise<Result<string, KeyValueError>>, untilMs: number } | null = null
  /** Revisions of claims that have no outcome yet, by nonce. */
  readonly #revisions = new Map<string, number>()
  #pendingOutcomes = 0

  constructor (options: KeyRecorderOptions) {
    this.#options = options
    this.#nowMs = options.nowMs ?? Date.now
    this.#pause = options.pause ?? sleep
    this.#commit = new GroupCommit({ keyValue: options.keyValue, nowMs: this.#nowMs, pause: this.#pause, spacingMs: () => spacingOf(options.instances?.() ?? 1) })
  }

  /** Claims a key for this incarnation. */
  async claim (claim: KeyClaim): Promise<Claimed> {
    const endMs = this.#nowMs() + CLAIM_LIMIT_MS
    let expectedRevision = 0
    let detail = 'the claim was not settled in time'
    while (this.#nowMs() < endMs) {
      const written = await this.#put(this.#recordOf(claim, CallOutcome.InFlight), expectedRevision)
      if (written.err && written.val.effect === Effect.None) return { result: ClaimResult.Unrecorded, detail: written.val.detail }
      if (written.ok && written.val.swapped) return this.#recorded(claim.nonce, written.val.revision)
      if (written.err) detail = written.val.detail
      const present = written.ok ? Ok(written.val.present) : await this.#readBack(claim, endMs)
      if (present.err) break
      const verdict = this.#judge(claim, present.val)
      if (typeof verdict !== 'number') return verdict
      expectedRevision = verdict
    }
    return { result: ClaimResult.Unrecorded, detail }
  }

  /** Writes the outcome of a claim into its record, with retries; a claim that was replaced meanwhile is left alone. */
  async settle (claim: Omit<KeyClaim, 'abandoned'>, outcome: CallOutcome): Promise<boolean> {
    if (this.#pendingOutcomes >= MAX_PENDING_OUTCOMES) return false
    this.#pendingOutcomes += 1
    try {
      return await this.#writeOutcome(claim, outcome)
    } finally {
      this.#pendingOutcomes -= 1
      this.#revisions.delete(claim.nonce)
    }
  }

  async find (organisation: string, key: string): Promise<Result<OwnKeyRecord | null, KeyValueError>> {
    const found = await this.#options.keyValue.get(pathOf(organisation, key))
    return found.map((present) => present === null ? null : parseRecord(present))
  }

  /** What the present record means for a claim: its end, or the revision on which to write again. */
  #judge (claim: KeyClaim, present: KeyValue | null): Claimed | number {
    if (present === null) return 0
    const record = parseRecord(present)
    if (record === null) return { result: ClaimResult.Unrecorded, detail: 'the record of the key is not readable' }
    // A write whose reply was lost.
    if (record.nonce === claim.nonce) return this.#recorded(claim.nonce, present.modRevision)
    const mine = record.incarnation === this.#options.self.incarnation && claim.abandoned.includes(record.nonce)
    const free = mine || record.outcome === CallOutcome.NotRun
    if (free && record.bodyHash === claim.bodyHash) return present.modRevision
    return { result: ClaimResult.Taken, record }
  }

  #recorded (nonce: string, revision: number): Claimed {
    // A claim without a known revision finds it when its outcome is written.
    if (this.#revisions.size < MAX_PENDING_OUTCOMES) this.#revisions.set(nonce, revision)
    return { result: ClaimResult.Recorded }
  }

  async #readBack ({ organisation, key }: KeyClaim, endMs: number): Promise<Result<KeyValue | null, KeyValueError>> {
    for (;;) {
      const read = await this.#options.keyValue.get(pathOf(organisation, key))
      if (read.ok || this.#nowMs() + READ_BACK_PAUSE_MS >= endMs) return read
      await this.#pause(READ_BACK_PAUSE_MS)
    }
  }

  async #writeOutcome (claim: Omit<KeyClaim, 'abandoned'>, outcome: CallOutcome): Promise<boolean> {
    let revision = this.#revisions.get(claim.nonce) ?? 0
    for (let tries = 0; tries < OUTCOME_TRIES; tries += 1) {
      const written = await this.#put(this.#recordOf(claim, outcome), revision)
      if (written.ok && written.val.swapped) return true
      if (written.err) {
        await this.#pause(OUTCOME_PAUSE_MS)
        continue
      }
      const present = written.val.present === null ? null : parseRecord(written.val.present)
      if (written.val.present === null || present?.nonce !== claim.nonce) return false
      // An earlier try whose reply was lost.
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
    // Without a lease no write was sent.
    if (lease.err) return Err({ effect: Effect.None, detail: lease.val.detail })
    const written = await this.#commit.write({
      key: pathOf(record.organisation, record.key), value: Buffer.from(JSON.stringify(record)), lease: lease.val, expectedRevision
    })
    // The service may have refused the write because it no longer has the lease.
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

/** Least time between two calls of one instance. */
function spacingOf (instances: number): number {
  return Math.min(MAX_SPACING_MS, instances * 1000 / FLEET_WRITES_PER_SECOND)
}

function pathOf (organisation: string, key: string): string {
  return `${KEY_PREFIX}${organisation}/${createHash('sha256').update(key).digest('hex')}`
}

function parseRecord ({ value }: KeyValue): OwnKeyRecord | null {
  try {
    return recordSchema.parse(JSON.parse(Buffer.from(value).toString('utf8')))
  } catch {
    return null
  }
}
