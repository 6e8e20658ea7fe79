import type { RefusalKind } from '../errors/refusal.js'

export enum RequestEventKind {
  RequestArrived = 'request-arrived',
  RequestAdmitted = 'request-admitted',
  RequestRefused = 'request-refused',
  RequestExpired = 'request-expired',
  RequestEnded = 'request-ended',
  CallerDisconnected = 'caller-gone',
  ReservationAnswered = 'reservation-answered',
  ReservationTimedOut = 'reservation-timed-out',
  PrefillDue = 'prefill-due',
  PrefillFinished = 'prefill-finished',
  PrefillFailed = 'prefill-failed',
  TransferFinished = 'transfer-finished',
  TransferFailed = 'transfer-failed',
  DecodeProgress = 'decode-progress',
  DecodeFinished = 'decode-finished',
  DecodeFailed = 'decode-failed',
  CancelConfirmed = 'cancel-confirmed',
  CancelDue = 'cancel-due',
  RetryDue = 'retry-due',
  ResumeDue = 'resume-due'
}

/** A well-formed model request of a known organisation has arrived. */
export interface RequestArrived {
  kind: RequestEventKind.RequestArrived
  request: string
  organisation: string
  model: string
  promptTokens: number
  /** Chained hashes of the prompt's complete pieces, in order. */
  pieces: string[]
  maxTokens: number
  /** Whether the caller receives tokens as they are generated; false if absent. */
  stream?: boolean
}

/** Admission passed the request on to placement. */
export interface RequestAdmitted {
  kind: RequestEventKind.RequestAdmitted
  request: string
}

/** Admission refused the request on arrival, in the queue or after a denied reservation. An engine may have worked on an earlier attempt. */
export interface RequestRefused {
  kind: RequestEventKind.RequestRefused
  request: string
  refusal: RefusalKind
  detail: string
  retryAfterMs: number
}

export interface RequestExpired {
  kind: RequestEventKind.RequestExpired
  request: string
}

/** How a request ended. */
export enum RequestEnd {
  Answered = 'answered',
  Refused = 'refused',
  CallerDisconnected = 'caller-gone'
}

/** A request has ended: controllers update their counts and queues. */
export interface RequestEnded {
  kind: RequestEventKind.RequestEnded
  request: string
  organisation: string
  end: RequestEnd
}

export interface CallerDisconnected {
  kind: RequestEventKind.CallerDisconnected
  request: string
}

export interface ReservationAnswered {
  kind: RequestEventKind.ReservationAnswered
  request: string
  attempt: number
  server: string
  granted: boolean
  /** Time at which the link into the decode runner is free for this transfer. */
  transferMs: number
  freePieces: number
}

export interface ReservationTimedOut {
  kind: RequestEventKind.ReservationTimedOut
  request: string
  attempt: number
}

/** Time to start the prefill that was delayed after its reservation was granted. */
export interface PrefillDue {
  kind: RequestEventKind.PrefillDue
  request: string
  attempt: number
}

export interface PrefillFinished {
  kind: RequestEventKind.PrefillFinished
  request: string
  attempt: number
  handle: string
  computedTokens: number
  cachedTokens: number
  expiresMs: number
}

/** Why a stage on an engine failed. */
export enum StageFailure {
  /** No connection was made, so the engine has received nothing. */
  Unreachable = 'unreachable',
  /** The engine refused the work because it lacks memory or is full. */
  Full = 'full',
  /** The prefill runner no longer holds the prefill result. */
  Evicted = 'evicted',
  /** The connection broke or the response was malformed; the engine may still be working. */
  Broken = 'broken',
  /** The time limit passed on an open connection; the engine may still be working. */
  TimedOut = 'slow',
  /** The decode runner could not reach the prefill runner to import the result. */
  SourceUnreachable = 'source-unreachable',
  /** The server takes no new work because it is leaving. */
  Leaving = 'leaving',
  /** The engine refused the request itself, or sent more tokens than it announced. */
  Rejected = 'rejected'
}

export interface PrefillFailed {
  kind: RequestEventKind.PrefillFailed
  request: string
  attempt: number
  failure: StageFailure
}

export interface TransferFinished {
  kind: RequestEventKind.TransferFinished
  request: string
  attempt: number
}

export interface TransferFailed {
  kind: RequestEventKind.TransferFailed
  request: string
  attempt: number
  failure: StageFailure
}

export interface DecodeProgress {
  kind: RequestEventKind.DecodeProgress
  request: string
  attempt: number
  /** Tokens of the answer received so far, including those of earlier connections. */
  tokens: number
}

export interface DecodeFinished {
  kind: RequestEventKind.DecodeFinished
  request: string
  attempt: number
  /** Number of tokens that the router has received. */
  tokens: number
  /** Number of tokens that the engine says it has sent. */
  announcedTokens: number
}

export interface DecodeFailed {
  kind: RequestEventKind.DecodeFailed
  request: string
  attempt: number
  failure: StageFailure
  tokens: number
}

export interface CancelConfirmed {
  kind: RequestEventKind.CancelConfirmed
  work: string
  server: string
  /** Number of the confirmed cancel; if absent, the newest cancel is confirmed. */
  cancel?: number
}

/** Time to resend a cancel that is still unconfirmed. */
export interface CancelDue {
  kind: RequestEventKind.CancelDue
  work: string
  server: string
}

export interface RetryDue {
  kind: RequestEventKind.RetryDue
  request: string
  attempt: number
}

/** Time to reopen a broken decode connection. */
export interface ResumeDue {
  kind: RequestEventKind.ResumeDue
  request: string
  attempt: number
}

export type RequestEvent =
  | CallerDisconnected
  | CancelConfirmed
  | CancelDue
  | DecodeFailed
  | DecodeFinished
  | DecodeProgress
  | PrefillDue
  | PrefillFailed
  | PrefillFinished
  | RequestAdmitted
  | RequestArrived
  | RequestEnded
  | RequestExpired
  | RequestRefused
  | ReservationAnswered
  | ReservationTimedOut
  | ResumeDue
  | RetryDue
  | TransferFailed
  | TransferFinished
