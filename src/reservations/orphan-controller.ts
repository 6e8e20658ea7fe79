import type { Board } from '../board/board.js'
import type { WatchedStream } from '../board/watched-stream.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { coordinatorOf } from '../placement/coordinator.js'
import { ServerEventKind } from '../placement/server-event.js'
import { cancelKey, cancelWork } from '../requests/cancellation.js'
import { isWorkNeeded } from '../requests/held-work.js'
import { ReservationActionKind } from './reservation-action.js'
import { ReservationEventKind, type HeldStream } from './reservation-event.js'
import { livenessOfOwner, orphanRules } from './owner-liveness.js'

/** Time that an owner has to answer after the first unanswered query, in ms, before its stream may be released. */
const OWNER_ANSWER_TIMEOUT_MS = 1000

/** Lists the runners again as soon as the owner's time to answer has passed, not up to one listing period later. */
const scheduleListingAction: Action = { kind: CoreActionKind.Schedule, afterMs: OWNER_ANSWER_TIMEOUT_MS + 1, event: { kind: ReservationEventKind.ReservationTick } }

/** Minimum time between two queries about the same stream, in ms. */
const MIN_QUERY_INTERVAL_MS = 1000

/**
 * Time after which the owner of a stream is queried although it seems alive, in ms, because it may have lost track of the stream.
 * Counts from the first listing of the stream or the owner's last answer.
 */
const AUDIT_PERIOD_MS = 20000

/** Longest gap between two listings, in ms; after a longer one this process may have been paused, and answers of owners may still be unread. */
const MAX_LISTING_GAP_MS = 2000

/** Time for which departed instances are remembered, in ms; no stream of an instance that departed earlier can be left. */
const DEPARTED_RETENTION_MS = 600000

/** Releases streams that no request needs any more, on the runners that this instance coordinates. */
export const orphanController: Controller = {
  name: 'orphans',
  handlers: {
    [ServerEventKind.InstanceListRead]: (board, { instances }, { nowMs }) => {
      if (instances.length > 0) recordDepartures(board, new Set(instances.map((instance) => instance.id)), nowMs)
      return []
    },
    [ReservationEventKind.ReservationTick]: (board) => {
      for (const server of board.watchedStreams.keys()) {
        if (coordinatorOf(board, server) !== board.self.id) board.watchedStreams.delete(server)
      }
      return []
    },
    [ReservationEventKind.StreamsListed]: (board, { server, streams }, context) => {
      const previous = board.watchedStreams.get(server)
      const watched = new Map(streams.map((stream) => [stream.work, previous?.get(stream.work) ?? createWatchedStream(server, stream, context)]))
      board.watchedStreams.set(server, watched)
      return [...watched.values()].flatMap((stream) => checkStream(board, stream, context))
    },
    [ReservationEventKind.OwnerAnswered]: (board, { work, server, wanted }, context) => {
      const stream = board.watchedStreams.get(server)?.get(work)
      if (stream === undefined) return []
      if (!wanted) return releaseStream(board, stream, 'unwanted', context)
      stream.sinceMs = context.nowMs
      clearSuspicion(stream)
      return []
    }
  }
}

function recordDepartures (board: Board, listed: Set<string>, nowMs: number): void {
  for (const id of board.listedInstances) board.departedInstances.set(id, nowMs)
  for (const [id, departedMs] of board.departedInstances) {
    if (listed.has(id) || nowMs - departedMs > DEPARTED_RETENTION_MS) board.departedInstances.delete(id)
  }
  board.listedInstances = listed
}

function createWatchedStream (server: string, { work, owner, incarnation }: HeldStream, { nowMs }: Context): WatchedStream {
  return { work, server, owner, incarnation, sinceMs: nowMs, listedMs: nowMs, doubtfulListings: 0, askedMs: null, lastAskedMs: -Infinity }
}

function checkStream (board: Board, stream: WatchedStream, context: Context): Action[] {
  return stream.owner === board.self.id ? checkOwnStream(board, stream, context) : checkPeerStream(board, stream, context)
}

/** Releases a stream of this instance that no request needs. Work ids are never reused, so an outdated listing can't show work that is needed later. */
function checkOwnStream (board: Board, stream: WatchedStream, context: Context): Action[] {
  const { work, server, incarnation } = stream
  const isCurrentIncarnation = incarnation === board.self.incarnation
  if (isCurrentIncarnation && isWorkNeeded(board, work, server)) return []
  return releaseStream(board, stream, isCurrentIncarnation ? 'unwanted' : 'replaced', context)
}

/** Queries the owner of a stream of another instance if needed, and releases the stream if its owner may have exited and does not answer in time. */
function checkPeerStream (board: Board, stream: WatchedStream, context: Context): Action[] {
  const liveness = livenessOfOwner(board, stream)
  const { queryAfterListings, releaseAfterListings } = orphanRules[liveness]
  if (context.nowMs - stream.listedMs > MAX_LISTING_GAP_MS) clearSuspicion(stream)
  stream.listedMs = context.nowMs
  if (queryAfterListings === Infinity) {
    clearSuspicion(stream)
    return context.nowMs - stream.sinceMs < AUDIT_PERIOD_MS ? [] : queryOwner(stream, AUDIT_PERIOD_MS, context)
  }
  stream.doubtfulListings += 1
  const ownerSilent = stream.askedMs !== null && context.nowMs - stream.askedMs >= OWNER_ANSWER_TIMEOUT_MS
  if (ownerSilent && stream.doubtfulListings >= releaseAfterListings) return releaseStream(board, stream, liveness, context)
  if (stream.doubtfulListings < queryAfterListings) return []
  const firstQuery = stream.askedMs === null
  stream.askedMs ??= context.nowMs
  return [...queryOwner(stream, MIN_QUERY_INTERVAL_MS, context), ...(firstQuery ? [scheduleListingAction] : [])]
}

function clearSuspicion (stream: WatchedStream): void {
  stream.doubtfulListings = 0
  stream.askedMs = null
}

function queryOwner (stream: WatchedStream, minIntervalMs: number, { nowMs }: Context): Action[] {
  if (nowMs - stream.lastAskedMs < minIntervalMs) return []
  stream.lastAskedMs = nowMs
  const { owner, incarnation, work, server } = stream
  return [{ kind: ReservationActionKind.QueryOwner, owner, incarnation, work, server }]
}

function releaseStream (board: Board, { work, server, owner }: WatchedStream, reason: string, context: Context): Action[] {
  if (board.cancels.has(cancelKey(work, server))) return []
  return [
    { kind: CoreActionKind.Log, name: 'stream_released', fields: { work, server, owner, reason } },
    ...cancelWork(board, work, server, context)
  ]
}
