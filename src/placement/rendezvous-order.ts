import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/** The candidates in rendezvous order for the subject, highest weight first; the first one is the result of `rendezvous`. */
export function rendezvousOrder (subject: string, candidates: Iterable<string>): string[] {
  const weighted = Array.from(candidates, (id) => ({ id, weight: h32(`${id}\n${subject}`) }))
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
  return weighted.map(({ id }) => id)
}
