import type { MemberUpdate } from './member-event.js'

export enum MemberActionKind {
  SendProbe = 'send-probe',
  SendProbeAck = 'send-probe-ack',
  SendProbeRequest = 'send-probe-request'
}

export interface SendProbe {
  kind: MemberActionKind.SendProbe
  to: string
  probe: number
  onBehalfOf: string | null
  bundleVersion: number
  /** Digest of the sender's view, before these updates. */
  digest: number
  updates: MemberUpdate[]
}

export interface SendProbeAck {
  kind: MemberActionKind.SendProbeAck
  to: string
  probe: number
  subject: string
  bundleVersion: number
  /** Digest of the sender's view, before these updates. */
  digest: number
  updates: MemberUpdate[]
}

export interface SendProbeRequest {
  kind: MemberActionKind.SendProbeRequest
  to: string
  probe: number
  subject: string
  updates: MemberUpdate[]
}

export type MemberAction = SendProbe | SendProbeAck | SendProbeRequest
