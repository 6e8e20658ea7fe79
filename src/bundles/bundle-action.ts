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

/** Reads the head record from the key-value service if its revision is another one than the known. */
export interface ReadHead {
  kind: BundleActionKind.ReadHead
  knownRevision: number
}

/** Watches the head record from the given revision on; replaces an earlier watch. */
export interface WatchHead {
  kind: BundleActionKind.WatchHead
  fromRevision: number
}

export interface StopWatch {
  kind: BundleActionKind.StopWatch
}

/** Reads parts from the key-value service. */
export interface ReadParts {
  kind: BundleActionKind.ReadParts
  ask: string
  parts: PartHash[]
}

/** Asks a peer for a version or for parts. */
export interface RequestBundle {
  kind: BundleActionKind.RequestBundle
  to: string
  ask: string
  /** Version in force here. */
  have: number
  /** Version asked for; 0 for any that is higher than the one in force. */
  wanted: number
  parts: PartHash[]
}

/** Answers a peer's ask. */
export interface SendParts {
  kind: BundleActionKind.SendParts
  to: string
  ask: string
  signed: SignedBundle | null
  parts: Uint8Array[]
}

export interface AnnounceBundle {
  kind: BundleActionKind.AnnounceBundle
  peers: string[]
  version: number
  /** Left out where the peer most likely has the version. */
  signed: SignedBundle | null
}

export type BundleAction = AnnounceBundle | RequestBundle | ReadHead | ReadParts | SendParts | StopWatch | WatchHead
