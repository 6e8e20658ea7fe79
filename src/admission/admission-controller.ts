import type { QueuedRequest } from '../board/admission-table.js'
import { RunnerRole } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import type { ModelRequest } from '../board/model-request.js'
import type { Model, RequestClass } from '../bundles/bundle.js'
import type { Action } from '../core/action.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { RefusalKind } from '../errors/refusal.js'
import { reservesCapacity } from '../placement/placement.js'
import { poolOf } from '../placement/pools.js'
import { ServerEventKind } from '../placement/server-event.js'
import { RequestEventKind } from '../requests/request-event.js'
import { NEUTRAL_TOLERANCE, wastedPrefillTolerance } from '../placement/wasted-prefill-tolerance.js'
import { countAhead, dequeue, enqueue, hasRoom, nextQueued, turnOf } from './admission-queue.js'
import { learnTokenPeriod, placeWait, prefillWait, serviceTime, streamTime, uncachedTokens } from './estimate.js'
import { releaseQuota, servingInstanceCount, acquireQuota } from './organisation-limit.js'

/**
 * Prefill work that all instances together may have open, as time of the whole pool. Each instance takes an equal part:
 * while others are idle, its prefills finish sooner and its part turns over faster, so that no reports are needed.
 */
const PREFILL_WINDOW_MS = 800

/**
 * Part of the first-token target that the estimate may use up; the rest covers its error. The more goodput weighs, the
 * fewer doubtful requests are let in, since each that comes late takes the place of one in time.
 */
const MAX_TARGET_SHARE = 0.95
const MIN_TARGET_SHARE = 0.7

/** Asks for a place that all instances together may have open for each decode runner. */
const ASKS_PER_RUNNER = 3

/** The first few tokens of a stream say little about its pace. */
const LEARN_TOKENS = 8

/** Weight of a new time between grants. */
const GRANT_WEIGHT = 0.2

/** A late request gives way everywhere; one that ends after its deadline has wasted its prefill. */
const LATE_SLACK_MS = 3000

/** A single long pause between grants says little about the next ones. */
const MAX_GRANT_PERIOD_MS = 1000

const MIN_RETRY_AFTER_MS = 1000

/** Decides whether a request that arrived may go on, has to wait or is refused before any work is done for it. */
export const admissionController: Controller = {
  name: 'admission',
  handlers: {
    [RequestEventKind.RequestArrived]: (board, { request }, { nowMs }) => {
      const found = board.requests.get(request)
      if (found === undefined) return []
      const organisation = board.bundle?.index.organisations.get(found.organisation)
      const model = board.bundle?.index.models.get(found.model)
      const requestClass = board.bundle?.index.classes.get(found.class)
      if (organisation === undefined || model === undefined || requestClass === undefined) return [admitted(request)]
      const taken = acquireQuota(board, organisation, nowMs)
      if (!taken.allowed) return [refused(request, RefusalKind.OrganisationLimit, taken.detail, taken.retryAfterMs)]
      board.admission.limited.add(request)
      if (!reservesCapacity(board)) return [admitted(request)]
      return [...receive(board, found, model, requestClass, nowMs), ...admitWaiting(board, nowMs)]
    },
    [RequestEventKind.ReservationAnswered]: (board, { request, granted }, { nowMs }) => {
      const found = board.requests.get(request)
      if (!granted) return found === undefined ? [] : recheck(board, found, nowMs)
      if (found !== undefined && board.admission.asking.delete(request)) learnGrant(board, found.model, nowMs)
      return admitWaiting(board, nowMs)
    },
    [RequestEventKind.PrefillFinished]: (board, { request }, { nowMs }) => {
      board.admission.prefilling.delete(request)
      return admitWaiting(board, nowMs)
    },
    [RequestEventKind.DecodeProgress]: (board, { request, attempt, tokens }, { nowMs }) => {
      const found = board.requests.get(request)
      if (found?.attempt === attempt && tokens >= LEARN_TOKENS) learnTokenPeriod(board, found, tokens, nowMs)
      return []
    },
    [RequestEventKind.RequestEnded]: (board, { request, organisation }, { nowMs }) => {
      if (board.admission.limited.delete(request)) releaseQuota(board, organisation)
      board.admission.asking.delete(request)
      board.admission.prefilling.delete(request)
      board.admission.late.delete(request)
      const queued = board.admission.queue.find((entry) => entry.request === request)
      if (queued !== undefined) dequeue(board, queued)
      return admitWaiting(board, nowMs)
    },
    [ServerEventKind.LoadReported]: (board, _event, { nowMs }) => admitWaiting(board, nowMs),
    [ServerEventKind.ServerTick]: (board, _event, { nowMs }) => admitWaiting(board, nowMs)
  }
}

/** Puts a request into the queue, or refuses it when it can't be answered in time or the queue is full. */
function receive (board: Board, request: ModelRequest, model: Model, requestClass: RequestClass, nowMs: number): Action[] {
  const { admission } = board
  const tokens = request.promptTokens + request.maxTokens
  const entry = turnOf(board, { request: request.id, organisation: request.organisation, model: model.name, tokens, priority: requestClass.priority })
  const waitMs = placeWait(board, model, admission.asking.size + countAhead(board, entry)) + prefillWait(board, model, nowMs)
  const firstTokenMs = waitMs + serviceTime(board, request, model)
  entry.deferred = firstTokenMs > requestClass.firstTokenMs * targetShare(board)
  if (entry.deferred && requestClass.interactive) {
    const detail = `the first token is expected after ${Math.round(firstTokenMs)} ms, the class allows ${requestClass.firstTokenMs} ms`
    return [refused(request.id, RefusalKind.DeadlineUnreachable, detail, firstTokenMs - requestClass.firstTokenMs)]
  }
  if (!hasRoom(board, tokens)) return [refused(request.id, RefusalKind.Overloaded, `${admission.queue.length} requests wait already`, waitMs)]
  enqueue(board, entry)
  return []
}

