import { MemberState } from '../board/member.js'
import type { MemberUpdate } from '../members/member-event.js'

/** States by their number on the wire; new states are added at the end, so that the numbers of older ones stay. */
const statesByNumber: MemberState[] = [MemberState.Alive, MemberState.Leaving, MemberState.Suspect, MemberState.Dead]

/** A member update on the wire, without field names: id, incarnation, refutation, state number, then the peer address, caller address, failure domain and region unless the member is suspect or dead. */
export type WireUpdate = [id: string, incarnation: string, refutation: number, state: number, ...location: string[]]

export function toWireUpdate (update: MemberUpdate): WireUpdate {
  const { id, incarnation, refutation, state, peerAddress, callerAddress, failureDomain, region } = update
  const omitsLocation = state === MemberState.Suspect || state === MemberState.Dead
  const location = omitsLocation ? [] : [peerAddress, callerAddress, failureDomain, region]
  return [id, incarnation, refutation, statesByNumber.indexOf(state), ...location]
}

export function fromWireUpdate (wire: WireUpdate): MemberUpdate {
  const [id, incarnation, refutation, state, peerAddress = '', callerAddress = '', failureDomain = '', region = ''] = wire
  // A state number that only a newer release knows is read as alive, the state with the least effect.
  return { id, incarnation, refutation, state: statesByNumber[state] ?? MemberState.Alive, peerAddress, callerAddress, failureDomain, region }
}
