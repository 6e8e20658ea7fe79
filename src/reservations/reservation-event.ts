export enum ReservationEventKind {
  ReservationRequested = 'reservation-asked',
  ReservationReleased = 'reservation-released',
  ReservationTick = 'account-tick',
  StreamsListed = 'streams-listed',
  StreamsUnreadable = 'streams-unreadable',
  OwnerAnswered = 'owner-answered',
  ReservationRequestExpired = 'ask-expired'
}

/** An instance asks this keeper for a place on a decode runner. */
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
  readyMs: number
  /** Time since the request was admitted. */
  waitedMs: number
}

export interface ReservationReleased {
  kind: ReservationEventKind.ReservationReleased
  work: string
  server: string
}

export interface ReservationTick {
  kind: ReservationEventKind.ReservationTick
}

/** Where the work of a stream on an engine stands. */
export enum StreamStage {
  Prefill = 'prefill',
  Exported = 'exported',
  Import = 'import',
  Decode = 'decode'
}

/** One piece of held work in an engine's own listing. */
export interface HeldStream {
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

/** The owner of a stream says whether it still wants it. */
export interface OwnerAnswered {
  kind: ReservationEventKind.OwnerAnswered
  work: string
  server: string
  wanted: boolean
}

/** An ask has waited at the keeper for its longest time. */
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
