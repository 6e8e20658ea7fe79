import type { Board } from '../board/board.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { CoreActionKind } from '../core/core-action.js'
import { BundleActionKind } from './bundle-action.js'
import { type BundleRequested, BundleEventKind } from './bundle-event.js'
import type { PartHash } from './part.js'
import { childrenOfInstance, otherReaders } from './distribution-peers.js'

/** Maximum total size of the parts in one answer, in bytes, so that one frame does not delay the others for long. */
const MAX_ANSWER_BYTES = 512 * 1024

/** Milliseconds to wait for acknowledgements of an announcement. */
const ANNOUNCE_TIMEOUT_MS = 250

/** Maximum number of unacknowledged announcements to a peer; after that its children in the tree receive the announcement directly. */
const MAX_ANNOUNCE_ATTEMPTS = 3

/** Announces the active version to this instance's children in the tree and, if it is a reader, to other readers. */
export function announce (board: Board): Action[] {
  const distribution = board.bundleSpread
  const version = board.bundle?.version ?? 0
  distribution.announced.clear()
  const children = childrenOfInstance(board, version, board.self.id)
  const readers = distribution.reader ? otherReaders(board, version) : []
  // Other readers usually read the head themselves: they receive the short form and request the bundle if they need it.
  const shortAnnouncement: Action[] = readers.length === 0 ? [] : [{ kind: BundleActionKind.AnnounceBundle, peers: readers, version, signed: null }]
  return [...announceTo(board, children, 1), ...shortAnnouncement]
}

/** Announces the active version to the peers and records that each of them has to acknowledge it. */
function announceTo (board: Board, peers: string[], attempt: number): Action[] {
  const version = board.bundle?.version ?? 0
  if (peers.length === 0) return []
  for (const peer of peers) board.bundleSpread.announced.set(peer, version)
  return [
    { kind: BundleActionKind.AnnounceBundle, peers, version, signed: board.bundleSpread.signed },
    { kind: CoreActionKind.Schedule, afterMs: ANNOUNCE_TIMEOUT_MS, event: { kind: BundleEventKind.BundleAnnounceTimedOut, version, attempt } }
  ]
}

/** Retries unacknowledged announcements; after the last attempt, announces to the children of each silent peer instead. */
export function handleAnnounceTimeout (board: Board, { version, attempt }: { version: number, attempt: number }): Action[] {
  const { announced } = board.bundleSpread
  if (board.bundle?.version !== version) return []
  const unacknowledged = [...announced].filter(([, announcedVersion]) => announcedVersion === version).map(([peer]) => peer)
  if (unacknowledged.length === 0) return []
  if (attempt < MAX_ANNOUNCE_ATTEMPTS) return announceTo(board, unacknowledged, attempt + 1)
  announced.clear()
  return announceTo(board, unacknowledged.flatMap((peer) => childrenOfInstance(board, version, peer)), 1)
}

/** Answers a peer's request with the root and the parts it needs; requests the peer's version if that is higher. */
export function answerRequest (board: Board, request: BundleRequested, { nextId }: Context): Action[] {
  const { from, ask, have, wanted } = request
  const { announced, signed, parts } = board.bundleSpread
  const version = board.bundle?.version ?? 0
  // A request that names the announced version or a higher one acknowledges the announcement.
  if (Math.max(have, wanted) >= (announced.get(from) ?? Infinity)) announced.delete(from)
  if (have > version) return [{ kind: BundleActionKind.RequestBundle, to: from, ask: nextId(), have: version, wanted: have, parts: [] }]
  if (have === version) return []
  const found: Uint8Array[] = []
  let bytes = 0
  for (const hash of [...request.parts, ...freshPartsFor(board, have)]) {
    const part = parts.get(hash)
    if (part === undefined || bytes + part.length > MAX_ANSWER_BYTES) continue
    bytes += part.length
    found.push(part)
  }
  const root = wanted === version && request.parts.length > 0 ? null : signed
  return [{ kind: BundleActionKind.SendParts, to: from, ask, signed: root, parts: [...new Set(found)] }]
}

/** Parts that are new in the active version if the peer has its parent version; they are sent unrequested, since the peer needs exactly these. */
function freshPartsFor (board: Board, have: number): PartHash[] {
  const { fresh } = board.bundleSpread
  return have > 0 && have === (board.bundle?.version ?? 0) - 1 && fresh !== null ? fresh : []
}
