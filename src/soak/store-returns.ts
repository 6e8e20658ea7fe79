import { configurationKey, serverPrefix } from '../standin/platform-entries.js'
import type { StoreCopy } from '../standin/platform-store-standin.js'
import type { SoakFleet } from './soak-fleet.js'

/** Mean time between two returns of the store from an older copy, in milliseconds. */
const RETURN_PERIOD_MS = 5000

/** Largest age of the copy, in milliseconds. */
const MAX_COPY_AGE_MS = 4000

/** Largest time until an entry that the copy lacks is written again by its operator or server, in milliseconds. */
const MAX_REWRITE_MS = 1500

interface StoreReturnsOptions {
  fleet: Pick<SoakFleet, 'instances' | 'store'>
}

/** Lets the store come back from older copies while faults go on. What its operator and servers wrote is written again. */
export class StoreReturns {
  readonly #fleet: StoreReturnsOptions['fleet']

  constructor (options: StoreReturnsOptions) {
    this.#fleet = options.fleet
  }

  async run (durationMs: number, random: () => number): Promise<void> {
    const rewrites: Array<Promise<void>> = []
    for (let passedMs = 0; passedMs < durationMs;) {
      const untilCopyMs = RETURN_PERIOD_MS * random()
      const ageMs = MAX_COPY_AGE_MS * random()
      passedMs += untilCopyMs + ageMs
      await delay(untilCopyMs)
      const copy = this.#fleet.store.copy()
      await delay(ageMs)
      rewrites.push(...this.#restore(copy, random))
    }
    await Promise.all(rewrites)
  }

  #restore (copy: StoreCopy, random: () => number): Array<Promise<void>> {
    const { store, instances } = this.#fleet
    const lost = store.copy()
    store.restore(copy)
    for (const instance of instances) instance.touchedMs = performance.now() + MAX_REWRITE_MS
    const keys = new Set([...lost.items, ...copy.items].map(({ Key: key }) => key).filter((key) => key === configurationKey || key.startsWith(serverPrefix)))
    return [...keys].map(async (key) => {
      await delay(MAX_REWRITE_MS * random())
      const current = store.copy().items.find((item) => item.Key === key)
      const value = lost.items.find((item) => item.Key === key)?.Value
      // A change that was written since the return is newer than what was lost.
      if (store.changedSince(key, copy.revision) || current?.Value === value) return
      if (value === undefined) store.remove(key)
      else store.putBytes(key, Buffer.from(value, 'base64'))
    })
  }
}

function delay (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
