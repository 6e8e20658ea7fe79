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
  KeyRecorded = 'key-recorded',
  KeyTaken = 'key-taken',
  KeyRecordFailed = 'key-unrecorded',
  ForwardedCallAnswered = 'forwarded-call-answered',
  OutcomeQueried = 'outcome-asked',
  OutcomeFound = 'outcome-found',
  OutcomeRecordRead = 'outcome-record-read',
  CallTick = 'call-tick'
}

/** A call to a plain service, from a caller or forwarded by another instance. */
export interface CallArrived {
  kind: CallEventKind.CallArrived
  /** Identifies this attempt of the caller, not the call: each connection has its own. */
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

/** Limits let the call go on. */
export interface CallAdmitted {
  kind: CallEventKind.CallAdmitted
  call: string
}

/** An attempt left the table of calls; limits free its place. */
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

/** The backend server answered; `succeeded` is false for its own error statuses. */
export interface CallFinished {
  kind: CallEventKind.CallFinished
  call: string
  server: string
  status: number
  succeeded: boolean
  /** Size of the answer's body. */
  bytes: number
}

export interface CallFailed {
  kind: CallEventKind.CallFailed
  call: string
  server: string
  /** False only if no byte of the call was written to the backend server. */
  sent: boolean
}

export interface CallRetryDue {
  kind: CallEventKind.CallRetryDue
  call: string
}

/** The intent of a caller's own key is recorded in the key-value service by this incarnation. */
export interface KeyRecorded {
  kind: CallEventKind.KeyRecorded
  organisation: string
  key: string
  nonce: string
}

/** The key was recorded before, by this or another incarnation. */
export interface KeyTaken {
  kind: CallEventKind.KeyTaken
  organisation: string
  key: string
  /** The claim that failed. */
  nonce: string
  instance: string
  incarnation: string
  bodyHash: string
  outcome: CallOutcome
}

/** The key could not be recorded. A write of the claim may still take effect, but it is never dispatched. */
export interface KeyRecordFailed {
  kind: CallEventKind.KeyRecordFailed
  organisation: string
  key: string
  nonce: string
  refusal: RefusalKind
}

/** Another instance answered a call that was forwarded to it, or could not be reached. */
export interface ForwardedCallAnswered {
  kind: CallEventKind.ForwardedCallAnswered
  call: string
  answered: boolean
  /** Whether the answer is one that its holder had stored. */
  replayed?: boolean
  refusal: RefusalKind | null
  detail: string
}

/** What is known of a call by its key. */
export enum CallOutcome {
  Unknown = 'unknown',
  NotRun = 'not_run',
  InFlight = 'in_flight',
  Succeeded = 'succeeded',
  Failed = 'failed'
}

export interface OutcomeQueried {
  kind: CallEventKind.OutcomeQueried
  query: string
  organisation: string
  key: string
  forwardedBy: string | null
}

export interface OutcomeFound {
  kind: CallEventKind.OutcomeFound
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
  | KeyRecorded
  | KeyTaken
  | KeyRecordFailed
  | OutcomeQueried
  | OutcomeFound
  | OutcomeRecordRead
