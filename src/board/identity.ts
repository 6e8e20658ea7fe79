/** Identity and addresses of this entry instance. */
export interface Identity {
  id: string
  /** New at each start of the process. */
  incarnation: string
  failureDomain: string
  region: string
  callerAddress: string
  peerAddress: string
}
