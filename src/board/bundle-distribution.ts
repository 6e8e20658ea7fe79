import type { PartHash } from '../bundles/part.js'
import type { BundleRoot, SignedBundle } from '../bundles/signed-bundle.js'
import type { TrustedKey } from '../settings/entry-settings.js'

/** A bundle whose root has been verified and whose parts are being fetched. */
export interface BundleFetch {
  signed: SignedBundle
  root: BundleRoot
  hash: string
  /** Parts received so far that the active bundle does not have. */
  parts: Map<PartHash, Uint8Array>
  /** Parts to fetch next; a received part can add its children. */
  missing: Set<PartHash>
  /** Parts that the head record lists as new in this version; requested along with `missing`, so that one call is enough. */
  hint: PartHash[]
  /** Peers, or the key-value service, that offered the version, in the order in which they are tried. */
  sources: string[]
  /** Id of the request in flight, or null. */
  ask: string | null
  /** Requests in a row that brought no part. */
  failures: number
}

/** State of fetching bundles and distributing them to peers. */
export interface BundleDistribution {
  trustedKeys: TrustedKey[]
  /** Signed root of the active bundle, as sent to peers. */
  signed: SignedBundle | null
  /** Every part of the active bundle, and some of earlier ones for peers that still fetch them. */
  parts: Map<PartHash, Uint8Array>
  /** Size of `parts` after it was last reduced to the parts of the active bundle. */
  prunedSize: number
  /** Parts of the active bundle that its parent version does not have; null if this instance has skipped versions. */
  fresh: PartHash[] | null
  fetch: BundleFetch | null
  /** Hashes of roots whose content failed verification. */
  rejected: Set<string>
  /** Announcements that have not been acknowledged yet: the announced version by peer. */
  announced: Map<string, number>
  startedMs: number | null
  /** Until this time, an instance without an active bundle only collects offers, so that it fetches the highest version. */
  discoverUntilMs: number
  /** Whether this instance reads the head record for its failure domain. */
  reader: boolean
  /** Whether a watch of the head record is open. */
  watching: boolean
  /** Failed reads of the head record in a row. */
  headFailures: number
  /** Revision of the head record that was read last. */
  headRevision: number
  /** Bundle version in that record. */
  headVersion: number
  nextHeadReadMs: number
  /** Time of the next regular query of a random peer for a newer version. */
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
