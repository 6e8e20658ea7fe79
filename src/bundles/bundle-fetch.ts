import type { Board } from '../board/board.js'
import type { BundleFetch } from '../board/bundle-distribution.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { CoreActionKind } from '../core/core-action.js'
import { BundleActionKind } from './bundle-action.js'
import { BundleEventKind, KEY_VALUE_SOURCE } from './bundle-event.js'
import type { PartHash } from './part.js'
import { missingParts, reachableParts, usedParts } from './part-tree.js'
import { partsByHash, readRoot, type SignedBundle, verifyContent, verifyRoot } from './signed-bundle.js'

/** Maximum number of parts in one request; about 256 KB of answer at 2 KB a part. */
const MAX_PARTS_PER_REQUEST = 128

/**
 * Timeouts of a request in milliseconds; they cover a round trip to another region. They double with each failure, up to
 * `MAX_DOUBLINGS` times, since retries slow down a source that is slow already.
 */
const PEER_REQUEST_TIMEOUT_MS = 250
const SERVICE_REQUEST_TIMEOUT_MS = 500
const MAX_DOUBLINGS = 3

/**
 * A fetch is abandoned after more requests in a row than this without an answer or a new part. A later announcement or
 * read of the head starts it again.
 */
const MAX_FAILURES = 8

/**
 * Parts of earlier versions are kept for peers that still fetch them. They are pruned once more parts than this have been
 * added since the last pruning.
 */
const PRUNE_THRESHOLD_PARTS = 512

/** A root received from a peer or the key-value service, possibly with parts; nothing in it has been verified. */
export interface RootOffer {
  signed: SignedBundle
  source: string
  /** Parts that are most likely missing; fetched together with those known to be missing. */
  hint?: PartHash[]
  parts?: Uint8Array[]
}

/**
 * Starts a fetch of the root if its version is above the active one and above the one being fetched. If the same root is
 * being fetched already, adds the source and the parts to that fetch.
 */
export function considerRoot (board: Board, offer: RootOffer, context: Context): Action[] {
  const { signed, source, hint = [], parts = [] } = offer
  const distribution = board.bundleSpread
  const activeVersion = board.bundle?.version ?? 0
  const unverified = readRoot(signed.root)
  if (unverified.ok && unverified.val.version <= Math.max(activeVersion, (distribution.fetch?.root.version ?? 0) - 1)) return []
  if (distribution.fetch !== null && unverified.ok && unverified.val.version === distribution.fetch.root.version && signed.root === distribution.fetch.signed.root) {
    if (!distribution.fetch.sources.includes(source)) distribution.fetch.sources.push(source)
    return receiveParts(board, { ask: null, parts }, context)
  }
  const verified = verifyRoot(signed, distribution.trustedKeys)
  if (verified.err) return [rejection(unverified.ok ? unverified.val.version : 0, source, verified.val)]
  const { root, hash } = verified.val
  if (distribution.rejected.has(hash) || root.version <= Math.max(activeVersion, distribution.fetch?.root.version ?? 0)) return []
  const received = distribution.fetch?.parts ?? new Map()
  const missing = new Set(missingParts({ sections: root.sections, complete: distribution.parts, partial: received }))
  distribution.fetch = { signed, root, hash, parts: received, missing, hint, sources: [source], ask: null, failures: 0 }
  return receiveParts(board, { ask: null, parts }, context)
}

