import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

const RANDOM_RANGE = 2 ** 30

/** Numbers from 0 up to 1 that depend on the seed only. */
export function seededRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => unsafeUniformIntDistribution(0, RANDOM_RANGE - 1, generator) / RANDOM_RANGE
}