/** Admits waiting requests while asks for places and prefill queues are short. */
function admitWaiting (board: Board, nowMs: number): Action[] {
  const actions: Action[] = []
  for (let next = nextQueued(board); next !== undefined; next = nextQueued(board)) {
    const found = board.requests.get(next.request)
    const model = board.bundle?.index.models.get(next.model)
    if (found === undefined || model === undefined) {
      dequeue(board, next)
      continue
    }
    const late = refuseLate(board, next, found, model, nowMs)
    if (late !== null) {
      actions.push(...late)
      continue
    }
    if (next.deferred && !mayServeLate(board)) return actions
    if (board.admission.asking.size >= askLimit(board, model, nowMs) || !hasPrefillRoom(board, model, nowMs)) return actions
    dequeue(board, next)
    if (board.admission.asking.size === 0) board.admission.lastGrantMs.set(model.name, nowMs)
    board.admission.asking.set(next.request, nowMs)
    board.admission.prefilling.set(next.request, { model: model.name, tokens: uncachedTokens(board, found, model) })
    if (next.deferred) board.admission.late.add(next.request)
    actions.push(admitted(next.request))
  }
  return actions
}

/** Refuses a waiting request that can't be answered in time any more, or lets it wait behind the others. */
function refuseLate (board: Board, entry: QueuedRequest, request: ModelRequest, model: Model, nowMs: number): Action[] | null {
  const requestClass = board.bundle?.index.classes.get(request.class)
  const soonestMs = nowMs + serviceTime(board, request, model)
  const waitMs = placeWait(board, model, board.admission.asking.size + 1) + prefillWait(board, model, nowMs)
  const missesTarget = soonestMs + waitMs > request.arrivedMs + (requestClass?.firstTokenMs ?? Infinity) * targetShare(board)
  const slackMs = entry.deferred ? LATE_SLACK_MS : 0
  const missesDeadline = soonestMs + slackMs + streamTime(board, request) > request.deadlineMs
  if (missesDeadline || (missesTarget && requestClass?.interactive === true)) {
    dequeue(board, entry)
    return [refused(request.id, RefusalKind.DeadlineUnreachable, 'no place became free in time', MIN_RETRY_AFTER_MS)]
  }
  if (!missesTarget || entry.deferred) return null
  entry.deferred = true
  return []
}

/** After a denial: an interactive request that can't meet its target any more gives up before it costs a prefill. */
function recheck (board: Board, request: ModelRequest, nowMs: number): Action[] {
  const model = board.bundle?.index.models.get(request.model)
  const requestClass = board.bundle?.index.classes.get(request.class)
  if (model === undefined || requestClass === undefined) return []
  const firstMs = nowMs + serviceTime(board, request, model)
  const missesTarget = requestClass.interactive && firstMs > request.arrivedMs + requestClass.firstTokenMs
  if (!missesTarget && firstMs + streamTime(board, request) <= request.deadlineMs) return []
  return [refused(request.id, RefusalKind.DeadlineUnreachable, 'no place became free in time', MIN_RETRY_AFTER_MS)]
}

function targetShare (board: Board): number {
  return MAX_TARGET_SHARE - (MAX_TARGET_SHARE - MIN_TARGET_SHARE) * wastedPrefillTolerance(board)
}

/** This instance's part of the asks that may be open at once. */
function askLimit (board: Board, model: Model, nowMs: number): number {
  const runners = poolOf(board, model.name, RunnerRole.Decode, nowMs).length
  return Math.max(1, Math.round(runners * ASKS_PER_RUNNER / servingInstanceCount(board)))
}

/** Where goodput weighs more, a late request starts only when this instance has no other work before its first token. */
function mayServeLate (board: Board): boolean {
  return wastedPrefillTolerance(board) <= NEUTRAL_TOLERANCE || (board.admission.asking.size === 0 && board.admission.prefilling.size === 0)
}

function hasPrefillRoom (board: Board, model: Model, nowMs: number): boolean {
  const runners = poolOf(board, model.name, RunnerRole.Prefill, nowMs).length
  const limit = runners * model.prefillTokensPerSecond * PREFILL_WINDOW_MS / 1000 / servingInstanceCount(board)
  let open = 0
  for (const { model: name, tokens } of board.admission.prefilling.values()) {
    if (name === model.name) open += tokens
  }
  return open < limit
}

function learnGrant ({ admission }: Board, model: string, nowMs: number): void {
  const last = admission.lastGrantMs.get(model) ?? nowMs
  const periodMs = Math.min(nowMs - last, MAX_GRANT_PERIOD_MS)
  const known = admission.grantPeriodMs.get(model) ?? periodMs
  admission.grantPeriodMs.set(model, known + (periodMs - known) * GRANT_WEIGHT)
  admission.lastGrantMs.set(model, nowMs)
}

function admitted (request: string): Action {
  return { kind: CoreActionKind.Emit, event: { kind: RequestEventKind.RequestAdmitted, request } }
}

function refused (request: string, refusal: RefusalKind, detail: string, retryAfterMs: number): Action {
  return { kind: CoreActionKind.Emit, event: { kind: RequestEventKind.RequestRefused, request, refusal, detail, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, retryAfterMs) } }
}
