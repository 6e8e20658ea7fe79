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
  BundleUnreadable = 'bundle-unreadable',
  BundleApplied = 'bundle-applied',
  HeadRead = 'head-read',
  HeadUnchanged = 'head-unchanged',
  HeadWatchEnded = 'head-watch-ended'
}

/** Name of the key-value service where the id of a peer could stand. */
export const KEY_VALUE_SOURCE = 'key-value-service'

/** A complete bundle whose signature and parts have been checked. */
export interface BundleVerified {
  kind: BundleEventKind.BundleVerified
  version: number
  hash: string
  bundle: Bundle
  /** `SERVICE_SOURCE` or the id of the peer it came from. */
  source: string
}

export interface BundleRejected {
  kind: BundleEventKind.BundleRejected
  version: number
  source: string
  detail: string
}

export interface BundleTick {
  kind: BundleEventKind.BundleTick
}

/** A peer says which version it has in force. */
export interface BundleAnnounced {
  kind: BundleEventKind.BundleAnnounced
  from: string
  version: number
  signed: SignedBundle | null
}

/** A peer asks for a version or for parts. */
export interface BundleRequested {
  kind: BundleEventKind.BundleRequested
  from: string
  ask: string
  have: number
  wanted: number
  parts: PartHash[]
}

/** Answer of a peer or of the key-value service; nothing in it has been checked. */
export interface BundlePartsReceived {
  kind: BundleEventKind.BundlePartsReceived
  from: string
  ask: string
  signed: SignedBundle | null
  parts: Uint8Array[]
}

export interface BundleRequestTimedOut {
  kind: BundleEventKind.BundleRequestTimedOut
  ask: string
}

export interface BundleAnnounceTimedOut {
  kind: BundleEventKind.BundleAnnounceTimedOut
  version: number
  attempt: number
}

/** A version announced by another reader should have been read from the service by now. */
export interface BundleOverdue {
  kind: BundleEventKind.BundleOverdue
  from: string
  version: number
}

/** The time in which an instance without a bundle collects offers is over. */
export interface BundleDiscoveryEnded {
  kind: BundleEventKind.BundleDiscoveryEnded
}

/** The head could not be read from the key-value service. */
export interface BundleUnreadable {
  kind: BundleEventKind.BundleUnreadable
  source: string
}

/** A bundle came into force on this instance. */
export interface BundleApplied {
  kind: BundleEventKind.BundleApplied
  version: number
}

/** The head record was read or reported by the watch; `signed` is null when there is none. */
export interface HeadRead {
  kind: BundleEventKind.HeadRead
  signed: SignedBundle | null
  fresh: PartHash[]
  /** Parts that came with the record. */
  parts: Uint8Array[]
  revision: number
}

/** The head record is still the one read last. */
export interface HeadUnchanged {
  kind: BundleEventKind.HeadUnchanged
}

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
  | BundleUnreadable
  | BundleVerified
  | HeadRead
  | HeadUnchanged
  | HeadWatchEnded
