import type { ReservationLedger, Reservation, WaitingReservation } from '../board/reservation-ledger.js'
import type { Board } from '../board/board.js'
import type { Action } from '../core/action.js'
import { CoreActionKind } from '../core/core-action.js'
import { wastedPrefillTolerance } from '../placement/wasted-prefill-tolerance.js'
import { ReservationActionKind } from './reservation-action.js'
import { ReservationEventKind, type ReservationRequested } from './reservation-event.js'

/** A reservation that is neither used nor released lapses this long after the expected end of its stream. */
const RESERVATION_LIFETIME_MS = 10000

/** Used until a bundle names the link rate of the model. */
const DEFAULT_TRANSFER_TOKENS_PER_MS = 100

const DEFAULT_EVICTION_MS = 800

/** An ask waits here at most this long; the asking instance gives up after 500 ms. A longer wait holds up its other asks. */
const HOLD_MS = 200

/** More asks than this cannot be served within the longest wait. */
const MAX_WAITING = 64

/** Time between tokens until the account has seen a stream end. */
const FIRST_TOKEN_PERIOD_MS = 60

/** A cancelled stream looks like a fast one, so that shorter times change the estimate less than longer ones. */
const FASTER_WEIGHT = 0.05
const SLOWER_WEIGHT = 0.3

/** A listing that was under way when a work was released may still show it. */
const RELEASED_MEMORY_MS = 1000

/** An account whose runner has not been listed yet: it grants nothing. */
export function createReservationLedger (server: string): ReservationLedger {
  return {
    server,
    read: false,
    totalPieces: 0,
    listedFreePieces: 0,
    listedMs: 0,
    listed: new Map(),
    released: new Map(),
    reservations: new Map(),
    waiting: [],
    tokenPeriodMs: FIRST_TOKEN_PERIOD_MS,
    granted: 0
  }
}

/** Pieces that are free by the listing and not promised to work that the listing does not show yet. */
export function freePieces (account: ReservationLedger): number {
  let promised = 0
  for (const reservation of account.reservations.values()) {
    if (!account.listed.has(reservation.work)) promised += reservation.pieces
  }
  return account.listedFreePieces - promised
}

/** Grants the asks that can be granted now, in their order, and keeps or denies this one. */
export function ask (board: Board, account: ReservationLedger, event: ReservationRequested, nowMs: number): Action[] {
  const known = account.reservations.get(event.work)
  if (known !== undefined) return [answer(account, event, known.transferMs)]
  dropAsk(account, event.request)
  if (account.waiting.length >= MAX_WAITING) return [answer(account, event, null)]
  const waiting: WaitingReservation = { ...event, sinceMs: nowMs - event.waitedMs }
  const place = account.waiting.findIndex((other) => other.sinceMs > waiting.sinceMs)
  account.waiting.splice(place < 0 ? account.waiting.length : place, 0, waiting)
  const granted = serveWaiting(board, account, nowMs)
  if (!account.waiting.includes(waiting)) return granted
  const { server, work } = event
  return [...granted, { kind: CoreActionKind.Schedule, afterMs: HOLD_MS, event: { kind: ReservationEventKind.ReservationRequestExpired, server, work } }]
}

/** Grants waiting asks, oldest request first; a large one is not overtaken, so that it does not starve. */
export function serveWaiting (board: Board, account: ReservationLedger, nowMs: number): Action[] {
  if (!account.read) return []
  dropLapsed(account, nowMs)
  const actions: Action[] = []
  for (let next = account.waiting[0]; next !== undefined; next = account.waiting[0]) {
    const transferMs = transferStart(board, account, next, nowMs)
    if (transferMs === null) return actions
    account.waiting.shift()
    reserve(board, account, next, transferMs)
    actions.push(answer(account, next, transferMs))
  }
  return actions
}

/** Denies an ask that waited for its longest time. */
export function denyExpired (account: ReservationLedger, work: string): Action[] {
  const index = account.waiting.findIndex((waiting) => waiting.work === work)
  if (index < 0) return []
  const [expired] = account.waiting.splice(index, 1)
  return expired === undefined ? [] : [answer(account, expired, null)]
}

/** Gives back the pieces and the link time of a work. */
export function release (account: ReservationLedger, work: string, nowMs: number): void {
  account.waiting = account.waiting.filter((waiting) => waiting.work !== work)
  const reservation = account.reservations.get(work)
  if (reservation !== undefined) learnPeriod(account, reservation, nowMs)
  account.reservations.delete(work)
  account.released.set(work, nowMs)
  const pieces = account.listed.get(work)
  if (pieces === undefined) return
  account.listed.delete(work)
  account.listedFreePieces += pieces
}

