import { Effect, type KeyValueError } from '../errors/key-value-error.js'
import { type OperationError, operationError, OperationErrorKind } from '../errors/operation-error.js'
import { Err, Ok, type Result } from '../errors/result.js'
import type { Bundle } from '../bundles/bundle.js'
import {
  decodeRecord, encodeRecord, type HeadRecord, headRecordSchema, partKey, PROPOSAL_PREFIX, proposalKey,
  type ProposalRecord, proposalRecordSchema, rootKey
} from '../bundles/bundle-records.js'
import { checkBundle } from '../bundles/check-bundle.js'
import { type Parts, type Sections, splitContent } from '../bundles/part.js'
import type { Signature } from '../bundles/signature.js'
import { type BundleRoot, encodeRoot, HEAD_KEY, readRoot, verifyContent, verifyRoot } from '../bundles/signed-bundle.js'
import type { KeyValue, KeyValueService } from '../ports/key-value.js'
import type { KeyValueTransactions } from '../ports/key-value-transactions.js'
import type { TrustedKey } from '../settings/entry-settings.js'
import { PartReader, type ReadFault } from './part-reader.js'

/** Writes of parts in one transaction: under the limits of etcd on operations (128) and bytes (1.5 MB). */
const MAX_PUTS = 100
const MAX_PUT_BYTES = 768 * 1024

/** Larger changes are read from their parts: each reader gets the whole head record. */
const MAX_INLINE_BYTES = 32 * 1024

/** Attempts to find out what became of a write whose reply was lost. */
const SETTLE_ATTEMPTS = 6
const SETTLE_PAUSE_MS = 250

export type Operation<T> = Promise<Result<T, OperationError>>

/** The head as read: its root and the revision that a new head must replace. */
export interface Head {
  root: BundleRoot | null
  record: HeadRecord | null
  revision: number
}

export interface ProposalView extends ProposalRecord {
  id: string
  /** The root the signature is made over, decoded. */
  decoded: BundleRoot
}

export interface AcceptedVersion {
  version: number
  parent: number
  proposal: string
}

interface OperationOptions {
  keyValue: KeyValueService & KeyValueTransactions
  trustedKeys: TrustedKey[]
  nowMs: () => number
  nextId: () => string
  sleep?: (ms: number) => Promise<void>
}

interface ProposeOptions {
  bundle: unknown
  parent: number
  author: string
  note?: string
}

/** What operators do with bundles. Keeps no state but a cache of parts; the key-value service decides each race. */
export class BundleOperations {
  readonly #options: OperationOptions
  readonly #parts: PartReader
  readonly #sleep: (ms: number) => Promise<void>

  constructor (options: OperationOptions) {
    this.#options = options
    this.#parts = new PartReader(options.keyValue)
    this.#sleep = options.sleep ?? ((ms) => new Promise((resolve) => { setTimeout(resolve, ms) }))
  }

  async head (): Operation<Head> {
    const found = await this.#options.keyValue.get(HEAD_KEY)
    if (found.err) return unavailable(found.val)
    if (found.val === null) return Ok({ root: null, record: null, revision: 0 })
    const record = readHeadRecord(found.val)
    return record.map(({ record, root }) => ({ record, root, revision: found.val?.modRevision ?? 0 }))
  }

  check (bundle: unknown): Result<Bundle, OperationError> {
    const checked = checkBundle(bundle)
    if (checked.ok) return checked
    const fields = checked.val.map((fault) => fault.field).join(', ')
    return Err(operationError(OperationErrorKind.Malformed, fields, `${checked.val.length} faults`, { faults: checked.val }))
  }

  /** Stores an unsigned proposal based on the given parent version, which must be the head. */
  async propose ({ bundle, parent, author, note = '' }: ProposeOptions): Operation<ProposalView> {
    const checked = this.check(bundle)
    if (checked.err) return checked
    const { sections, parts } = splitContent(checked.val)
    return await this.#proposeTree({ sections, parts, parent, author, note })
  }

  /** Proposes the content of an earlier version as the next, higher version. */
  async rollBack ({ version, author, note }: { version: number, author: string, note?: string }): Operation<ProposalView> {
    const [head, old] = [await this.head(), await this.root(version)]
    if (head.err) return head
    if (old.err) return old
    const parts = await this.#parts.readTree(old.val.sections)
    if (parts.err) return readFault(parts.val)
    const parent = head.val.root?.version ?? 0
    return await this.#proposeTree({ sections: old.val.sections, parts: parts.val, parent, author, note: note ?? `roll back to ${version}` })
  }

