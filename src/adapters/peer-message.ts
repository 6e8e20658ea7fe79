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
  /** Time until the prefill result can be ready, in ms; a duration, since clocks of instances differ. */
  readyInMs: number
  maxTokens: number
  /** Time since the request was admitted, less a handicap if its target is already missed, in ms; a duration, since clocks of instances differ. */
  waitedMs: number
}

export interface ReservationAnswerMessage {
  kind: PeerMessageKind.ReservationAnswer
  request: string
  attempt: number
  server: string
  granted: boolean
  /** Time until the link into the decode runner is free for this transfer, in ms. */
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
  /** The only incarnation of the receiver that may dispatch the call. */
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
  /** Whether the answer was already stored when the call arrived. */
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
  /** The instance that requested this probe, or null if the sender probes for itself. */
  onBehalfOf: string | null
  bundleVersion: number
  /** Digest of the sender's membership view, before these updates. */
  digest: number
  updates: WireUpdate[]
}

export interface ProbeAck {
  kind: PeerMessageKind.ProbeAck
  probe: number
  /** The instance that was probed; differs from the sender if the sender relayed the probe. */
  subject: string
  bundleVersion: number
  /** Digest of the sender's membership view, before these updates. */
  digest: number
  updates: WireUpdate[]
}

/** Requests that the receiver probe the subject on the sender's behalf. */
export interface ProbeRequest {
  kind: PeerMessageKind.ProbeRequest
  probe: number
  subject: string
  updates: WireUpdate[]
}

/** Announces the sender's active bundle version. */
export interface BundleAnnounce {
  kind: PeerMessageKind.BundleAnnounce
  version: number
  /** Signed root of the version; null if the receiver most likely has the version already. */
  signed: SignedBundle | null
}

/** Requests a version, parts, or any version above the sender's active one; also acknowledges an announcement. */
export interface BundleRequest {
  kind: PeerMessageKind.BundleRequest
  /** Id of the request; the answer carries it too. */
  ask: string
  /** Version that is active on the sender; 0 if none is. */
  have: number
  /** Requested version; 0 for any version above `have`. */
  wanted: number
  /** SHA-256 hashes, 32 bytes each. */
  parts: Uint8Array[]
}

/** Answers a `BundleRequest`; the receiver checks the hashes and the signature. */
export interface BundlePart {
  kind: PeerMessageKind.BundlePart
  /** Id of the request. */
  ask: string
  /** Null if the receiver has the root already and requested only parts of it. */
  signed: SignedBundle | null
  parts: Uint8Array[]
}

/** Asks the owner of work whether it still needs the work that the server holds for it. */
export interface OwnerQuery {
  kind: PeerMessageKind.OwnerQuery
  work: string
  server: string
  /** Incarnation of the receiver that owns the work. */
  incarnationWanted: string
}

export interface OwnerAnswer {
  kind: PeerMessageKind.OwnerAnswer
  work: string
  server: string
  /** Whether the owner still needs the work; false if the owner has restarted since. */
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

/** A message with the id and incarnation of its sender. */
export interface PeerEnvelope {
  from: string
  incarnation: string
  message: PeerMessage
}
