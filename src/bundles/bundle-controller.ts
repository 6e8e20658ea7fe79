import type { Board } from '../board/board.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { BundleActionKind } from './bundle-action.js'
import { BundleEventKind, KEY_VALUE_SOURCE } from './bundle-event.js'
import { askTimedOut, considerRoot, continueFetch, takeParts } from './bundle-fetch.js'
import { indexOf } from './bundle-index.js'
import { announce, announceTimedOut, answerAsk } from './bundle-serve.js'
import { readRoot } from './signed-bundle.js'
import { isReader, NEAR_SHARE, randomPeers } from './distribution-peers.js'

/** Period at which a reader reads the head although it watches it: a watch can end without notice. */
const HEAD_POLL_MS = 4000

/** Bounds of the pause after the head could not be read. */
const HEAD_RETRY_MS = 500
const MAX_HEAD_RETRY_MS = 1500

/** Period of asking a random peer for a higher version: repairs whatever announcements have missed. */
const PEER_ASK_MS = 2000

/** An instance without a bundle asks this many peers at each tick, and collects offers for a while. */
const DISCOVERY_PEERS = 5
const DISCOVERY_MS = 400

/** An instance that finds no bundle among its peers for this long reads the head itself, spread over a further while. */
const ORPHAN_MS = 2000
const ORPHAN_SPREAD_MS = 5000

/** A reader that hears of a version from another reader waits this long for its own read of it. */
const READER_GRACE_MS = 150

/** Until its list of members has been read, an instance would take itself for a reader. */
const MEMBERS_WAIT_MS = 2000

/** Puts the highest verified bundle in force, asks for newer ones and passes them on. */
export const bundleController: Controller = {
  name: 'bundles',
  handlers: {
    [BundleEventKind.BundleTick]: (board, _event, context) => {
      board.bundleSpread.startedMs ??= context.nowMs
      return [...readService(board, context), ...askPeers(board, context)]
    },
    [BundleEventKind.HeadRead]: (board, { signed, fresh, parts, revision }, context) => {
      const spread = board.bundleSpread
      spread.headFailures = 0
      spread.headRevision = revision
      spread.headVersion = signed === null ? 0 : readRoot(signed.root).unwrapOr({ version: 0 }).version
      const watch = watchHead(board)
      if (signed === null) return watch
      // The head is the highest version there is: nothing else is awaited.
      spread.discoverUntilMs = context.nowMs
      return [...watch, ...considerRoot(board, { signed, source: KEY_VALUE_SOURCE, hint: fresh, parts }, context)]
    },
    [BundleEventKind.HeadUnchanged]: (board) => {
      board.bundleSpread.headFailures = 0
      return watchHead(board)
    },
    [BundleEventKind.BundleUnreadable]: (board, _event, { nowMs, random }) => {
      const spread = board.bundleSpread
      const pauseMs = Math.min(MAX_HEAD_RETRY_MS, HEAD_RETRY_MS * 2 ** spread.headFailures)
      spread.headFailures += 1
      spread.nextHeadReadMs = nowMs + pauseMs * (0.5 + random())
      return []
    },
    [BundleEventKind.HeadWatchEnded]: (board, _event, { nowMs, random }) => {
      board.bundleSpread.watching = false
      board.bundleSpread.nextHeadReadMs = nowMs + HEAD_RETRY_MS * (0.5 + random())
      return []
    },
    [BundleEventKind.BundleAnnounced]: (board, { from, version, signed }, context) => {
      const have = board.bundle?.version ?? 0
      if (signed !== null && version > have) return considerRoot(board, { signed, source: from }, context)
      // The short form goes to readers, which mostly have the version at the same moment from the service.
      if (signed === null && version <= have) return []
      if (signed === null) return [{ kind: CoreActionKind.Schedule, afterMs: READER_GRACE_MS, event: { kind: BundleEventKind.BundleOverdue, from, version } }]
      return [{ kind: BundleActionKind.RequestBundle, to: from, ask: context.nextId(), have, wanted: have, parts: [] }]
    },
    [BundleEventKind.BundleOverdue]: (board, { from, version }, { nextId }) => {
      const have = board.bundle?.version ?? 0
      if (version <= have) return []
      return [{ kind: BundleActionKind.RequestBundle, to: from, ask: nextId(), have, wanted: version, parts: [] }]
    },
    [BundleEventKind.BundleRequested]: (board, event, context) => answerAsk(board, event, context),
    [BundleEventKind.BundlePartsReceived]: (board, { from, ask, signed, parts }, context) => {
      const taken = signed === null ? [] : considerRoot(board, { signed, source: from, parts }, context)
      return [...taken, ...takeParts(board, { ask, parts }, context)]
    },
    [BundleEventKind.BundleRequestTimedOut]: (board, { ask }, context) => askTimedOut(board, ask, context),
    [BundleEventKind.BundleAnnounceTimedOut]: (board, event) => announceTimedOut(board, event),
    [BundleEventKind.BundleDiscoveryEnded]: (board, _event, context) => continueFetch(board, context),
    [BundleEventKind.BundleVerified]: (board, { version, hash, bundle, source }, { nowMs }) => {
      // A lagging source may offer an older version after a newer one is in force.
      if (version <= (board.bundle?.version ?? 0)) return []
      board.bundle = { version, hash, sinceMs: nowMs, content: bundle, index: indexOf(bundle) }
      return [
        { kind: CoreActionKind.Log, name: 'bundle_applied', fields: { version, source } },
        { kind: CoreActionKind.Emit, event: { kind: BundleEventKind.BundleApplied, version } },
        ...announce(board)
      ]
    },
    [BundleEventKind.BundleRejected]: (_board, { version, source, detail }) => [
      { kind: CoreActionKind.Log, name: 'bundle_rejected', fields: { version, source, detail } }
    ]
  }
}

