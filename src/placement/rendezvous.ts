import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/**
 * Rendezvous hashing: the candidate with the highest weight for the key, or null without candidates. All instances
 * that see the same candidates get the same result.
 */
export function rendezvous (key: string, candidates: Iterable<string>): string | null {
  let best: string | null = null
  let bestWeight = -1
  for (const candidate of candidates) {
    const weight = h32(`${candidate}\n${key}`)
    if (weight > bestWeight || (weight === bestWeight && best !== null && candidate < best)) {
      best = candidate
      bestWeight = weight
    }
  }
  return best
}

/** All candidates in the order of their weights for the key, the highest first. */
export function rendezvousOrder (key: string, candidates: string[]): string[] {
  return candidates
    .map((candidate) => ({ candidate, weight: h32(`${candidate}\n${key}`) }))
    .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate)
}
