import type { ReservationLedger, Reservation, WaitingReservation } from '../board/reservation-ledger.js'
import type { Board } from '../board/board.js'
import type { Action } from '../core/action.js'
import { CoreActionKind } from '../core/core-action.js'
import { wastedPrefillTolerance } from '../placement/wasted-prefill-tolerance.js'
import { ReservationActionKind } from './reservation-action.js'
import { ReservationEventKind, type ReservationRequested } from './reservation-event.js'

/** Time from the expected end of a stream until its reservation expires, in ms; a lost release must not hold pieces for ever. */
const RESERVATION_GRACE_MS = 10000

/** Transfer rate in tokens per ms, used while the active bundle does not describe the runner's model. */
const DEFAULT_TRANSFER_TOKENS_PER_MS = 100

/** Time until an engine evicts a prefill result, in ms, used while the active bundle does not describe the runner's model. */
const DEFAULT_EVICTION_MS = 800

/**
 * Longest wait of a reservation request at the coordinator, in ms. The requesting instance gives up after 500 ms,
 * and a longer wait would delay its next reservation requests.
 */
const MAX_REQUEST_WAIT_MS = 200

/** Largest number of reservation requests that wait for one runner; more cannot be served within the longest wait. */
const MAX_WAITING_REQUESTS = 64

/** Estimate of the time between tokens, in ms, until the first stream of the ledger has ended. */
const INITIAL_TOKEN_PERIOD_MS = 60

/** Weights of a new sample in the moving average of the token period. A cancelled stream looks like a fast one, so shorter periods weigh less than longer ones. */
const FASTER_SAMPLE_WEIGHT = 0.05
const SLOWER_SAMPLE_WEIGHT = 0.3

/** Time for which a released stream is ignored in listings, in ms: a listing in progress during the release may still show it. */
const RELEASED_RETENTION_MS = 1000

/** Creates the ledger of a runner that has not been listed yet; it grants nothing until the first listing. */
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
    tokenPeriodMs: INITIAL_TOKEN_PERIOD_MS,
    granted: 0
  }
}

/** Pieces that are free according to the listing, less those reserved for streams that the listing does not show yet. */
export function freePieces (ledger: ReservationLedger): number {
  let reserved = 0
  for (const reservation of ledger.reservations.values()) {
    if (!ledger.listed.has(reservation.work)) reserved += reservation.pieces
  }
  return ledger.listedFreePieces - reserved
}

/**
 * Adds a reservation request and grants the waiting requests that can be granted now, oldest first.
 * A request that cannot be granted now waits; it is denied at once if too many are waiting.
 */
export function requestReservation (board: Board, ledger: ReservationLedger, event: ReservationRequested, nowMs: number): Action[] {
  const existing = ledger.reservations.get(event.work)
  if (existing !== undefined) return [reservationAnswer(ledger, event, existing.transferMs)]
  removeEarlierRequest(ledger, event.request)
  if (ledger.waiting.length >= MAX_WAITING_REQUESTS) return [reservationAnswer(ledger, event, null)]
  const waiting: WaitingReservation = { ...event, sinceMs: nowMs - event.waitedMs }
  const index = ledger.waiting.findIndex((other) => other.sinceMs > waiting.sinceMs)
  ledger.waiting.splice(index < 0 ? ledger.waiting.length : index, 0, waiting)
  const granted = serveWaiting(board, ledger, nowMs)
  if (!ledger.waiting.includes(waiting)) return granted
  const { server, work } = event
  return [...granted, { kind: CoreActionKind.Schedule, afterMs: MAX_REQUEST_WAIT_MS, event: { kind: ReservationEventKind.ReservationRequestExpired, server, work } }]
}

/** Grants waiting reservation requests, oldest first; smaller ones never overtake a large one, so that it does not starve. */
export function serveWaiting (board: Board, ledger: ReservationLedger, nowMs: number): Action[] {
  if (!ledger.read) return []
  removeExpiredReservations(ledger, nowMs)
  const actions: Action[] = []
  for (let next = ledger.waiting[0]; next !== undefined; next = ledger.waiting[0]) {
    const transferMs = plannedTransferMs(board, ledger, next, nowMs)
    if (transferMs === null) return actions
    ledger.waiting.shift()
    addReservation(board, ledger, next, transferMs)
    actions.push(reservationAnswer(ledger, next, transferMs))
  }
  return actions
}

/** Denies a reservation request that has waited for the longest allowed time. */
export function denyExpiredRequest (ledger: ReservationLedger, work: string): Action[] {
  const index = ledger.waiting.findIndex((waiting) => waiting.work === work)
  if (index < 0) return []
  const [expired] = ledger.waiting.splice(index, 1)
  return expired === undefined ? [] : [reservationAnswer(ledger, expired, null)]
}

/** Releases the pieces and the link time of a stream, and drops its reservation request if it still waits. */
export function releaseReservation (ledger: ReservationLedger, work: string, nowMs: number): void {
  ledger.waiting = ledger.waiting.filter((waiting) => waiting.work !== work)
  const reservation = ledger.reservations.get(work)
  if (reservation !== undefined) updateTokenPeriod(ledger, reservation, nowMs)
  ledger.reservations.delete(work)
  ledger.released.set(work, nowMs)
  const pieces = ledger.listed.get(work)
  if (pieces === undefined) return
  ledger.listed.delete(work)
  ledger.listedFreePieces += pieces
}

