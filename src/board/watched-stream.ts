/** A stream on a runner. The runner's coordinator watches whether the stream's owner still needs it, and releases it if not. */
export interface WatchedStream {
  work: string
  server: string
  owner: string
  incarnation: string
  /** When the stream was first listed, or when its owner last confirmed that it needs the stream. */
  sinceMs: number
  /** When the stream was listed last. */
  listedMs: number
  /** Listings in a row in which it was in doubt whether the owner is alive. */
  doubtfulListings: number
  /** When the owner was first queried about the current doubt; null if it was not queried or has answered since. */
  askedMs: number | null
  /** When the owner was last queried; -Infinity if never. */
  lastAskedMs: number
}
