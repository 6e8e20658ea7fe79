import type { ReservationRequested } from '../reservations/reservation-event.js'

/** Capacity of a decode runner that is reserved for one attempt of a request. */
export interface Reservation {
  work: string
  pieces: number
  maxTokens: number
  /** Planned start of the transfer. */
  transferMs: number
  /** Expected end of the transfer. */
  transferEndMs: number
  /** Expected end of the stream. */
  endMs: number
  expiresMs: number
}

/** A reservation request that waits for a short time because capacity may become free. */
export interface WaitingReservation extends Omit<ReservationRequested, 'incarnation' | 'kind' | 'waitedMs'> {
  /** When the request began to wait, derived from the `waitedMs` that it was sent with; the one that has waited longest is served first. */
  sinceMs: number
}

/** Reservations of a decode runner's pieces and of the time on its incoming link, as held by the runner's coordinator. */
export interface ReservationLedger {
  server: string
  /** False until the runner's own listing has been read; a new coordinator grants nothing before that. */
  read: boolean
  totalPieces: number
  /** Pieces that were free in the runner's last listing, plus those released since. */
  listedFreePieces: number
  listedMs: number
  /** Pieces held by each work id in the last listing; they are not counted in `listedFreePieces`. */
  listed: Map<string, number>
  /** Work ids released a short time ago, with the time of release; a listing that was under way then may still show them. */
  released: Map<string, number>
  reservations: Map<string, Reservation>
  waiting: WaitingReservation[]
  /** Estimated time between tokens of the runner's streams. */
  tokenPeriodMs: number
  /** Reservations granted since the ledger was created. */
  granted: number
}
