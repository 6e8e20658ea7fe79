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
import { ownerLiveness, doubtRules } from './owner-liveness.js'

/** Silence of an owner in doubt after the first unanswered question. */
const OWNER_ANSWER_MS = 1000

/** The listing that decides comes right after the owner's time, not up to a period later. */
const listAgain: Action = { kind: CoreActionKind.Schedule, afterMs: OWNER_ANSWER_MS + 1, event: { kind: ReservationEventKind.ReservationTick } }

/** An owner is asked about the same stream at most this often. */
const ASK_PERIOD_MS = 1000

/** The owner of a stream that is older than this is asked although nothing speaks against it: it may have forgotten the stream. */
const AUDIT_PERIOD_MS = 20000

/** A longer gap between two listings may be a pause of this process, with answers of owners still unread. */
const MAX_LISTING_GAP_MS = 2000

/** No stream of an instance that departed longer ago can be left. */
const DEPARTED_MEMORY_MS = 600000

/** Releases streams that nobody waits for, on the runners that this instance keeps. */
export const orphanController: Controller = {
  name: 'orphans',
  handlers: {
    [ServerEventKind.InstanceListRead]: (board, { instances }, { nowMs }) => {
      if (instances.length > 0) noteDepartures(board, new Set(instances.map((instance) => instance.id)), nowMs)
      return []
    },
    [ReservationEventKind.ReservationTick]: (board) => {
      for (const server of board.watchedStreams.keys()) {
        if (coordinatorOf(board, server) !== board.self.id) board.watchedStreams.delete(server)
      }
      return []
    },
    [ReservationEventKind.StreamsListed]: (board, { server, streams }, context) => {
      const before = board.watchedStreams.get(server)
      const watched = new Map(streams.map((stream) => [stream.work, before?.get(stream.work) ?? watch(server, stream, context)]))
      board.watchedStreams.set(server, watched)
      return [...watched.values()].flatMap((stream) => judge(board, stream, context))
    },
    [ReservationEventKind.OwnerAnswered]: (board, { work, server, wanted }, context) => {
      const stream = board.watchedStreams.get(server)?.get(work)
      if (stream === undefined) return []
      if (!wanted) return release(board, stream, 'unwanted', context)
      stream.sinceMs = context.nowMs
      clearDoubt(stream)
      return []
    }
  }
}

function noteDepartures (board: Board, listed: Set<string>, nowMs: number): void {
  for (const id of board.listedInstances) board.departedInstances.set(id, nowMs)
  for (const [id, departedMs] of board.departedInstances) {
    if (listed.has(id) || nowMs - departedMs > DEPARTED_MEMORY_MS) board.departedInstances.delete(id)
  }
  board.listedInstances = listed
}

function watch (server: string, { work, owner, incarnation }: HeldStream, { nowMs }: Context): WatchedStream {
  return { work, server, owner, incarnation, sinceMs: nowMs, listedMs: nowMs, doubtfulListings: 0, askedMs: null, lastAskedMs: -Infinity }
}

function judge (board: Board, stream: WatchedStream, context: Context): Action[] {
  return stream.owner === board.self.id ? judgeOwn(board, stream, context) : judgeOther(board, stream, context)
}

/** Work ids are never used again, so that an older listing can't show work that is wanted later. */
function judgeOwn (board: Board, stream: WatchedStream, context: Context): Action[] {
  const { work, server, incarnation } = stream
  const current = incarnation === board.self.incarnation
  if (current && isWorkNeeded(board, work, server)) return []
  return release(board, stream, current ? 'unwanted' : 'replaced', context)
}

function judgeOther (board: Board, stream: WatchedStream, context: Context): Action[] {
  const doubt = ownerLiveness(board, stream)
  const { askAfterListings, releaseAfterListings } = doubtRules[doubt]
  if (context.nowMs - stream.listedMs > MAX_LISTING_GAP_MS) clearDoubt(stream)
  stream.listedMs = context.nowMs
  if (askAfterListings === Infinity) {
    clearDoubt(stream)
    return context.nowMs - stream.sinceMs < AUDIT_PERIOD_MS ? [] : ask(stream, AUDIT_PERIOD_MS, context)
  }
  stream.doubtfulListings += 1
  const silent = stream.askedMs !== null && context.nowMs - stream.askedMs >= OWNER_ANSWER_MS
  if (silent && stream.doubtfulListings >= releaseAfterListings) return release(board, stream, doubt, context)
  if (stream.doubtfulListings < askAfterListings) return []
  const first = stream.askedMs === null
  stream.askedMs ??= context.nowMs
  return [...ask(stream, ASK_PERIOD_MS, context), ...(first ? [listAgain] : [])]
}

function clearDoubt (stream: WatchedStream): void {
  stream.doubtfulListings = 0
  stream.askedMs = null
}

function ask (stream: WatchedStream, periodMs: number, { nowMs }: Context): Action[] {
  if (nowMs - stream.lastAskedMs < periodMs) return []
  stream.lastAskedMs = nowMs
  const { owner, incarnation, work, server } = stream
  return [{ kind: ReservationActionKind.QueryOwner, owner, incarnation, work, server }]
}

function release (board: Board, { work, server, owner }: WatchedStream, reason: string, context: Context): Action[] {
  if (board.cancels.has(cancelKey(work, server))) return []
  return [
    { kind: CoreActionKind.Log, name: 'stream_released', fields: { work, server, owner, reason } },
    ...cancelWork(board, work, server, context)
  ]
}
