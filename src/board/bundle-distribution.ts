import type { PartHash } from '../bundles/part.js'
import type { BundleRoot, SignedBundle } from '../bundles/signed-bundle.js'
import type { TrustedKey } from '../settings/entry-settings.js'

/** A bundle whose root has been verified and whose parts are being collected. */
export interface BundleFetch {
  signed: SignedBundle
  root: BundleRoot
  hash: string
  /** Parts received so far that the version in force does not have. */
  parts: Map<PartHash, Uint8Array>
  /** Parts that are needed next. */
  missing: Set<PartHash>
  /** Parts that the head record names as new; fetched in one call. */
  hint: PartHash[]
  /** Where the version was found, in the order in which they are asked. */
  sources: string[]
  /** The ask in flight. */
  ask: string | null
  failures: number
}

/** What an instance knows about getting bundles and passing them on. */
export interface BundleDistribution {
  trustedKeys: TrustedKey[]
  /** Root in force with its signature, as passed on. */
  signed: SignedBundle | null
  /** Every part of the version in force, and some of earlier ones. */
  parts: Map<PartHash, Uint8Array>
  /** Size of `parts` when it was last reduced to what is in force. */
  prunedSize: number
  /** Parts of the version in force that its parent did not have; null if this instance has skipped versions. */
  fresh: PartHash[] | null
  fetch: BundleFetch | null
  /** Hashes of roots whose content was refused. */
  rejected: Set<string>
  /** Announcements that have not been answered yet: peer to version. */
  announced: Map<string, number>
  startedMs: number | null
  /** Until then an instance without a bundle collects offers before it fetches. */
  discoverUntilMs: number
  reader: boolean
  watching: boolean
  headFailures: number
  /** Revision of the head record read last. */
  headRevision: number
  /** Version of that record. */
  headVersion: number
  nextHeadReadMs: number
  nextAskMs: number
}

export function createBundleDistribution (trustedKeys: TrustedKey[]): BundleDistribution {
  return {
    trustedKeys,
    signed: null,
    parts: new Map(),
    prunedSize: 0,
    fresh: null,
    fetch: null,
    rejected: new Set(),
    announced: new Map(),
    startedMs: null,
    discoverUntilMs: 0,
    reader: false,
    watching: false,
    headFailures: 0,
    headRevision: 0,
    headVersion: 0,
    nextHeadReadMs: 0,
    nextAskMs: 0
  }
}
