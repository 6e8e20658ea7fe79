import type { RefusalKind } from '../errors/refusal.js'

export enum CallEventKind {
  CallArrived = 'call-arrived',
  CallerDisconnected = 'caller-left',
  CallAdmitted = 'call-admitted',
  CallEnded = 'call-ended',
  CallSent = 'call-sent',
  CallFinished = 'call-finished',
  CallFailed = 'call-failed',
  CallRetryDue = 'call-retry-due',
  KeyClaimed = 'key-recorded',
  KeyAlreadyClaimed = 'key-taken',
  KeyClaimFailed = 'key-unrecorded',
  ForwardedCallAnswered = 'forwarded-call-answered',
  OutcomeQueried = 'outcome-asked',
  OutcomeQueryAnswered = 'outcome-found',
  OutcomeRecordRead = 'outcome-record-read',
  CallTick = 'call-tick'
}

/** A call to a plain service, from a caller or forwarded by another instance. */
export interface CallArrived {
  kind: CallEventKind.CallArrived
  /** Id of this attempt. Each connection has its own, even if several carry the same call. */
  call: string
  organisation: string
  route: string
  key: string | null
  bodyHash: string
  /** The entry instance that forwarded the call, or null for a caller's own connection. */
  forwardedBy: string | null
}

/** The connection that carried an attempt is closed. */
export interface CallerDisconnected {
  kind: CallEventKind.CallerDisconnected
  call: string
}

/** The call is within the limits of its organisation. */
export interface CallAdmitted {
  kind: CallEventKind.CallAdmitted
  call: string
}

/** An attempt was removed from the table of calls, so its quota is released. */
export interface CallEnded {
  kind: CallEventKind.CallEnded
  call: string
  organisation: string
}

/** The first byte of the call may have reached the backend server. */
export interface CallSent {
  kind: CallEventKind.CallSent
  call: string
}

/** The backend server answered; `succeeded` is false if it answered with an error status. */
export interface CallFinished {
  kind: CallEventKind.CallFinished
  call: string
  server: string
  status: number
  succeeded: boolean
  /** Size of the answer's body in bytes. */
  bytes: number
}

export interface CallFailed {
  kind: CallEventKind.CallFailed
  call: string
  server: string
  /** False only if the call can't have run: no byte of it was written, or the backend server refused it because it is leaving. */
  sent: boolean
}

export interface CallRetryDue {
  kind: CallEventKind.CallRetryDue
  call: string
}

/** This incarnation's claim of a caller's own key is recorded in the key-value service. */
export interface KeyClaimed {
  kind: CallEventKind.KeyClaimed
  organisation: string
  key: string
  nonce: string
}

/** The claim failed because the key was claimed before, by this or another incarnation. */
export interface KeyAlreadyClaimed {
  kind: CallEventKind.KeyAlreadyClaimed
  organisation: string
  key: string
  /** Nonce of the claim that failed. */
  nonce: string
  /** Instance of the earlier claim. Incarnation, body hash and outcome are also those of the earlier claim. */
  instance: string
  incarnation: string
  bodyHash: string
  outcome: CallOutcome
}

/** The claim could not be recorded in the key-value service. A write of the claim may still take effect, but its call is never dispatched. */
export interface KeyClaimFailed {
  kind: CallEventKind.KeyClaimFailed
  organisation: string
  key: string
  nonce: string
  refusal: RefusalKind
}

/** The instance that a call was forwarded to has answered or refused it, or did not answer in time. */
export interface ForwardedCallAnswered {
  kind: CallEventKind.ForwardedCallAnswered
  call: string
  answered: boolean
  /** Whether that instance sent an answer that it had already stored. */
  replayed?: boolean
  refusal: RefusalKind | null
  detail: string
}

/** Outcome of the call with a given key, as far as it is known. */
export enum CallOutcome {
  Unknown = 'unknown',
  NotRun = 'not_run',
  InFlight = 'in_flight',
  Succeeded = 'succeeded',
  Failed = 'failed'
}

/** A caller or another instance asks for the outcome of the call with a key. */
export interface OutcomeQueried {
  kind: CallEventKind.OutcomeQueried
  /** Id of the query. */
  query: string
  organisation: string
  key: string
  /** The instance that forwarded the query, or null for a caller's own connection. */
  forwardedBy: string | null
}

/** The final answer to a query: from the holder of the key, or unknown because there is no record of the key or no answer came in time. */
export interface OutcomeQueryAnswered {
  kind: CallEventKind.OutcomeQueryAnswered
  query: string
  outcome: CallOutcome
  detail: string
  refusal: RefusalKind | null
}

/** The record of a caller's own key, read from the key-value service. */
export interface OutcomeRecordRead {
  kind: CallEventKind.OutcomeRecordRead
  query: string
  organisation: string
  key: string
  instance: string
  incarnation: string
  outcome: CallOutcome
}

export interface CallTick {
  kind: CallEventKind.CallTick
}

export type CallEvent =
  | CallAdmitted
  | CallArrived
  | CallEnded
  | CallerDisconnected
  | CallFailed
  | CallFinished
  | CallRetryDue
  | CallSent
  | CallTick
  | ForwardedCallAnswered
  | KeyClaimed
  | KeyAlreadyClaimed
  | KeyClaimFailed
  | OutcomeQueried
  | OutcomeQueryAnswered
  | OutcomeRecordRead
