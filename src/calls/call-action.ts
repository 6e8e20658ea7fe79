import type { RefusalKind } from '../errors/refusal.js'
import type { CallOutcome } from './call-event.js'

export enum CallActionKind {
  SendCall = 'send-call',
  AnswerCall = 'answer-call',
  RefuseCall = 'refuse-call',
  ReleaseCall = 'release-call',
  ForwardCall = 'forward-call',
  ClaimKey = 'record-key',
  RecordOutcome = 'record-outcome',
  ReadOutcomeRecord = 'find-outcome',
  ForwardOutcomeQuery = 'forward-outcome-query',
  AnswerOutcome = 'answer-outcome'
}

/** Sends the call's body to a backend server. */
export interface SendCall {
  kind: CallActionKind.SendCall
  call: string
  server: string
  route: string
  key: string | null
  timeoutMs: number
}

/** Sends the backend server's answer held for the attempt `source` on the connection of the attempt `call`. */
export interface AnswerCall {
  kind: CallActionKind.AnswerCall
  call: string
  source: string
  /** Whether the answer was already sent or stored before this attempt arrived. */
  replayed: boolean
}

export interface RefuseCall {
  kind: CallActionKind.RefuseCall
  call: string
  refusal: RefusalKind
  detail: string
  retryAfterMs: number
}

/** Frees the data held for an attempt; if `keepAnswer` is set, all of it but the backend server's answer. */
export interface ReleaseCall {
  kind: CallActionKind.ReleaseCall
  call: string
  keepAnswer: boolean
}

/** Forwards the call to the only instance and incarnation that may dispatch a call with its key. */
export interface ForwardCall {
  kind: CallActionKind.ForwardCall
  call: string
  instance: string
  incarnation: string
}

/** Claims a caller's own key: records in the key-value service, by compare-and-swap, that this incarnation intends to dispatch its call. */
export interface ClaimKey {
  kind: CallActionKind.ClaimKey
  organisation: string
  key: string
  bodyHash: string
  /** Identifies this claim of the key. */
  nonce: string
  /** Nonces of earlier claims that this incarnation will never dispatch, so that their records may be replaced. */
  abandoned: string[]
}

/** Writes the outcome of a call into the record of its key in the key-value service. */
export interface RecordOutcome {
  kind: CallActionKind.RecordOutcome
  organisation: string
  key: string
  bodyHash: string
  nonce: string
  outcome: CallOutcome
}

/** Reads the record of a caller's own key from the key-value service. */
export interface ReadOutcomeRecord {
  kind: CallActionKind.ReadOutcomeRecord
  query: string
  organisation: string
  key: string
}

/** Forwards a query to the instance and incarnation that hold the key. */
export interface ForwardOutcomeQuery {
  kind: CallActionKind.ForwardOutcomeQuery
  query: string
  organisation: string
  key: string
  instance: string
  incarnation: string
}

export interface AnswerOutcome {
  kind: CallActionKind.AnswerOutcome
  query: string
  outcome: CallOutcome
  detail: string
  /** Why the query is refused; null if it is answered with an outcome. */
  refusal: RefusalKind | null
}

export type CallAction =
  | AnswerCall
  | AnswerOutcome
  | ForwardCall
  | ForwardOutcomeQuery
  | ReadOutcomeRecord
  | ClaimKey
  | RecordOutcome
  | RefuseCall
  | ReleaseCall
  | SendCall
