export enum ReservationEventKind {
  ReservationRequested = 'reservation-asked',
  ReservationReleased = 'reservation-released',
  ReservationTick = 'account-tick',
  StreamsListed = 'streams-listed',
  StreamsUnreadable = 'streams-unreadable',
  OwnerAnswered = 'owner-answered',
  ReservationRequestExpired = 'ask-expired'
}

/** An instance requests a reservation on a decode runner from this instance, its coordinator. */
export interface ReservationRequested {
  kind: ReservationEventKind.ReservationRequested
  from: string
  incarnation: string
  request: string
  attempt: number
  work: string
  server: string
  pieces: number
  promptTokens: number
  maxTokens: number
  /** When the prefill result is expected to be ready. */
  readyMs: number
  /** Time since the request was admitted, in ms. */
  waitedMs: number
}

export interface ReservationReleased {
  kind: ReservationEventKind.ReservationReleased
  work: string
  server: string
}

/** Occurs periodically, so that the runners that this instance coordinates are listed again. */
export interface ReservationTick {
  kind: ReservationEventKind.ReservationTick
}

/** Stage of a stream that an engine holds. */
export enum StreamStage {
  Prefill = 'prefill',
  Exported = 'exported',
  Import = 'import',
  Decode = 'decode'
}

/** One stream in an engine's own listing of the streams it holds. */
export interface HeldStream {
  /** Id of the stream. */
  work: string
  owner: string
  incarnation: string
  stage: StreamStage
  pieces: number
}

export interface StreamsListed {
  kind: ReservationEventKind.StreamsListed
  server: string
  totalPieces: number
  freePieces: number
  streams: HeldStream[]
}

export interface StreamsUnreadable {
  kind: ReservationEventKind.StreamsUnreadable
  server: string
}

/** The owner of a stream answers whether it still needs the stream. */
export interface OwnerAnswered {
  kind: ReservationEventKind.OwnerAnswered
  work: string
  server: string
  wanted: boolean
}

/** A reservation request has waited at the coordinator for the longest allowed time. */
export interface ReservationRequestExpired {
  kind: ReservationEventKind.ReservationRequestExpired
  work: string
  server: string
}

export type ReservationEvent =
  | ReservationTick
  | ReservationRequestExpired
  | OwnerAnswered
  | ReservationRequested
  | ReservationReleased
  | StreamsListed
  | StreamsUnreadable