/** Requests the parts that are needed next, or completes the fetch when none are missing. */
export function continueFetch (board: Board, { nowMs, nextId }: Context): Action[] {
  const distribution = board.bundleSpread
  const fetch = distribution.fetch
  if (fetch === null || fetch.ask !== null) return []
  // Without an active bundle, wait for the highest of several offers first.
  if (board.bundle === null && nowMs < distribution.discoverUntilMs) return []
  const { missing } = fetch
  if (missing.size === 0) return completeFetch(board, fetch)
  const source = fetch.sources[0]
  if (source === undefined || fetch.failures > MAX_FAILURES) {
    distribution.fetch = null
    return []
  }
  const ask = nextId()
  fetch.ask = ask
  const fromService = source === KEY_VALUE_SOURCE
  const hinted = fromService ? fetch.hint.filter((hash) => !fetch.parts.has(hash) && !distribution.parts.has(hash)) : []
  const parts = [...new Set([...missing, ...hinted])].slice(0, MAX_PARTS_PER_REQUEST)
  const afterMs = (fromService ? SERVICE_REQUEST_TIMEOUT_MS : PEER_REQUEST_TIMEOUT_MS) * 2 ** Math.min(fetch.failures, MAX_DOUBLINGS)
  const timeout: Action = { kind: CoreActionKind.Schedule, afterMs, event: { kind: BundleEventKind.BundleRequestTimedOut, ask } }
  if (fromService) return [{ kind: BundleActionKind.ReadParts, ask, parts }, timeout]
  const have = board.bundle?.version ?? 0
  return [{ kind: BundleActionKind.RequestBundle, to: source, ask, have, wanted: fetch.root.version, parts }, timeout]
}

/**
 * Stores received parts that the tree needs; they are looked up by their own hash, so a wrong part is never used. `ask` is
 * null for parts that were received together with a root.
 */
export function receiveParts (board: Board, { ask, parts }: { ask: string | null, parts: Uint8Array[] }, context: Context): Action[] {
  const distribution = board.bundleSpread
  const fetch = distribution.fetch
  if (fetch === null) return []
  const received = partsByHash(parts)
  const before = fetch.parts.size
  // A Set is iterated in insertion order, including elements added meanwhile, so the children added here are visited too.
  for (const hash of fetch.missing) {
    const bytes = received.get(hash)
    if (bytes === undefined) continue
    fetch.parts.set(hash, bytes)
    fetch.missing.delete(hash)
    const children = missingParts({ sections: { [hash]: hash }, complete: distribution.parts, partial: fetch.parts })
    for (const child of children) fetch.missing.add(child)
  }
  const progress = fetch.parts.size > before
  if (progress) fetch.failures = 0
  if (ask !== null && fetch.ask === ask) {
    fetch.ask = null
    if (!progress) tryNextSource(fetch)
  }
  return continueFetch(board, context)
}

/** Continues with the next source after a request that was not answered in time. */
export function handleRequestTimeout (board: Board, ask: string, context: Context): Action[] {
  const { fetch } = board.bundleSpread
  if (fetch === null || fetch.ask !== ask) return []
  fetch.ask = null
  tryNextSource(fetch)
  return continueFetch(board, context)
}

function tryNextSource (fetch: BundleFetch): void {
  fetch.failures += 1
  const [first, ...rest] = fetch.sources
  if (first !== undefined) fetch.sources = [...rest, first]
}

/** Verifies the content of a root whose parts are all present, and emits the verified bundle or its rejection. */
function completeFetch (board: Board, fetch: BundleFetch): Action[] {
  const distribution = board.bundleSpread
  const { root, hash, signed, sources } = fetch
  const source = sources[0] ?? ''
  const received = usedParts({ sections: root.sections, complete: distribution.parts, partial: fetch.parts })
  const parts = new Map(distribution.parts)
  for (const [hash, bytes] of received) parts.set(hash, bytes)
  const content = verifyContent(root.sections, parts)
  distribution.fetch = null
  if (content.err) {
    distribution.rejected.add(hash)
    return [rejection(root.version, source, content.val)]
  }
  distribution.fresh = root.parent === (board.bundle?.version ?? 0) ? [...received.keys()] : null
  distribution.signed = signed
  distribution.parts = parts
  if (parts.size > distribution.prunedSize + PRUNE_THRESHOLD_PARTS) {
    distribution.parts = reachableParts(root.sections, parts)
    distribution.prunedSize = distribution.parts.size
  }
  return [{ kind: CoreActionKind.Emit, event: { kind: BundleEventKind.BundleVerified, version: root.version, hash, bundle: content.val, source } }]
}

function rejection (version: number, source: string, detail: string): Action {
  return { kind: CoreActionKind.Emit, event: { kind: BundleEventKind.BundleRejected, version, source, detail } }
}
