import type { Log } from '../logs/log.js'

/** Time for which a newer configuration may be known without being in force before that is logged, in milliseconds. */
const LOGGED_LAG_MS = 1000

interface ConfigurationVersions {
  /** Version in force; -1 if there is none. */
  own: number
  /** Newest version that is known to exist. */
  newest: number
}

/** Tracks for how long this instance has known that a newer configuration than its own exists, and logs a long lag once. */
export class ConfigurationLag {
  readonly #nowMs: () => number
  readonly #log: Log
  #behindSinceMs: number | null = null
  #logged = false

  constructor (options: { nowMs: () => number, log: Log }) {
    this.#nowMs = options.nowMs
    this.#log = options.log
  }

  /** Compares the versions; call it whenever one of them may have changed. */
  update ({ own, newest }: ConfigurationVersions, store: { reachesStore: boolean, storeRevision: number }): void {
    if (newest <= own) {
      this.#behindSinceMs = null
      this.#logged = false
      return
    }
    this.#behindSinceMs ??= this.#nowMs()
    if (this.#logged || this.behindMs() < LOGGED_LAG_MS) return
    this.#logged = true
    this.#log.warn('configuration.behind', { version: own, newest, behindMs: Math.round(this.behindMs()), ...store })
  }

  /** Time since a newer version became known, in milliseconds; 0 while the newest known version is in force. */
  behindMs (): number {
    return this.#behindSinceMs === null ? 0 : this.#nowMs() - this.#behindSinceMs
  }
}
