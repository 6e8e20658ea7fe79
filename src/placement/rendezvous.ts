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

/** Rendezvous hashing of many keys over the same candidates: each candidate is hashed only once. */
export class RendezvousOrder {
  readonly #candidates: Array<{ candidate: string, hash: number }>

  constructor (candidates: string[]) {
    this.#candidates = candidates.map((candidate) => ({ candidate, hash: h32(candidate) }))
  }

  /** The candidates with the highest weights for the key, the highest first. */
  first (key: string, count: number): string[] {
    const keyHash = h32(key)
    const best: Array<{ candidate: string, weight: number }> = []
    for (const { candidate, hash } of this.#candidates) {
      const weight = mixHashes(keyHash, hash)
      const position = best.findIndex((other) => weight > other.weight || (weight === other.weight && candidate < other.candidate))
      if (position === -1 && best.length >= count) continue
      best.splice(position === -1 ? best.length : position, 0, { candidate, weight })
      if (best.length > count) best.pop()
    }
    return best.map(({ candidate }) => candidate)
  }
}

/** The finalizer of MurmurHash3, over two hashes. */
function mixHashes (first: number, second: number): number {
  let mixed = first ^ second
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
