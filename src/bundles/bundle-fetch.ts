import type { Board } from '../board/board.js'
import type { BundleFetch } from '../board/bundle-distribution.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { CoreActionKind } from '../core/core-action.js'
import { BundleActionKind } from './bundle-action.js'
import { BundleEventKind, KEY_VALUE_SOURCE } from './bundle-event.js'
import type { PartHash } from './part.js'
import { missingParts, reachableParts, usedParts } from './part-tree.js'
import { addressParts, readRoot, type SignedBundle, verifyContent, verifyRoot } from './signed-bundle.js'

/** Parts in one ask; about 256 KB of answer at 2 KB a part. */
const MAX_PARTS_PER_ASK = 128

/** Covers the way to another region and back. Doubles with each failure, since a slow source gets slower with each repetition. */
const PEER_ASK_TIMEOUT_MS = 250
const SERVICE_ASK_TIMEOUT_MS = 500
const MAX_DOUBLINGS = 3

/** Asks in a row without progress after which a fetch is given up; a later announcement starts it again. */
const MAX_FAILURES = 8

/** Earlier parts are kept for peers that still fetch them, until there are this many more than at the last pruning. */
const SPARE_PARTS = 512

/** A root from some source, perhaps with parts; nothing in it has been checked. */
export interface RootOffer {
  signed: SignedBundle
  source: string
  /** Parts that are most likely missing. */
  hint?: PartHash[]
  parts?: Uint8Array[]
}

/** Takes up a signed root if it is higher than all that is known here, and fetches its parts. */
export function considerRoot (board: Board, offer: RootOffer, context: Context): Action[] {
  const { signed, source, hint = [], parts = [] } = offer
  const spread = board.bundleSpread
  const inForce = board.bundle?.version ?? 0
  const claimed = readRoot(signed.root)
  if (claimed.ok && claimed.val.version <= Math.max(inForce, (spread.fetch?.root.version ?? 0) - 1)) return []
  if (spread.fetch !== null && claimed.ok && claimed.val.version === spread.fetch.root.version && signed.root === spread.fetch.signed.root) {
    if (!spread.fetch.sources.includes(source)) spread.fetch.sources.push(source)
    return takeParts(board, { ask: null, parts }, context)
  }
  const verified = verifyRoot(signed, spread.trustedKeys)
  if (verified.err) return [rejection(claimed.ok ? claimed.val.version : 0, source, verified.val)]
  const { root, hash } = verified.val
  if (spread.rejected.has(hash) || root.version <= Math.max(inForce, spread.fetch?.root.version ?? 0)) return []
  const received = spread.fetch?.parts ?? new Map()
  const missing = new Set(missingParts({ sections: root.sections, complete: spread.parts, partial: received }))
  spread.fetch = { signed, root, hash, parts: received, missing, hint, sources: [source], ask: null, failures: 0 }
  return takeParts(board, { ask: null, parts }, context)
}

/** Asks for the parts that are needed next, or puts the bundle in force when there are none. */
export function continueFetch (board: Board, { nowMs, nextId }: Context): Action[] {
  const spread = board.bundleSpread
  const fetch = spread.fetch
  if (fetch === null || fetch.ask !== null) return []
  // Without a bundle in force, the highest of several offers is awaited first.
  if (board.bundle === null && nowMs < spread.discoverUntilMs) return []
  const { missing } = fetch
  if (missing.size === 0) return complete(board, fetch)
  const source = fetch.sources[0]
  if (source === undefined || fetch.failures > MAX_FAILURES) {
    spread.fetch = null
    return []
  }
  const ask = nextId()
  fetch.ask = ask
  const service = source === KEY_VALUE_SOURCE
  const hinted = service ? fetch.hint.filter((hash) => !fetch.parts.has(hash) && !spread.parts.has(hash)) : []
  const parts = [...new Set([...missing, ...hinted])].slice(0, MAX_PARTS_PER_ASK)
  const afterMs = (service ? SERVICE_ASK_TIMEOUT_MS : PEER_ASK_TIMEOUT_MS) * 2 ** Math.min(fetch.failures, MAX_DOUBLINGS)
  const timeout: Action = { kind: CoreActionKind.Schedule, afterMs, event: { kind: BundleEventKind.BundleRequestTimedOut, ask } }
  if (service) return [{ kind: BundleActionKind.ReadParts, ask, parts }, timeout]
  const have = board.bundle?.version ?? 0
  return [{ kind: BundleActionKind.RequestBundle, to: source, ask, have, wanted: fetch.root.version, parts }, timeout]
}

/** Keeps received parts that the tree needs; parts are addressed by their own hash, so a wrong one is never used. */
export function takeParts (board: Board, { ask, parts }: { ask: string | null, parts: Uint8Array[] }, context: Context): Action[] {
  const spread = board.bundleSpread
  const fetch = spread.fetch
  if (fetch === null) return []
  const received = addressParts(parts)
  const before = fetch.parts.size
  // A set is walked in the order of insertion, so that the children added here are seen in the same walk.
  for (const hash of fetch.missing) {
    const bytes = received.get(hash)
    if (bytes === undefined) continue
    fetch.parts.set(hash, bytes)
    fetch.missing.delete(hash)
    const below = missingParts({ sections: { [hash]: hash }, complete: spread.parts, partial: fetch.parts })
    for (const child of below) fetch.missing.add(child)
  }
  const progress = fetch.parts.size > before
  if (progress) fetch.failures = 0
  if (ask !== null && fetch.ask === ask) {
    fetch.ask = null
    if (!progress) tryNextSource(fetch)
  }
  return continueFetch(board, context)
}

/** Goes on with another source after an ask without an answer. */
export function askTimedOut (board: Board, ask: string, context: Context): Action[] {
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

function complete (board: Board, fetch: BundleFetch): Action[] {
  const spread = board.bundleSpread
  const { root, hash, signed, sources } = fetch
  const source = sources[0] ?? ''
  const received = usedParts({ sections: root.sections, complete: spread.parts, partial: fetch.parts })
  const parts = new Map(spread.parts)
  for (const [hash, bytes] of received) parts.set(hash, bytes)
  const content = verifyContent(root.sections, parts)
  spread.fetch = null
  if (content.err) {
    spread.rejected.add(hash)
    return [rejection(root.version, source, content.val)]
  }
  spread.fresh = root.parent === (board.bundle?.version ?? 0) ? [...received.keys()] : null
  spread.signed = signed
  spread.parts = parts
  if (parts.size > spread.prunedSize + SPARE_PARTS) {
    spread.parts = reachableParts(root.sections, parts)
    spread.prunedSize = spread.parts.size
  }
  return [{ kind: CoreActionKind.Emit, event: { kind: BundleEventKind.BundleVerified, version: root.version, hash, bundle: content.val, source } }]
}

function rejection (version: number, source: string, detail: string): Action {
  return { kind: CoreActionKind.Emit, event: { kind: BundleEventKind.BundleRejected, version, source, detail } }
}
