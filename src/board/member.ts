export enum MemberState {
  Alive = 'alive',
  Suspect = 'suspect',
  Dead = 'dead',
  Leaving = 'leaving'
}

/** Another entry instance as this instance sees it. */
export interface Member {
  id: string
  incarnation: string
  refutation: number
  state: MemberState
  /** When this instance last changed the state. */
  changedMs: number
  peerAddress: string
  callerAddress: string
  failureDomain: string
  region: string
  bundleVersion: number
}