  async #proposeTree (options: { sections: Sections, parts: Parts, parent: number, author: string, note: string }): Operation<ProposalView> {
    const { sections, parts, parent, author, note } = options
    const head = await this.head()
    if (head.err) return head
    const headVersion = head.val.root?.version ?? 0
    if (parent !== headVersion) return conflict('parent', `the head is version ${headVersion}, not ${parent}`, headVersion)
    const fresh = await this.#parts.difference(sections, parts, head.val.root?.sections ?? {})
    if (fresh.err) return readFault(fresh.val)
    const written = await this.#writeParts(fresh.val, parts)
    if (written.err) return unavailable(written.val)
    const id = this.#options.nextId()
    const root = encodeRoot({ version: parent + 1, parent, proposal: id, author, note, proposedMs: this.#options.nowMs(), sections })
    // Longer lists are left out: a reader then finds the parts by walking the tree.
    const record: ProposalRecord = { root, fresh: fresh.val.length <= MAX_PUTS ? fresh.val : [], accepted: null }
    const stored = await this.#options.keyValue.transact({ expected: [], puts: [{ key: proposalKey(id), value: encodeRecord(record) }] })
    // A lost reply leaves at most one proposal that nobody signs.
    if (stored.err) return unavailable(stored.val)
    return readRoot(root).map((decoded) => ({ id, ...record, decoded })).mapErr(malformedRecord)
  }

  async #writeParts (hashes: string[], parts: Parts): Promise<Result<void, KeyValueError>> {
    const puts = hashes.map((hash) => ({ key: partKey(hash), value: parts.get(hash) ?? new Uint8Array() }))
    while (puts.length > 0) {
      let bytes = 0
      const batch: typeof puts = []
      for (let put = puts[0]; put !== undefined && batch.length < MAX_PUTS && bytes + put.value.length <= MAX_PUT_BYTES; put = puts[0]) {
        bytes += put.value.length
        batch.push(put)
        puts.shift()
      }
      const written = await this.#options.keyValue.transact({ expected: [], puts: batch })
      if (written.err) return written
    }
    return Ok(undefined)
  }

  async proposal (id: string): Operation<ProposalView> {
    const found = await this.#proposalRecord(id)
    return found.map(({ view }) => view)
  }

  /** Unsigned proposals. */
  async proposals (): Operation<ProposalView[]> {
    const found = await this.#options.keyValue.list(PROPOSAL_PREFIX)
    if (found.err) return unavailable(found.val)
    const views = found.val.map((item) => readProposal(item))
    return Ok(views.flatMap((view) => view.ok && view.val.accepted === null ? [view.val] : []))
  }

  async #proposalRecord (id: string): Operation<{ view: ProposalView, revision: number }> {
    const found = await this.#options.keyValue.get(proposalKey(id))
    if (found.err) return unavailable(found.val)
    const item = found.val
    if (item === null) return Err(operationError(OperationErrorKind.UnknownProposal, 'proposal', `there is no proposal ${id}`))
    return readProposal(item).map((view) => ({ view, revision: item.modRevision }))
  }

  /** Makes a proposal the next version. Repeating it never makes a second version. */
  async sign ({ proposal: id, signature }: { proposal: string, signature: Signature }): Operation<AcceptedVersion> {
    const found = await this.#proposalRecord(id)
    if (found.err) return found
    const { view } = found.val
    if (view.accepted !== null) return Ok(acceptedVersion(view))
    const signed = { root: view.root, signature }
    const verified = verifyRoot(signed, this.#options.trustedKeys)
    if (verified.err) return Err(operationError(OperationErrorKind.NotTrusted, 'signature', verified.val))
    const parts = await this.#parts.readTree(view.decoded.sections)
    if (parts.err) return readFault(parts.val)
    const content = verifyContent(view.decoded.sections, parts.val)
    if (content.err) return Err(operationError(OperationErrorKind.Malformed, 'bundle', content.val))
    const fresh = view.fresh.flatMap((hash) => parts.val.get(hash) ?? [])
    return await this.#moveHead(id, { ...signed, fresh: view.fresh, parts: inlineParts(fresh) })
  }

  /** Writes the head by compare-and-swap; after a lost reply, reads back until the outcome is known. */
  async #moveHead (id: string, record: HeadRecord): Operation<AcceptedVersion> {
    let uncertain = false
    for (let attempt = 0; attempt < SETTLE_ATTEMPTS; attempt += 1) {
      if (attempt > 0) await this.#sleep(SETTLE_PAUSE_MS)
      const [proposal, head] = [await this.#proposalRecord(id), await this.head()]
      if (proposal.err || head.err) {
        if (!uncertain) return proposal.err ? proposal : head as Result<AcceptedVersion, OperationError>
        continue
      }
      const { view, revision } = proposal.val
      if (view.accepted !== null) return Ok(acceptedVersion(view))
      const headVersion = head.val.root?.version ?? 0
      if (headVersion !== view.decoded.parent) return conflict('parent', `version ${headVersion} was accepted since; the proposal is based on ${view.decoded.parent}`, headVersion)
      const swapped = await this.#options.keyValue.transact({
        expected: [{ key: HEAD_KEY, revision: head.val.revision }, { key: proposalKey(id), revision }],
        puts: [
          { key: HEAD_KEY, value: encodeRecord(record) },
          { key: rootKey(view.decoded.version), value: encodeRecord({ ...record, parts: [] }) },
          { key: proposalKey(id), value: encodeRecord({ root: view.root, fresh: view.fresh, accepted: view.decoded.version }) }
        ]
      })
      if (swapped.ok && swapped.val) return Ok(acceptedVersion(view))
      if (swapped.err && swapped.val.effect === Effect.Unknown) uncertain = true
      else if (swapped.err && !uncertain) return unavailable(swapped.val)
    }
    return Err(operationError(OperationErrorKind.OutcomeUnknown, 'proposal', `the reply to the write of proposal ${id} was lost`))
  }

  /** Root of one version. */
  async root (version: number): Operation<BundleRoot> {
    const found = await this.#options.keyValue.get(rootKey(version))
    if (found.err) return unavailable(found.val)
    if (found.val === null) return Err(operationError(OperationErrorKind.UnknownVersion, 'version', `there is no version ${version}`))
    return readHeadRecord(found.val).map(({ root }) => root)
  }

  /** Roots of the last versions, newest first. */
  async history (limit: number): Operation<Array<BundleRoot & { keyId: string }>> {
    const head = await this.head()
    if (head.err) return head
    const newest = head.val.root?.version ?? 0
    const keys = Array.from({ length: Math.min(limit, newest) }, (_, index) => rootKey(newest - index))
    const found = await this.#options.keyValue.getEach(keys)
    if (found.err) return unavailable(found.val)
    return Ok(found.val.flatMap((item) => {
      const read = item === null ? null : readHeadRecord(item)
      return read?.ok === true ? [{ ...read.val.root, keyId: read.val.record.signature.keyId }] : []
    }))
  }

  /** Content of one version, or of the head. */
  async content (version?: number): Operation<{ version: number, bundle: Bundle }> {
    const root = version === undefined ? (await this.head()).map(({ root }) => root) : await this.root(version)
    if (root.err) return root
    if (root.val === null) return Err(operationError(OperationErrorKind.UnknownVersion, 'version', 'no version has been accepted yet'))
    return await this.#contentOf(root.val)
  }

  /** Content of a proposal. */
  async proposedContent (id: string): Operation<{ version: number, bundle: Bundle }> {
    const found = await this.proposal(id)
    return found.err ? found : await this.#contentOf(found.val.decoded)
  }

  async #contentOf (root: BundleRoot): Operation<{ version: number, bundle: Bundle }> {
    const parts = await this.#parts.readTree(root.sections)
    if (parts.err) return readFault(parts.val)
    const content = verifyContent(root.sections, parts.val)
    if (content.err) return Err(operationError(OperationErrorKind.Malformed, 'bundle', content.val))
    return Ok({ version: root.version, bundle: inNameOrder(content.val) })
  }
}

