import type { Board } from '../board/board.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { CoreActionKind } from '../core/core-action.js'
import { BundleActionKind } from './bundle-action.js'
import { type BundleRequested, BundleEventKind } from './bundle-event.js'
import type { PartHash } from './part.js'
import { childrenOfInstance, otherReaders } from './distribution-peers.js'

/** Parts in one answer stay below this, so that one frame never holds up the others for long. */
const MAX_ANSWER_BYTES = 512 * 1024

const ANNOUNCE_TIMEOUT_MS = 250

/** Announcements to one peer before those below it are told instead. */
const MAX_ANNOUNCES = 3

/** Tells the instances below this one about the version in force. */
export function announce (board: Board): Action[] {
  const spread = board.bundleSpread
  const version = board.bundle?.version ?? 0
  spread.announced.clear()
  const below = childrenOfInstance(board, version, board.self.id)
  const readers = spread.reader ? otherReaders(board, version) : []
  // Other readers mostly read the head themselves: they get the short form and ask if they need more.
  const short: Action[] = readers.length === 0 ? [] : [{ kind: BundleActionKind.AnnounceBundle, peers: readers, version, signed: null }]
  return [...announceTo(board, below, 1), ...short]
}

function announceTo (board: Board, peers: string[], attempt: number): Action[] {
  const version = board.bundle?.version ?? 0
  if (peers.length === 0) return []
  for (const peer of peers) board.bundleSpread.announced.set(peer, version)
  return [
    { kind: BundleActionKind.AnnounceBundle, peers, version, signed: board.bundleSpread.signed },
    { kind: CoreActionKind.Schedule, afterMs: ANNOUNCE_TIMEOUT_MS, event: { kind: BundleEventKind.BundleAnnounceTimedOut, version, attempt } }
  ]
}

/** Repeats announcements without an answer, then tells those below the silent peer. */
export function announceTimedOut (board: Board, { version, attempt }: { version: number, attempt: number }): Action[] {
  const { announced } = board.bundleSpread
  if (board.bundle?.version !== version) return []
  const silent = [...announced].filter(([, announcedVersion]) => announcedVersion === version).map(([peer]) => peer)
  if (silent.length === 0) return []
  if (attempt < MAX_ANNOUNCES) return announceTo(board, silent, attempt + 1)
  announced.clear()
  return announceTo(board, silent.flatMap((peer) => childrenOfInstance(board, version, peer)), 1)
}

/** Answers a peer's ask with the root and the parts it needs; asks back if the peer is ahead. */
export function answerAsk (board: Board, asked: BundleRequested, { nextId }: Context): Action[] {
  const { from, ask, have, wanted } = asked
  const { announced, signed, parts } = board.bundleSpread
  const version = board.bundle?.version ?? 0
  if (Math.max(have, wanted) >= (announced.get(from) ?? Infinity)) announced.delete(from)
  if (have > version) return [{ kind: BundleActionKind.RequestBundle, to: from, ask: nextId(), have: version, wanted: have, parts: [] }]
  if (have === version) return []
  const found: Uint8Array[] = []
  let bytes = 0
  for (const hash of [...asked.parts, ...freshFor(board, have)]) {
    const part = parts.get(hash)
    if (part === undefined || bytes + part.length > MAX_ANSWER_BYTES) continue
    bytes += part.length
    found.push(part)
  }
  const root = wanted === version && asked.parts.length > 0 ? null : signed
  return [{ kind: BundleActionKind.SendParts, to: from, ask, signed: root, parts: [...new Set(found)] }]
}

/** A peer with the parent version needs exactly the parts that are new in this one; they go out without being asked for one by one. */
function freshFor (board: Board, have: number): PartHash[] {
  const { fresh } = board.bundleSpread
  return have > 0 && have === (board.bundle?.version ?? 0) - 1 && fresh !== null ? fresh : []
}
