import type { MemberState } from '../board/member.js'

export enum MemberEventKind {
  MemberTick = 'member-tick',
  ProbeReceived = 'probe-received',
  ProbeAckReceived = 'probe-ack-received',
  ProbeRequestReceived = 'probe-request-received',
  ProbeTimedOut = 'probe-timed-out',
  SuspicionTimedOut = 'suspicion-timed-out',
  GossipDue = 'gossip-due',
  MemberChanged = 'member-changed'
}

/** One instance's state as it is disseminated between instances. */
export interface MemberUpdate {
  id: string
  incarnation: string
  /** Counter that only the member itself raises, for example to refute a suspicion. */
  refutation: number
  state: MemberState
  peerAddress: string
  callerAddress: string
  failureDomain: string
  region: string
}

export interface MemberTick {
  kind: MemberEventKind.MemberTick
}

export interface ProbeReceived {
  kind: MemberEventKind.ProbeReceived
  from: string
  incarnation: string
  probe: number
  /** The instance that requested this probe, or null if the sender probes for itself. */
  onBehalfOf: string | null
  bundleVersion: number
  /** Digest of the sender's view, before these updates. */
  digest: number
  updates: MemberUpdate[]
}

export interface ProbeAckReceived {
  kind: MemberEventKind.ProbeAckReceived
  from: string
  incarnation: string
  probe: number
  /** The instance that was probed; differs from `from` if `from` relayed the probe. */
  subject: string
  bundleVersion: number
  /** Digest of the sender's view, before these updates. */
  digest: number
  updates: MemberUpdate[]
}

/** A peer requests that this instance probe the subject on its behalf. */
export interface ProbeRequestReceived {
  kind: MemberEventKind.ProbeRequestReceived
  from: string
  incarnation: string
  probe: number
  subject: string
  updates: MemberUpdate[]
}

export interface ProbeTimedOut {
  kind: MemberEventKind.ProbeTimedOut
  probe: number
  subject: string
  /** Whether the time for indirect probes is over too. */
  indirect: boolean
}

/** A suspicion has reached its deadline, unless the suspicion was cleared or its deadline extended meanwhile. */
export interface SuspicionTimedOut {
  kind: MemberEventKind.SuspicionTimedOut
  id: string
}

/** The time in which fresh updates are collected has passed; they are sent now. */
export interface GossipDue {
  kind: MemberEventKind.GossipDue
}

/** A member's state or incarnation changed on the blackboard. Emitted for a member of unknown incarnation only when it is declared dead. */
export interface MemberChanged {
  kind: MemberEventKind.MemberChanged
  id: string
  incarnation: string
  state: MemberState
}

export type MemberEvent =
  | GossipDue
  | MemberChanged
  | MemberTick
  | ProbeAckReceived
  | ProbeReceived
  | ProbeRequestReceived
  | ProbeTimedOut
  | SuspicionTimedOut
