import { operationError, OperationErrorKind } from '../errors/operation-error.js'
import type { KeyValueError } from '../errors/key-value-error.js'
import { Err, Ok, type Result } from '../errors/result.js'
import {
  decodeRecord, encodeRecord, headRecordSchema, PART_PREFIX, partKey, PROPOSAL_PREFIX, proposalRecordSchema,
  ROOT_PREFIX, UNUSED_KEY, unusedRecordSchema
} from '../bundles/bundle-records.js'
import type { Sections } from '../bundles/part.js'
import { type BundleRoot, HEAD_KEY, readRoot } from '../bundles/signed-bundle.js'
import type { KeyValue, KeyValueService } from '../ports/key-value.js'
import type { KeyValueTransactions } from '../ports/key-value-transactions.js'
import type { Operation } from './bundle-operations.js'
import { PartReader } from './part-reader.js'

/** Content of versions and open proposals younger than this is kept, so that it can be rolled back to or signed. */
const KEEP_CONTENT_MS = 24 * 3600 * 1000

/** Roots of versions stay in the history for this long. */
const KEEP_HISTORY_MS = 30 * 24 * 3600 * 1000

/** A part must have been unused at two sweeps at least this far apart; no reader takes this long for one version. */
const GRACE_MS = 3600 * 1000

const MAX_DELETES = 50

export interface SweepReport {
  used: number
  unused: number
  removed: number
}

interface SweepOptions {
  keyValue: KeyValueService & KeyValueTransactions
  nowMs: number
}

interface Kept {
  sections: Sections[]
  expiredKeys: string[]
}

/**
 * Removes parts that no kept version and no open proposal uses. A part that was written again since it was found
 * unused has a new revision and stays.
 */
export async function sweepParts ({ keyValue, nowMs }: SweepOptions): Operation<SweepReport> {
  // The parts are listed first: a part written after this is not in the list and can't be taken for unused.
  const listed = await keyValue.listRevisions(PART_PREFIX)
  if (listed.err) return failed(listed.val)
  const kept = await keptTrees(keyValue, nowMs)
  if (kept.err) return failed(kept.val)
  const reader = new PartReader(keyValue)
  const used = new Map<string, unknown>()
  for (const sections of kept.val.sections) {
    const parts = await reader.readMissing(sections, used)
    if (parts.err && !('missing' in parts.val)) return failed(parts.val)
    // A tree with a gap can't be brought into force by anyone; the parts it has may go.
    if (parts.ok) for (const hash of parts.val.keys()) used.set(hash, null)
  }
  const unused = listed.val.flatMap(({ key, modRevision }) => {
    const hash = key.slice(PART_PREFIX.length)
    return used.has(hash) ? [] : [{ hash, modRevision }]
  })
  const removed = await removeLongUnused(keyValue, unused, nowMs)
  if (removed.err) return failed(removed.val)
  for (const key of kept.val.expiredKeys) await keyValue.transact({ expected: [], puts: [], deletes: [key] })
  return Ok({ used: used.size, unused: unused.length, removed: removed.val })
}

async function keptTrees (keyValue: KeyValueService & KeyValueTransactions, nowMs: number): Promise<Result<Kept, KeyValueError>> {
  // Proposals before the head: a proposal that is signed in between shows up as the head.
  const proposals = await keyValue.list(PROPOSAL_PREFIX)
  if (proposals.err) return proposals
  const roots = await keyValue.listRevisions(ROOT_PREFIX)
  if (roots.err) return roots
  const head = await keyValue.get(HEAD_KEY)
  if (head.err) return head
  const keys = roots.val.map(({ key }) => key)
  const kept = await rootsWhile(keyValue, [...keys].reverse(), (root) => nowMs - root.proposedMs <= KEEP_CONTENT_MS)
  if (kept.err) return kept
  const expired = await rootsWhile(keyValue, keys, (root) => nowMs - root.proposedMs > KEEP_HISTORY_MS)
  if (expired.err) return expired
  const headRoot = head.val === null ? [] : rootOf(head.val, headRecordSchema)
  const open = proposals.val.flatMap((item) => rootOf(item, proposalRecordSchema).map((root) => ({ key: item.key, root })))
  const [young, old] = [open.filter(({ root }) => nowMs - root.proposedMs <= KEEP_CONTENT_MS), open.filter(({ root }) => nowMs - root.proposedMs > KEEP_CONTENT_MS)]
  return Ok({
    sections: [...headRoot, ...kept.val.map(({ root }) => root), ...young.map(({ root }) => root)].map((root) => root.sections),
    expiredKeys: [...expired.val, ...old].map(({ key }) => key)
  })
}

/** Reads roots in the order of the keys, up to the first one for which the condition does not hold. */
async function rootsWhile (keyValue: KeyValueTransactions, keys: string[], holds: (root: BundleRoot) => boolean): Promise<Result<Array<{ key: string, root: BundleRoot }>, KeyValueError>> {
  const found: Array<{ key: string, root: BundleRoot }> = []
  for (let from = 0; from < keys.length; from += PAGE_ROOTS) {
    const page = await keyValue.getEach(keys.slice(from, from + PAGE_ROOTS))
    if (page.err) return page
    for (const item of page.val) {
      const [root] = item === null ? [] : rootOf(item, headRecordSchema)
      if (root === undefined || item === null) continue
      if (!holds(root)) return Ok(found)
      found.push({ key: item.key, root })
    }
  }
  return Ok(found)
}

const PAGE_ROOTS = 128

function rootOf (item: KeyValue, schema: typeof headRecordSchema | typeof proposalRecordSchema): BundleRoot[] {
  const record = decodeRecord(item.value, schema)
  const root = record.ok ? readRoot(record.val.root) : record
  return root.ok ? [root.val as BundleRoot] : []
}

async function removeLongUnused (keyValue: KeyValueService & KeyValueTransactions, unused: Array<{ hash: string, modRevision: number }>, nowMs: number): Promise<Result<number, KeyValueError>> {
  const found = await keyValue.get(UNUSED_KEY)
  if (found.err) return found
  const before = found.val === null ? null : decodeRecord(found.val.value, unusedRecordSchema)
  const last = before?.ok === true ? before.val : null
  if (last !== null && nowMs - last.sinceMs < GRACE_MS) return Ok(0)
  const due = unused.filter(({ hash, modRevision }) => last?.parts[hash] === modRevision)
  let removed = 0
  for (let from = 0; from < due.length; from += MAX_DELETES) {
    const batch = due.slice(from, from + MAX_DELETES)
    const deleted = await keyValue.transact({
      expected: batch.map(({ hash, modRevision }) => ({ key: partKey(hash), revision: modRevision })),
      puts: [],
      deletes: batch.map(({ hash }) => partKey(hash))
    })
    if (deleted.err) return deleted
    if (deleted.val) removed += batch.length
  }
  // Parts beyond this number wait for a later sweep: the record has to fit into one value.
  const rest = unused.filter(({ hash }) => !due.some((item) => item.hash === hash)).slice(0, MAX_RECORDED)
  const record = { sinceMs: nowMs, parts: Object.fromEntries(rest.map(({ hash, modRevision }) => [hash, modRevision])) }
  const written = await keyValue.transact({ expected: [{ key: UNUSED_KEY, revision: found.val?.modRevision ?? 0 }], puts: [{ key: UNUSED_KEY, value: encodeRecord(record) }] })
  return written.err ? written : Ok(removed)
}

const MAX_RECORDED = 8000

function failed (error: KeyValueError): Result<never, ReturnType<typeof operationError>> {
  return Err(operationError(OperationErrorKind.Unavailable, 'key-value service', error.detail))
}
