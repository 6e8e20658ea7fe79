/** What a caller asks for. */
export enum CallKind {
  Order = 'order',
  Check = 'check',
  Stream = 'stream'
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
}
