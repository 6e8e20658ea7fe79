import type { SignedBundle } from '../bundles/signed-bundle.js'
import type { CallOutcome } from '../calls/call-event.js'
import type { RefusalKind } from '../errors/refusal.js'
import type { WireUpdate } from './member-wire.js'

export enum PeerMessageKind {
  ReservationRequest = 'reservation-ask',
  ReservationAnswer = 'reservation-answer',
  ReservationRelease = 'reservation-release',
  CallForward = 'call-forward',
  CallAnswer = 'call-answer',
  OutcomeQuery = 'outcome-ask',
  OutcomeAnswer = 'outcome-answer',
  Probe = 'probe',
  ProbeAck = 'probe-ack',
  ProbeRequest = 'probe-request',
  BundleAnnounce = 'bundle-announce',
  BundleRequest = 'bundle-ask',
  BundlePart = 'bundle-part',
  OwnerQuery = 'owner-ask',
  OwnerAnswer = 'owner-answer'
}

export interface ReservationRequest {
  kind: PeerMessageKind.ReservationRequest
  request: string
  attempt: number
  work: string
  server: string
  pieces: number
  promptTokens: number
  /** Until the prefill result can be ready; relative, since clocks of instances differ. */
  readyInMs: number
  maxTokens: number
  /** Time since the request was admitted, so that clocks need not agree. */
  waitedMs: number
}

export interface ReservationAnswerMessage {
  kind: PeerMessageKind.ReservationAnswer
  request: string
  attempt: number
  server: string
  granted: boolean
  transferInMs: number
  freePieces: number
}

export interface ReservationReleaseMessage {
  kind: PeerMessageKind.ReservationRelease
  work: string
  server: string
}

export interface CallForwardMessage {
  kind: PeerMessageKind.CallForward
  call: string
  /** Incarnation of the receiver that alone may dispatch the call. */
  incarnationWanted: string
  organisation: string
  route: string
  method: string
  /** Path with its query string. */
  path: string
  contentType: string
  key: string | null
  bodyHash: string
  body: Uint8Array
}

export interface CallAnswerMessage {
  kind: PeerMessageKind.CallAnswer
  call: string
  refusal: RefusalKind | null
  detail: string
  /** Whether the answer was stored before the call came. */
  replayed: boolean
  status: number
  contentType: string
  body: Uint8Array
}

export interface OutcomeQuery {
  kind: PeerMessageKind.OutcomeQuery
  query: string
  organisation: string
  key: string
  incarnationWanted: string
}

export interface OutcomeAnswer {
  kind: PeerMessageKind.OutcomeAnswer
  query: string
  outcome: CallOutcome
  detail: string
  refusal: RefusalKind | null
}

export interface Probe {
  kind: PeerMessageKind.Probe
  probe: number
  onBehalfOf: string | null
  bundleVersion: number
  /** Digest of the sender's view, before these updates. */
  digest: number
  updates: WireUpdate[]
}

export interface ProbeAck {
  kind: PeerMessageKind.ProbeAck
  probe: number
  subject: string
  bundleVersion: number
  /** Digest of the sender's view, before these updates. */
  digest: number
  updates: WireUpdate[]
}

export interface ProbeRequest {
  kind: PeerMessageKind.ProbeRequest
  probe: number
  subject: string
  updates: WireUpdate[]
}

/** The sender has a version in force; with its signed root if the receiver is likely to need it. */
export interface BundleAnnounce {
  kind: PeerMessageKind.BundleAnnounce
  version: number
  signed: SignedBundle | null
}

/** Asks for a version, for parts, or for whatever is higher than the version in force; also acknowledges an announcement. */
export interface BundleRequest {
  kind: PeerMessageKind.BundleRequest
  ask: string
  have: number
  wanted: number
  /** SHA-256 hashes, 32 bytes each. */
  parts: Uint8Array[]
}

/** Parts in answer to `BundleRequest`; the receiver checks hashes and signature. */
export interface BundlePart {
  kind: PeerMessageKind.BundlePart
  ask: string
  signed: SignedBundle | null
  parts: Uint8Array[]
}

export interface OwnerQuery {
  kind: PeerMessageKind.OwnerQuery
  work: string
  server: string
  incarnationWanted: string
}

export interface OwnerAnswer {
  kind: PeerMessageKind.OwnerAnswer
  work: string
  server: string
  wanted: boolean
}

export type PeerMessage =
  | BundleAnnounce
  | BundleRequest
  | BundlePart
  | CallAnswerMessage
  | CallForwardMessage
  | OutcomeAnswer
  | OutcomeQuery
  | OwnerAnswer
  | OwnerQuery
  | Probe
  | ProbeAck
  | ProbeRequest
  | ReservationAnswerMessage
  | ReservationRequest
  | ReservationReleaseMessage

/** A message with its sender. */
export interface PeerEnvelope {
  from: string
  incarnation: string
  message: PeerMessage
}
