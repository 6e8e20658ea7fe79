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
import { poolOf } from '../placement/runner-pools.js'
import { ServerEventKind } from '../placement/server-event.js'
import { RequestEventKind } from '../requests/request-event.js'
import { NEUTRAL_TOLERANCE, wastedPrefillTolerance } from '../placement/wasted-prefill-tolerance.js'
import { countAhead, dequeue, enqueue, hasRoom, nextQueued, createQueueEntry } from './admission-queue.js'
import { updateTokenPeriod, reservationWaitMs, prefillWaitMs, serviceTimeMs, streamTimeMs, uncachedTokens } from './estimate.js'
import { releaseQuota, servingInstanceCount, acquireQuota } from './organisation-limit.js'

/**
 * Limit of the admitted but unfinished prefill work of all instances, as the time in ms in which the whole pool computes
 * it. Each instance may use an equal share. While other instances are idle, prefills finish sooner and free the share
 * sooner, so that the instances need not report their use to each other.
 */
const PREFILL_WINDOW_MS = 800

/**
 * Bounds of the share of the first-token target that the estimated time to the first token may use up; the rest covers
 * the error of the estimate. The larger the weight of goodput, the smaller the share, since a request that misses its
 * target uses capacity with which another request would have met its own.
 */
const MAX_TARGET_SHARE = 0.95
const MIN_TARGET_SHARE = 0.7

/** Reservation requests that all instances together may have open for each decode runner. */
const RESERVATION_REQUESTS_PER_RUNNER = 3

/** Number of tokens that a stream must have sent before its time between tokens is observed; the first few are not representative. */
const MIN_OBSERVED_TOKENS = 8

/** Weight of a newly observed time between grants in the moving average, from 0 to 1. */
const GRANT_PERIOD_WEIGHT = 0.2

/**
 * Margin before its deadline that a deferred request must keep while it waits, in ms: all other requests are served
 * before it, and if it ends after its deadline, its prefill is wasted.
 */
const DEFERRED_SLACK_MS = 3000

/** Upper bound of a time between grants in the moving average, in ms; a single long pause does not predict the next grants. */
const MAX_GRANT_PERIOD_MS = 1000

/** Minimum Retry-After time of a refusal, in ms. */
const MIN_RETRY_AFTER_MS = 1000

