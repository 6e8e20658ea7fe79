import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/** The candidates in rendezvous order for the key, highest weight first; the first one is the result of `rendezvous`. */
export function rendezvousOrder (key: string, candidates: Iterable<string>): string[] {
  const weighted = Array.from(candidates, (id) => ({ id, weight: h32(`${id}\n${key}`) }))
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
  return weighted.map(({ id }) => id)
}