/** The parts as they go into the head record, or none if they are large. */
function inlineParts (parts: Uint8Array[]): string[] {
  const bytes = parts.reduce((sum, part) => sum + part.length, 0)
  return bytes > MAX_INLINE_BYTES ? [] : parts.map((part) => Buffer.from(part).toString('base64'))
}

/** Lists come out of the tree in the order of hashes, which nobody can read. */
function inNameOrder (bundle: Bundle): Bundle {
  const byName = (a: { name: string }, b: { name: string }): number => a.name < b.name ? -1 : 1
  return {
    ...bundle,
    models: [...bundle.models].sort(byName),
    routes: [...bundle.routes].sort(byName),
    classes: [...bundle.classes].sort(byName),
    organisations: [...bundle.organisations].sort((a, b) => a.id < b.id ? -1 : 1)
  }
}

function acceptedVersion ({ decoded, id }: ProposalView): AcceptedVersion {
  return { version: decoded.version, parent: decoded.parent, proposal: id }
}

function readHeadRecord (item: KeyValue): Result<{ record: HeadRecord, root: BundleRoot }, OperationError> {
  const record = decodeRecord(item.value, headRecordSchema)
  if (record.err) return Err(malformedRecord(record.val))
  return readRoot(record.val.root).map((root) => ({ record: record.val, root })).mapErr(malformedRecord)
}

function readProposal (item: KeyValue): Result<ProposalView, OperationError> {
  const record = decodeRecord(item.value, proposalRecordSchema)
  if (record.err) return Err(malformedRecord(record.val))
  const id = item.key.slice(PROPOSAL_PREFIX.length)
  return readRoot(record.val.root).map((decoded) => ({ id, ...record.val, decoded })).mapErr(malformedRecord)
}

function malformedRecord (detail: string): OperationError {
  return operationError(OperationErrorKind.Malformed, 'record', `a record in the key-value service can't be read: ${detail}`)
}

function conflict (field: string, found: string, rebaseOn: number): Result<never, OperationError> {
  return Err(operationError(OperationErrorKind.Conflict, field, found, { rebaseOn }))
}

function unavailable (error: KeyValueError): Result<never, OperationError> {
  return Err(operationError(OperationErrorKind.Unavailable, 'key-value service', error.detail))
}

function readFault (fault: ReadFault): Result<never, OperationError> {
  if ('missing' in fault) return Err(operationError(OperationErrorKind.PartMissing, 'parts', `part ${fault.missing} does not exist`))
  return unavailable(fault)
}
