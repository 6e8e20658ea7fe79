/** What a caller asks for. */
export enum CallKind {
  Order = 'order',
  Check = 'check',
  Stream = 'stream'
}

/** How far one attempt came, in milliseconds of the steady clock. */
export interface CallProgress {
  startedMs: number
  /** When the last byte of the request had been handed to an open connection; null if that did not happen. */
  sentMs: number | null
  endedMs: number
  /** Whether the answer, which may be a refusal, has arrived completely. */
  complete: boolean
  deadlineMs: number
  /** Largest size of the body of the answer, in bytes. */
  answerBytes: number
}

/** How one attempt ended, as its caller saw it. */
export interface CallEnd {
  id: string
  /** Address of the instance that was called. */
  address: string
  kind: CallKind
  /** Null if the connection broke. */
  status: number | null
  /** What is wrong with the answer itself; null if nothing is. */
  fault: string | null
  /** Without it, the call is not judged by its progress. */
  progress?: CallProgress
}
