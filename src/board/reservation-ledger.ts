import type { ReservationRequested } from '../reservations/reservation-event.js'

/** A place on a decode runner promised to one attempt of a request. */
export interface Reservation {
  work: string
  pieces: number
  maxTokens: number
  transferMs: number
  transferEndMs: number
  /** Expected end of the stream. */
  endMs: number
  expiresMs: number
}

/** An ask for a place that waits for a short time because one may become free. */
export interface WaitingReservation extends Omit<ReservationRequested, 'incarnation' | 'kind' | 'waitedMs'> {
  /** When the request arrived: older requests are served first. */
  sinceMs: number
}

/** Account of a decode runner's pieces and of the time on its incoming link. */
export interface ReservationLedger {
  server: string
  /** False until the runner's own listing has been read: a new keeper grants nothing before. */
  read: boolean
  totalPieces: number
  /** Pieces free by the runner's own listing, and by releases since. */
  listedFreePieces: number
  listedMs: number
  /** Pieces by work id in the last listing: they are not in `listedFreePieces`. */
  listed: Map<string, number>
  /** Works released a short time ago, with the time. */
  released: Map<string, number>
  reservations: Map<string, Reservation>
  waiting: WaitingReservation[]
  /** Estimated time between tokens of the runner's streams. */
  tokenPeriodMs: number
  /** Places granted since the account was opened. */
  granted: number
}