/** Reads and watches the head while this instance is a reader, or has found no bundle among its peers. */
function readService (board: Board, { nowMs, random }: Context): Action[] {
  const spread = board.bundleSpread
  const ageMs = nowMs - (spread.startedMs ?? nowMs)
  const actions: Action[] = []
  const reader = (board.members.size > 0 || ageMs >= MEMBERS_WAIT_MS) && isReader(board)
  if (reader !== spread.reader) {
    spread.reader = reader
    spread.nextHeadReadMs = nowMs
    if (!reader && spread.watching) actions.push({ kind: BundleActionKind.StopWatch })
    if (!reader) spread.watching = false
  }
  const orphan = !reader && board.bundle === null && spread.fetch === null && ageMs >= ORPHAN_MS
  // The first read of an orphan is spread out, since a whole fleet may start at once.
  if (orphan && spread.nextHeadReadMs <= (spread.startedMs ?? 0)) spread.nextHeadReadMs = nowMs + random() * ORPHAN_SPREAD_MS
  if ((!reader && !orphan) || nowMs < spread.nextHeadReadMs) return actions
  spread.nextHeadReadMs = nowMs + HEAD_POLL_MS * (0.75 + 0.5 * random())
  return [...actions, { kind: BundleActionKind.ReadHead, knownRevision: knownRevision(board) }]
}

/** Starts the watch of a reader that has none, from the revision it has read: no change in between is missed. */
function watchHead ({ bundleSpread }: Board): Action[] {
  if (!bundleSpread.reader || bundleSpread.watching) return []
  bundleSpread.watching = true
  return [{ kind: BundleActionKind.WatchHead, fromRevision: bundleSpread.headRevision + 1 }]
}

/** A head whose version is not in force is read again: its content may not have been available. */
function knownRevision ({ bundle, bundleSpread }: Board): number {
  return bundle !== null && bundleSpread.headVersion <= bundle.version ? bundleSpread.headRevision : 0
}

/** Asks random peers for a version higher than the one in force. */
function askPeers (board: Board, { nowMs, random, nextId }: Context): Action[] {
  const spread = board.bundleSpread
  const have = board.bundle?.version ?? 0
  // A reader without the service may be cut off together with its failure domain: only other domains can tell.
  const cutOff = spread.reader && spread.headFailures > 0
  if (have > 0 && !cutOff && nowMs < spread.nextAskMs) return []
  spread.nextAskMs = nowMs + PEER_ASK_MS * (0.75 + 0.5 * random())
  const peers = randomPeers(board, { count: have > 0 ? 1 : DISCOVERY_PEERS, nearShare: cutOff ? 0 : NEAR_SHARE, random })
  const asks = peers.map((to): Action => ({ kind: BundleActionKind.RequestBundle, to, ask: nextId(), have, wanted: 0, parts: [] }))
  if (have > 0 || spread.discoverUntilMs > 0 || asks.length === 0) return asks
  spread.discoverUntilMs = nowMs + DISCOVERY_MS
  return [...asks, { kind: CoreActionKind.Schedule, afterMs: DISCOVERY_MS, event: { kind: BundleEventKind.BundleDiscoveryEnded } }]
}
