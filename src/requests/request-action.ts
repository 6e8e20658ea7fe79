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

/** Makes the decode runner import the prefill result from the prefill runner at `source`. */
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

/** Opens or reopens the token stream, starting at index `fromToken`. */
export interface StartDecode {
  kind: RequestActionKind.StartDecode
  request: string
  attempt: number
  server: string
  fromToken: number
  maxTokens: number
  priority: number
}

/** Cancels all work that an engine holds under the id `work`. */
export interface CancelWork {
  kind: RequestActionKind.CancelWork
  work: string
  server: string
  /** Number of this cancel among those of the same work, so that a confirmation can be matched to its cancel. */
  cancel: number
}

/** Requests a reservation from the coordinator of a decode runner: KV cache pieces and time on the runner's link. */
export interface RequestReservation {
  kind: RequestActionKind.RequestReservation
  coordinator: string
  request: string
  attempt: number
  work: string
  server: string
  pieces: number
  promptTokens: number
  /** Earliest time at which the prefill result can be ready. */
  readyMs: number
  maxTokens: number
  /** Time since the request was admitted, less a penalty if it cannot meet its first-token target. */
  waitedMs: number
}

export interface ReleaseReservation {
  kind: RequestActionKind.ReleaseReservation
  coordinator: string
  work: string
  server: string
}

/** Returns the complete answer to the caller, after its token count has been checked. */
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
