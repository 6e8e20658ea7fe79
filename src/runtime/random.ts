import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

/** Number of different values that are drawn; fine enough for random choices and delays. */
const RANGE = 2 ** 30

/** Returns a generator of numbers in [0, 1); the same seed gives the same numbers. */
export function seededRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => unsafeUniformIntDistribution(0, RANGE - 1, generator) / RANGE
}
