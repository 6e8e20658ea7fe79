import type { Board } from '../board/board.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { BundleActionKind } from './bundle-action.js'
import { BundleEventKind, KEY_VALUE_SOURCE } from './bundle-event.js'
import { handleRequestTimeout, considerRoot, continueFetch, receiveParts } from './bundle-fetch.js'
import { bundleIndexOf } from './bundle-index.js'
import { announce, handleAnnounceTimeout, answerRequest } from './bundle-serve.js'
import { readRoot } from './signed-bundle.js'
import { isReader, LOCAL_SHARE, randomPeers } from './distribution-peers.js'

/** Period in milliseconds at which a reader reads the head in addition to watching it: a watch can end without notice. */
const HEAD_POLL_MS = 4000

/**
 * Mean pause in milliseconds before the head is read again after a failed read or the end of a watch. It doubles with each
 * failed read in a row, up to the maximum.
 */
const HEAD_RETRY_MS = 500
const MAX_HEAD_RETRY_MS = 1500

/** Period in milliseconds at which a random peer is queried for a higher version; this makes up for lost announcements. */
const PEER_REQUEST_PERIOD_MS = 2000

/** An instance without a bundle queries this many peers at each tick, and collects offers for `DISCOVERY_MS` milliseconds. */
const DISCOVERY_PEERS = 5
const DISCOVERY_MS = 400

/**
 * An instance that is not a reader reads the head itself if it has found no bundle among its peers for this many
 * milliseconds after its start. The first of these reads is delayed by a further random time of up to the jitter.
 */
const FALLBACK_READ_DELAY_MS = 2000
const FALLBACK_READ_JITTER_MS = 5000

/** Milliseconds for which a reader waits for its own read of a version that another reader has announced. */
const READER_GRACE_MS = 150

/**
 * Milliseconds after its start for which an instance that knows no other members does not become a reader: until it has
 * received its member list, it would always select itself.
 */
const MEMBERS_WAIT_MS = 2000

