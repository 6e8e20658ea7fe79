import type { PartHash } from './part.js'
import type { SignedBundle } from './signed-bundle.js'

export enum BundleActionKind {
  ReadHead = 'read-head',
  WatchHead = 'watch-head',
  StopWatch = 'stop-watch',
  ReadParts = 'read-parts',
  RequestBundle = 'ask-bundle',
  SendParts = 'send-parts',
  AnnounceBundle = 'announce-bundle'
}

/** Reads the head record from the key-value service unless its revision is still the known one; 0 always reads it. */
export interface ReadHead {
  kind: BundleActionKind.ReadHead
  knownRevision: number
}

/** Watches the head record for changes from the given revision on; replaces an earlier watch. */
export interface WatchHead {
  kind: BundleActionKind.WatchHead
  fromRevision: number
}

/** Stops the watch of the head record. */
export interface StopWatch {
  kind: BundleActionKind.StopWatch
}

/** Reads parts from the key-value service. */
export interface ReadParts {
  kind: BundleActionKind.ReadParts
  /** Id of the request; the answer carries it too. */
  ask: string
  parts: PartHash[]
}

/** Requests a version or parts from a peer. */
export interface RequestBundle {
  kind: BundleActionKind.RequestBundle
  to: string
  /** Id of the request; the answer carries it too. */
  ask: string
  /** Version that is active on this instance; 0 if none is. */
  have: number
  /** Requested version; 0 for any version above `have`. */
  wanted: number
  parts: PartHash[]
}

/** Answers a peer's request. */
export interface SendParts {
  kind: BundleActionKind.SendParts
  to: string
  /** Id of the peer's request. */
  ask: string
  /** Null if the peer has the root already and requested only parts of it. */
  signed: SignedBundle | null
  parts: Uint8Array[]
}

/** Notifies peers of the active version. */
export interface AnnounceBundle {
  kind: BundleActionKind.AnnounceBundle
  peers: string[]
  version: number
  /** Null for peers that most likely have the version already. */
  signed: SignedBundle | null
}

export type BundleAction = AnnounceBundle | RequestBundle | ReadHead | ReadParts | SendParts | StopWatch | WatchHead