/** Takes over a runner's own listing. */
export function takeListing (account: ReservationLedger, listing: { totalPieces: number, freePieces: number, streams: Array<{ work: string, pieces: number }> }, nowMs: number): void {
  for (const [work, atMs] of account.released) {
    if (nowMs - atMs > RELEASED_MEMORY_MS) account.released.delete(work)
  }
  const held = listing.streams.filter(({ work }) => !account.released.has(work))
  const freed = listing.streams.filter(({ work }) => account.released.has(work))
  account.read = true
  account.totalPieces = listing.totalPieces
  account.listedFreePieces = listing.freePieces + freed.reduce((sum, { pieces }) => sum + pieces, 0)
  account.listedMs = nowMs
  account.listed = new Map(held.map(({ work, pieces }) => [work, pieces]))
}

/** When the transfer may start, or null if the result would be evicted before the place or the link is free. */
function transferStart (board: Board, account: ReservationLedger, waiting: WaitingReservation, nowMs: number): number | null {
  const readyMs = Math.max(waiting.readyMs, nowMs)
  const dueMs = placeDue(account, waiting.pieces, nowMs)
  const evictionMs = modelOf(board, account)?.evictionMs ?? DEFAULT_EVICTION_MS
  // A place that is due late may be refused by the engine; the bundle's weights say how much of that risk is worth it.
  if (dueMs > nowMs && dueMs > readyMs - (1 - wastedPrefillTolerance(board)) * HALF * evictionMs) return null
  const startMs = linkStart(account, Math.max(readyMs, dueMs), transferTime(board, account, waiting), nowMs)
  return startMs - readyMs > evictionMs * LINK_WAIT_SHARE ? null : startMs
}

const HALF = 0.5

/** A result may wait for the link for this share of its time until eviction. */
const LINK_WAIT_SHARE = 0.5

/** When enough pieces will be free, by the expected ends of the streams. Overdue streams are not counted on. */
function placeDue (account: ReservationLedger, pieces: number, nowMs: number): number {
  let free = freePieces(account)
  if (free >= pieces) return nowMs
  const ends = [...account.reservations.values()].filter(({ endMs }) => endMs > nowMs).sort((a, b) => a.endMs - b.endMs)
  for (const { endMs, pieces: held } of ends) {
    free += held
    if (free >= pieces) return endMs
  }
  return Infinity
}

/** The first moment from the given one on at which the link is free for the whole transfer. */
function linkStart (account: ReservationLedger, fromMs: number, durationMs: number, nowMs: number): number {
  const busy = [...account.reservations.values()].filter(({ transferEndMs }) => transferEndMs > nowMs).sort((a, b) => a.transferMs - b.transferMs)
  let startMs = fromMs
  for (const { transferMs, transferEndMs } of busy) {
    if (startMs + durationMs <= transferMs) break
    startMs = Math.max(startMs, transferEndMs)
  }
  return startMs
}

function reserve (board: Board, account: ReservationLedger, waiting: WaitingReservation, transferMs: number): void {
  const { work, pieces, maxTokens } = waiting
  const transferEndMs = transferMs + transferTime(board, account, waiting)
  const endMs = transferEndMs + maxTokens * account.tokenPeriodMs
  account.granted += 1
  account.reservations.set(work, { work, pieces, maxTokens, transferMs, transferEndMs, endMs, expiresMs: endMs + RESERVATION_LIFETIME_MS })
}

function learnPeriod (account: ReservationLedger, { transferEndMs, maxTokens }: Reservation, nowMs: number): void {
  if (nowMs <= transferEndMs) return
  const seen = (nowMs - transferEndMs) / Math.max(1, maxTokens)
  const weight = seen < account.tokenPeriodMs ? FASTER_WEIGHT : SLOWER_WEIGHT
  account.tokenPeriodMs += (seen - account.tokenPeriodMs) * weight
}

function dropLapsed (account: ReservationLedger, nowMs: number): void {
  for (const reservation of account.reservations.values()) {
    if (reservation.expiresMs <= nowMs) account.reservations.delete(reservation.work)
  }
}

/** A new attempt of a request replaces the ask of the one before. */
function dropAsk (account: ReservationLedger, request: string): void {
  account.waiting = account.waiting.filter((waiting) => waiting.request !== request)
}

function transferTime (board: Board, account: ReservationLedger, { promptTokens }: WaitingReservation): number {
  const model = modelOf(board, account)
  if (model === undefined) return promptTokens / DEFAULT_TRANSFER_TOKENS_PER_MS
  return promptTokens * model.kvBytesPerToken / model.linkBytesPerSecond * 1000
}

function modelOf (board: Board, { server }: ReservationLedger): { evictionMs: number, kvBytesPerToken: number, linkBytesPerSecond: number } | undefined {
  return board.bundle?.index.models.get(board.servers.get(server)?.model ?? '')
}

function answer (account: ReservationLedger, event: ReservationRequested | WaitingReservation, transferMs: number | null): Action {
  const { from, request, attempt, server } = event
  return {
    kind: ReservationActionKind.AnswerReservation,
    to: from,
    request,
    attempt,
    server,
    granted: transferMs !== null,
    transferMs: transferMs ?? 0,
    freePieces: Math.max(0, freePieces(account))
  }
}