/** Decides whether an arrived request is admitted, queued or refused, before any engine works on it. */
export const admissionController: Controller = {
  name: 'admission',
  handlers: {
    [RequestEventKind.RequestArrived]: (board, { request }, { nowMs }) => {
      const found = board.requests.get(request)
      if (found === undefined) return []
      const organisation = board.bundle?.index.organisations.get(found.organisation)
      const model = board.bundle?.index.models.get(found.model)
      const requestClass = board.bundle?.index.classes.get(found.class)
      if (organisation === undefined || model === undefined || requestClass === undefined) return [emitAdmitted(request)]
      const quota = acquireQuota(board, organisation, nowMs)
      if (!quota.allowed) return [emitRefused(request, RefusalKind.OrganisationLimit, quota.detail, quota.retryAfterMs)]
      board.admission.limited.add(request)
      if (!reservesCapacity(board)) return [emitAdmitted(request)]
      return [...enqueueOrRefuse(board, found, model, requestClass, nowMs), ...admitWaiting(board, nowMs)]
    },
    [RequestEventKind.ReservationAnswered]: (board, { request, granted }, { nowMs }) => {
      const found = board.requests.get(request)
      if (!granted) return found === undefined ? [] : refuseAfterDenial(board, found, nowMs)
      if (found !== undefined && board.admission.asking.delete(request)) recordGrant(board, found.model, nowMs)
      return admitWaiting(board, nowMs)
    },
    [RequestEventKind.PrefillFinished]: (board, { request }, { nowMs }) => {
      board.admission.prefilling.delete(request)
      return admitWaiting(board, nowMs)
    },
    [RequestEventKind.DecodeProgress]: (board, { request, attempt, tokens }, { nowMs }) => {
      const found = board.requests.get(request)
      if (found?.attempt === attempt && tokens >= MIN_OBSERVED_TOKENS) updateTokenPeriod(board, found, tokens, nowMs)
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

/**
 * Puts a request into the queue. Refuses it if the queue is full, or if it is interactive and its first token is not
 * expected in time; other requests whose first token is expected late are queued as deferred.
 */
function enqueueOrRefuse (board: Board, request: ModelRequest, model: Model, requestClass: RequestClass, nowMs: number): Action[] {
  const { admission } = board
  const tokens = request.promptTokens + request.maxTokens
  const entry = createQueueEntry(board, { request: request.id, organisation: request.organisation, model: model.name, tokens, priority: requestClass.priority })
  const waitMs = reservationWaitMs(board, model, admission.asking.size + countAhead(board, entry)) + prefillWaitMs(board, model, nowMs)
  const firstTokenInMs = waitMs + serviceTimeMs(board, request, model)
  entry.deferred = firstTokenInMs > requestClass.firstTokenMs * targetShare(board)
  if (entry.deferred && requestClass.interactive) {
    const detail = `the first token is expected after ${Math.round(firstTokenInMs)} ms, the class allows ${requestClass.firstTokenMs} ms`
    return [emitRefused(request.id, RefusalKind.DeadlineUnreachable, detail, firstTokenInMs - requestClass.firstTokenMs)]
  }
  if (!hasRoom(board, tokens)) return [emitRefused(request.id, RefusalKind.Overloaded, `${admission.queue.length} requests wait already`, waitMs)]
  enqueue(board, entry)
  return []
}

/**
 * Admits waiting requests in queue order while the open reservation requests and the unfinished prefill work of this
 * instance are below their limits; refuses or defers requests that have become too late in the queue.
 */
function admitWaiting (board: Board, nowMs: number): Action[] {
  const actions: Action[] = []
  for (let next = nextQueued(board); next !== undefined; next = nextQueued(board)) {
    const request = board.requests.get(next.request)
    const model = board.bundle?.index.models.get(next.model)
    if (request === undefined || model === undefined) {
      dequeue(board, next)
      continue
    }
    const lateActions = refuseOrDefer(board, next, request, model, nowMs)
    if (lateActions !== null) {
      actions.push(...lateActions)
      continue
    }
    if (next.deferred && !canAdmitDeferred(board)) return actions
    if (board.admission.asking.size >= reservationRequestLimit(board, model, nowMs) || !hasPrefillCapacity(board, model, nowMs)) return actions
    dequeue(board, next)
    // Time without open reservation requests does not count as time between grants.
    if (board.admission.asking.size === 0) board.admission.lastGrantMs.set(model.name, nowMs)
    board.admission.asking.set(next.request, nowMs)
    board.admission.prefilling.set(next.request, { model: model.name, tokens: uncachedTokens(board, request, model) })
    if (next.deferred) board.admission.late.add(next.request)
    actions.push(emitAdmitted(next.request))
  }
  return actions
}

/**
 * Refuses a waiting request that can no longer meet its deadline, or its first-token target if it is interactive. Defers
 * any other request that can no longer meet its target. Returns null if it did neither.
 */
function refuseOrDefer (board: Board, entry: QueuedRequest, request: ModelRequest, model: Model, nowMs: number): Action[] | null {
  const requestClass = board.bundle?.index.classes.get(request.class)
  const earliestFirstTokenMs = nowMs + serviceTimeMs(board, request, model)
  const waitMs = reservationWaitMs(board, model, board.admission.asking.size + 1) + prefillWaitMs(board, model, nowMs)
  const missesTarget = earliestFirstTokenMs + waitMs > request.arrivedMs + (requestClass?.firstTokenMs ?? Infinity) * targetShare(board)
  const slackMs = entry.deferred ? DEFERRED_SLACK_MS : 0
  const missesDeadline = earliestFirstTokenMs + slackMs + streamTimeMs(board, request) > request.deadlineMs
  if (missesDeadline || (missesTarget && requestClass?.interactive === true)) {
    dequeue(board, entry)
    return [emitRefused(request.id, RefusalKind.DeadlineUnreachable, 'no place became free in time', MIN_RETRY_AFTER_MS)]
  }
  if (!missesTarget || entry.deferred) return null
  entry.deferred = true
  return []
}

/**
 * Refuses a request whose reservation was denied and that can no longer meet its deadline, or its first-token target if
 * it is interactive, so that no prefill is wasted on it.
 */
function refuseAfterDenial (board: Board, request: ModelRequest, nowMs: number): Action[] {
  const model = board.bundle?.index.models.get(request.model)
  const requestClass = board.bundle?.index.classes.get(request.class)
  if (model === undefined || requestClass === undefined) return []
  const earliestFirstTokenMs = nowMs + serviceTimeMs(board, request, model)
  const missesTarget = requestClass.interactive && earliestFirstTokenMs > request.arrivedMs + requestClass.firstTokenMs
  if (!missesTarget && earliestFirstTokenMs + streamTimeMs(board, request) <= request.deadlineMs) return []
  return [emitRefused(request.id, RefusalKind.DeadlineUnreachable, 'no place became free in time', MIN_RETRY_AFTER_MS)]
}

/** Share of the first-token target that the estimated time to the first token may use up, by the active bundle's weights. */
function targetShare (board: Board): number {
  return MAX_TARGET_SHARE - (MAX_TARGET_SHARE - MIN_TARGET_SHARE) * wastedPrefillTolerance(board)
}

/** Number of reservation requests that this instance may have open: an equal share for each instance, at least 1. */
function reservationRequestLimit (board: Board, model: Model, nowMs: number): number {
  const runners = poolOf(board, model.name, RunnerRole.Decode, nowMs).length
  return Math.max(1, Math.round(runners * RESERVATION_REQUESTS_PER_RUNNER / servingInstanceCount(board)))
}

/**
 * Whether a deferred request may be admitted. If the weight of goodput exceeds that of wasted prefill, it has to wait
 * until no admitted request of this instance waits for a reservation or for the end of its prefill.
 */
function canAdmitDeferred (board: Board): boolean {
  return wastedPrefillTolerance(board) <= NEUTRAL_TOLERANCE || (board.admission.asking.size === 0 && board.admission.prefilling.size === 0)
}

/** Whether the unfinished prefill work of this instance is below its share of the model's prefill window. */
function hasPrefillCapacity (board: Board, model: Model, nowMs: number): boolean {
  const runners = poolOf(board, model.name, RunnerRole.Prefill, nowMs).length
  const limitTokens = runners * model.prefillTokensPerSecond * PREFILL_WINDOW_MS / 1000 / servingInstanceCount(board)
  let unfinishedTokens = 0
  for (const { model: name, tokens } of board.admission.prefilling.values()) {
    if (name === model.name) unfinishedTokens += tokens
  }
  return unfinishedTokens < limitTokens
}

/** Updates the moving average of the time between grants of reservations for a model. */
function recordGrant ({ admission }: Board, model: string, nowMs: number): void {
  const lastGrantMs = admission.lastGrantMs.get(model) ?? nowMs
  const periodMs = Math.min(nowMs - lastGrantMs, MAX_GRANT_PERIOD_MS)
  const estimateMs = admission.grantPeriodMs.get(model) ?? periodMs
  admission.grantPeriodMs.set(model, estimateMs + (periodMs - estimateMs) * GRANT_PERIOD_WEIGHT)
  admission.lastGrantMs.set(model, nowMs)
}

function emitAdmitted (request: string): Action {
  return { kind: CoreActionKind.Emit, event: { kind: RequestEventKind.RequestAdmitted, request } }
}

function emitRefused (request: string, refusal: RefusalKind, detail: string, retryAfterMs: number): Action {
  return { kind: CoreActionKind.Emit, event: { kind: RequestEventKind.RequestRefused, request, refusal, detail, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, retryAfterMs) } }
}