/** Replaces the listed state of the ledger with a runner's own listing. */
export function applyListing (ledger: ReservationLedger, listing: { totalPieces: number, freePieces: number, streams: Array<{ work: string, pieces: number }> }, nowMs: number): void {
  for (const [work, releasedMs] of ledger.released) {
    if (nowMs - releasedMs > RELEASED_RETENTION_MS) ledger.released.delete(work)
  }
  const held = listing.streams.filter(({ work }) => !ledger.released.has(work))
  const freed = listing.streams.filter(({ work }) => ledger.released.has(work))
  ledger.read = true
  ledger.totalPieces = listing.totalPieces
  ledger.listedFreePieces = listing.freePieces + freed.reduce((sum, { pieces }) => sum + pieces, 0)
  ledger.listedMs = nowMs
  ledger.listed = new Map(held.map(({ work, pieces }) => [work, pieces]))
}

/** When the transfer may start, or null if the prefill result might be evicted before the capacity or the link is free. */
function plannedTransferMs (board: Board, ledger: ReservationLedger, waiting: WaitingReservation, nowMs: number): number | null {
  const readyMs = Math.max(waiting.readyMs, nowMs)
  const freeMs = capacityFreeMs(ledger, waiting.pieces, nowMs)
  const evictionMs = modelOf(board, ledger)?.evictionMs ?? DEFAULT_EVICTION_MS
  // If the capacity becomes free later than expected, the engine may refuse the transfer and the prefill is wasted; the bundle's weights say how much of that risk is accepted.
  if (freeMs > nowMs && freeMs > readyMs - (1 - wastedPrefillTolerance(board)) * MAX_SAFETY_MARGIN_SHARE * evictionMs) return null
  const startMs = linkFreeMs(ledger, Math.max(readyMs, freeMs), transferDurationMs(board, ledger, waiting), nowMs)
  return startMs - readyMs > evictionMs * MAX_LINK_WAIT_SHARE ? null : startMs
}

/** If no wasted prefill is tolerated, the capacity must become free this long before the prefill result is ready, as a share of the eviction time. */
const MAX_SAFETY_MARGIN_SHARE = 0.5

/** Longest time that a prefill result may wait for the link, as a share of the eviction time. */
const MAX_LINK_WAIT_SHARE = 0.5

/** When enough pieces will be free according to the expected ends of the streams, or Infinity if that cannot be foreseen. Pieces of streams past their expected end are not counted. */
function capacityFreeMs (ledger: ReservationLedger, pieces: number, nowMs: number): number {
  let free = freePieces(ledger)
  if (free >= pieces) return nowMs
  const reservationsByEnd = [...ledger.reservations.values()].filter(({ endMs }) => endMs > nowMs).sort((a, b) => a.endMs - b.endMs)
  for (const { endMs, pieces: reservedPieces } of reservationsByEnd) {
    free += reservedPieces
    if (free >= pieces) return endMs
  }
  return Infinity
}

/** The earliest time, not before `fromMs`, from which the link is free for the whole transfer. */
function linkFreeMs (ledger: ReservationLedger, fromMs: number, durationMs: number, nowMs: number): number {
  const transfers = [...ledger.reservations.values()].filter(({ transferEndMs }) => transferEndMs > nowMs).sort((a, b) => a.transferMs - b.transferMs)
  let startMs = fromMs
  for (const { transferMs, transferEndMs } of transfers) {
    if (startMs + durationMs <= transferMs) break
    startMs = Math.max(startMs, transferEndMs)
  }
  return startMs
}

function addReservation (board: Board, ledger: ReservationLedger, waiting: WaitingReservation, transferMs: number): void {
  const { work, pieces, maxTokens } = waiting
  const transferEndMs = transferMs + transferDurationMs(board, ledger, waiting)
  const endMs = transferEndMs + maxTokens * ledger.tokenPeriodMs
  ledger.granted += 1
  ledger.reservations.set(work, { work, pieces, maxTokens, transferMs, transferEndMs, endMs, expiresMs: endMs + RESERVATION_GRACE_MS })
}

function updateTokenPeriod (ledger: ReservationLedger, { transferEndMs, maxTokens }: Reservation, nowMs: number): void {
  if (nowMs <= transferEndMs) return
  const sampleMs = (nowMs - transferEndMs) / Math.max(1, maxTokens)
  const weight = sampleMs < ledger.tokenPeriodMs ? FASTER_SAMPLE_WEIGHT : SLOWER_SAMPLE_WEIGHT
  ledger.tokenPeriodMs += (sampleMs - ledger.tokenPeriodMs) * weight
}

function removeExpiredReservations (ledger: ReservationLedger, nowMs: number): void {
  for (const reservation of ledger.reservations.values()) {
    if (reservation.expiresMs <= nowMs) ledger.reservations.delete(reservation.work)
  }
}

/** Drops the waiting reservation request of an earlier attempt, which a new attempt replaces. */
function removeEarlierRequest (ledger: ReservationLedger, request: string): void {
  ledger.waiting = ledger.waiting.filter((waiting) => waiting.request !== request)
}

function transferDurationMs (board: Board, ledger: ReservationLedger, { promptTokens }: WaitingReservation): number {
  const model = modelOf(board, ledger)
  if (model === undefined) return promptTokens / DEFAULT_TRANSFER_TOKENS_PER_MS
  return promptTokens * model.kvBytesPerToken / model.linkBytesPerSecond * 1000
}

function modelOf (board: Board, { server }: ReservationLedger): { evictionMs: number, kvBytesPerToken: number, linkBytesPerSecond: number } | undefined {
  return board.bundle?.index.models.get(board.servers.get(server)?.model ?? '')
}

function reservationAnswer (ledger: ReservationLedger, event: ReservationRequested | WaitingReservation, transferMs: number | null): Action {
  const { from, request, attempt, server } = event
  return {
    kind: ReservationActionKind.AnswerReservation,
    to: from,
    request,
    attempt,
    server,
    granted: transferMs !== null,
    transferMs: transferMs ?? 0,
    freePieces: Math.max(0, freePieces(ledger))
  }
}
