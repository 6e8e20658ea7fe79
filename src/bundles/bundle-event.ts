import type { Bundle } from './bundle.js'
import type { PartHash } from './part.js'
import type { SignedBundle } from './signed-bundle.js'

export enum BundleEventKind {
  BundleVerified = 'bundle-verified',
  BundleRejected = 'bundle-rejected',
  BundleTick = 'bundle-tick',
  BundleAnnounced = 'bundle-announced',
  BundleRequested = 'bundle-asked',
  BundlePartsReceived = 'bundle-parts-received',
  BundleRequestTimedOut = 'bundle-ask-timed-out',
  BundleAnnounceTimedOut = 'bundle-announce-timed-out',
  BundleOverdue = 'bundle-overdue',
  BundleDiscoveryEnded = 'bundle-discovery-ended',
  HeadReadFailed = 'bundle-unreadable',
  BundleApplied = 'bundle-applied',
  HeadRead = 'head-read',
  HeadUnchanged = 'head-unchanged',
  HeadWatchEnded = 'head-watch-ended'
}

/** Denotes the key-value service in fields that otherwise hold the id of a peer. */
export const KEY_VALUE_SOURCE = 'key-value-service'

/** A complete bundle whose signature and parts have been checked. */
export interface BundleVerified {
  kind: BundleEventKind.BundleVerified
  version: number
  hash: string
  bundle: Bundle
  /** `KEY_VALUE_SOURCE` or the id of the peer from which the root was received. */
  source: string
}

/** A root or its content failed verification. */
export interface BundleRejected {
  kind: BundleEventKind.BundleRejected
  /** 0 if the root could not be read. */
  version: number
  source: string
  detail: string
}

/** Periodic trigger for reading the head and for requests to peers. */
export interface BundleTick {
  kind: BundleEventKind.BundleTick
}

/** A peer announced its active version. */
export interface BundleAnnounced {
  kind: BundleEventKind.BundleAnnounced
  from: string
  version: number
  /** Null in the short form, which readers send to each other. */
  signed: SignedBundle | null
}

/** A peer requests a version or parts. */
export interface BundleRequested {
  kind: BundleEventKind.BundleRequested
  from: string
  /** Id of the request; the answer carries it too. */
  ask: string
  /** Version that is active on the peer; 0 if none is. */
  have: number
  /** Requested version; 0 for any version above `have`. */
  wanted: number
  parts: PartHash[]
}

/** A peer or the key-value service answered a request; nothing in the answer has been verified. */
export interface BundlePartsReceived {
  kind: BundleEventKind.BundlePartsReceived
  /** `KEY_VALUE_SOURCE` or the id of the peer. */
  from: string
  ask: string
  signed: SignedBundle | null
  parts: Uint8Array[]
}

/** The timeout of a request for parts has passed; ignored if the request was answered in time. */
export interface BundleRequestTimedOut {
  kind: BundleEventKind.BundleRequestTimedOut
  ask: string
}

/** The timeout of an announcement has passed; `attempt` counts from 1. */
export interface BundleAnnounceTimedOut {
  kind: BundleEventKind.BundleAnnounceTimedOut
  version: number
  attempt: number
}

/** `READER_GRACE_MS` has passed since another reader announced a version that this instance did not have. */
export interface BundleOverdue {
  kind: BundleEventKind.BundleOverdue
  from: string
  version: number
}

/** The time for which an instance without a bundle collects offers has passed. */
export interface BundleDiscoveryEnded {
  kind: BundleEventKind.BundleDiscoveryEnded
}

/** Reading the head from the key-value service failed. */
export interface HeadReadFailed {
  kind: BundleEventKind.HeadReadFailed
  source: string
}

/** A bundle became active on this instance. */
export interface BundleApplied {
  kind: BundleEventKind.BundleApplied
  version: number
}

/** The head record was read or reported by the watch; `signed` is null when there is none. */
export interface HeadRead {
  kind: BundleEventKind.HeadRead
  signed: SignedBundle | null
  /** Parts that the parent version does not have; an unsigned hint. */
  fresh: PartHash[]
  /** Content of parts that the record contains inline. */
  parts: Uint8Array[]
  /** Revision of the record; 0 when there is none. */
  revision: number
}

/** The head record still has the revision that was read last. */
export interface HeadUnchanged {
  kind: BundleEventKind.HeadUnchanged
}

/** The watch of the head record ended with an error. */
export interface HeadWatchEnded {
  kind: BundleEventKind.HeadWatchEnded
}

export type BundleEvent =
  | BundleAnnounced
  | BundleAnnounceTimedOut
  | BundleApplied
  | BundleRequested
  | BundleRequestTimedOut
  | BundleDiscoveryEnded
  | BundleOverdue
  | BundlePartsReceived
  | BundleRejected
  | BundleTick
  | HeadReadFailed
  | BundleVerified
  | HeadRead
  | HeadUnchanged
  | HeadWatchEnded