/** Activates the highest verified bundle version, looks for higher ones and distributes them to other instances. */
export const bundleController: Controller = {
  name: 'bundles',
  handlers: {
    [BundleEventKind.BundleTick]: (board, _event, context) => {
      board.bundleSpread.startedMs ??= context.nowMs
      return [...readHeadIfDue(board, context), ...requestFromPeers(board, context)]
    },
    [BundleEventKind.HeadRead]: (board, { signed, fresh, parts, revision }, context) => {
      const distribution = board.bundleSpread
      distribution.headFailures = 0
      distribution.headRevision = revision
      distribution.headVersion = signed === null ? 0 : readRoot(signed.root).unwrapOr({ version: 0 }).version
      const watch = watchHead(board)
      if (signed === null) return watch
      // The head is the highest version that exists, so there is no need to wait for offers from peers.
      distribution.discoverUntilMs = context.nowMs
      return [...watch, ...considerRoot(board, { signed, source: KEY_VALUE_SOURCE, hint: fresh, parts }, context)]
    },
    [BundleEventKind.HeadUnchanged]: (board) => {
      board.bundleSpread.headFailures = 0
      return watchHead(board)
    },
    [BundleEventKind.HeadReadFailed]: (board, _event, { nowMs, random }) => {
      const distribution = board.bundleSpread
      const pauseMs = Math.min(MAX_HEAD_RETRY_MS, HEAD_RETRY_MS * 2 ** distribution.headFailures)
      distribution.headFailures += 1
      distribution.nextHeadReadMs = nowMs + pauseMs * (0.5 + random())
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
      // The short form is sent to readers, which usually read the version from the key-value service at about the same time.
      if (signed === null && version <= have) return []
      if (signed === null) return [{ kind: CoreActionKind.Schedule, afterMs: READER_GRACE_MS, event: { kind: BundleEventKind.BundleOverdue, from, version } }]
      // The version is active here already: this request acknowledges the announcement.
      return [{ kind: BundleActionKind.RequestBundle, to: from, ask: context.nextId(), have, wanted: have, parts: [] }]
    },
    [BundleEventKind.BundleOverdue]: (board, { from, version }, { nextId }) => {
      const have = board.bundle?.version ?? 0
      if (version <= have) return []
      return [{ kind: BundleActionKind.RequestBundle, to: from, ask: nextId(), have, wanted: version, parts: [] }]
    },
    [BundleEventKind.BundleRequested]: (board, event, context) => answerRequest(board, event, context),
    [BundleEventKind.BundlePartsReceived]: (board, { from, ask, signed, parts }, context) => {
      const rootActions = signed === null ? [] : considerRoot(board, { signed, source: from, parts }, context)
      return [...rootActions, ...receiveParts(board, { ask, parts }, context)]
    },
    [BundleEventKind.BundleRequestTimedOut]: (board, { ask }, context) => handleRequestTimeout(board, ask, context),
    [BundleEventKind.BundleAnnounceTimedOut]: (board, event) => handleAnnounceTimeout(board, event),
    [BundleEventKind.BundleDiscoveryEnded]: (board, _event, context) => continueFetch(board, context),
    [BundleEventKind.BundleVerified]: (board, { version, hash, bundle, source }, { nowMs }) => {
      // A source that lags behind may offer an older version after a newer one has become active.
      if (version <= (board.bundle?.version ?? 0)) return []
      board.bundle = { version, hash, sinceMs: nowMs, content: bundle, index: bundleIndexOf(bundle) }
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

/** Determines whether this instance is a reader. Reads the head, when due, if it is one or has found no bundle among its peers. */
function readHeadIfDue (board: Board, { nowMs, random }: Context): Action[] {
  const distribution = board.bundleSpread
  const ageMs = nowMs - (distribution.startedMs ?? nowMs)
  const actions: Action[] = []
  const reader = (board.members.size > 0 || ageMs >= MEMBERS_WAIT_MS) && isReader(board)
  if (reader !== distribution.reader) {
    distribution.reader = reader
    distribution.nextHeadReadMs = nowMs
    if (!reader && distribution.watching) actions.push({ kind: BundleActionKind.StopWatch })
    if (!reader) distribution.watching = false
  }
  const fallback = !reader && board.bundle === null && distribution.fetch === null && ageMs >= FALLBACK_READ_DELAY_MS
  // The first fallback read is delayed by a random time, since all instances of a fleet may start at once.
  if (fallback && distribution.nextHeadReadMs <= (distribution.startedMs ?? 0)) distribution.nextHeadReadMs = nowMs + random() * FALLBACK_READ_JITTER_MS
  if ((!reader && !fallback) || nowMs < distribution.nextHeadReadMs) return actions
  distribution.nextHeadReadMs = nowMs + HEAD_POLL_MS * (0.75 + 0.5 * random())
  return [...actions, { kind: BundleActionKind.ReadHead, knownRevision: knownRevision(board) }]
}

/** Starts a watch if this instance is a reader without one, from the revision after the one read last, so that it misses no change. */
function watchHead ({ bundleSpread }: Board): Action[] {
  if (!bundleSpread.reader || bundleSpread.watching) return []
  bundleSpread.watching = true
  return [{ kind: BundleActionKind.WatchHead, fromRevision: bundleSpread.headRevision + 1 }]
}

/**
 * Revision of the head that was read last. If the active version is lower than the head's, or none is active, this is 0,
 * so that the head is read again: the parts of the head's version may not have been available at the last read.
 */
function knownRevision ({ bundle, bundleSpread }: Board): number {
  return bundle !== null && bundleSpread.headVersion <= bundle.version ? bundleSpread.headRevision : 0
}

/**
 * Queries random peers for a version above the active one: periodically, or at each tick while no version is active or this
 * instance is a reader that can't read the head.
 */
function requestFromPeers (board: Board, { nowMs, random, nextId }: Context): Action[] {
  const distribution = board.bundleSpread
  const have = board.bundle?.version ?? 0
  // If this reader can't reach the key-value service, its whole failure domain may be cut off from it: prefer peers of other domains.
  const cutOff = distribution.reader && distribution.headFailures > 0
  if (have > 0 && !cutOff && nowMs < distribution.nextAskMs) return []
  distribution.nextAskMs = nowMs + PEER_REQUEST_PERIOD_MS * (0.75 + 0.5 * random())
  const peers = randomPeers(board, { count: have > 0 ? 1 : DISCOVERY_PEERS, localShare: cutOff ? 0 : LOCAL_SHARE, random })
  const requests = peers.map((to): Action => ({ kind: BundleActionKind.RequestBundle, to, ask: nextId(), have, wanted: 0, parts: [] }))
  if (have > 0 || distribution.discoverUntilMs > 0 || requests.length === 0) return requests
  distribution.discoverUntilMs = nowMs + DISCOVERY_MS
  return [...requests, { kind: CoreActionKind.Schedule, afterMs: DISCOVERY_MS, event: { kind: BundleEventKind.BundleDiscoveryEnded } }]
}
