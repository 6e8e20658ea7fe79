export enum ReservationActionKind {
  AnswerReservation = 'answer-reservation',
  ListStreams = 'list-streams',
  QueryOwner = 'ask-owner'
}

export interface AnswerReservation {
  kind: ReservationActionKind.AnswerReservation
  to: string
  request: string
  attempt: number
  server: string
  granted: boolean
  transferMs: number
  freePieces: number
}

/** Reads the engine's own listing of the streams it holds. */
export interface ListStreams {
  kind: ReservationActionKind.ListStreams
  server: string
}

/** Asks the owner of a stream whether it still needs the stream. */
export interface QueryOwner {
  kind: ReservationActionKind.QueryOwner
  owner: string
  incarnation: string
  work: string
  server: string
}

export type ReservationAction = AnswerReservation | QueryOwner | ListStreams
