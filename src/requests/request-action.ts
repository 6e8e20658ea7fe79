import type { RefusalKind } from '../errors/refusal.js'

export enum RequestActionKind {
  StartPrefill = 'start-prefill',
  StartTransfer = 'start-transfer',
  StartDecode = 'start-decode',
  CancelWork = 'cancel-work',
  RequestReservation = 'ask-reservation',
  ReleaseReservation = 'release-reservation',
  AnswerRequest = 'answer-request',
  RefuseRequest = 'refuse-request'
}

export interface StartPrefill {
  kind: RequestActionKind.StartPrefill
  request: string
  attempt: number
  server: string
  priority: number
  timeoutMs: number
}

/** Asks the decode runner to import the prefill result from its source. */
export interface StartTransfer {
  kind: RequestActionKind.StartTransfer
  request: string
  attempt: number
  server: string
  source: string
  handle: string
  promptTokens: number
  maxTokens: number
  timeoutMs: number
}

/** Opens, or opens again, the stream of tokens from the given index on. */
export interface StartDecode {
  kind: RequestActionKind.StartDecode
  request: string
  attempt: number
  server: string
  fromToken: number
  maxTokens: number
  priority: number
}

/** Cancels all work under an engine's request id. */
export interface CancelWork {
  kind: RequestActionKind.CancelWork
  work: string
  server: string
  /** Counts the cancels of this work, so that confirmations are told apart. */
  cancel: number
}

/** Asks the keeper of a decode runner's account for a place and for time on its link. */
export interface RequestReservation {
  kind: RequestActionKind.RequestReservation
  keeper: string
  request: string
  attempt: number
  work: string
  server: string
  pieces: number
  promptTokens: number
  /** Earliest moment at which the prefill result can be ready. */
  readyMs: number
  maxTokens: number
  /** Time since the request was admitted. */
  waitedMs: number
}

export interface ReleaseReservation {
  kind: RequestActionKind.ReleaseReservation
  keeper: string
  work: string
  server: string
}

/** The answer is complete and checked; the caller may have it. */
export interface AnswerRequest {
  kind: RequestActionKind.AnswerRequest
  request: string
  tokens: number
}

export interface RefuseRequest {
  kind: RequestActionKind.RefuseRequest
  request: string
  refusal: RefusalKind
  detail: string
  retryAfterMs: number
}

export type RequestAction =
  | AnswerRequest
  | RequestReservation
  | CancelWork
  | RefuseRequest
  | ReleaseReservation
  | StartDecode
  | StartPrefill
  | StartTransfer
