import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/** Candidates in rendezvous order for the subject, the highest weight first; the first one is `rendezvous` of them. */
export function rendezvousOrder (subject: string, candidates: Iterable<string>): string[] {
  const weighed = Array.from(candidates, (id) => ({ id, weight: h32(`${id}\n${subject}`) }))
  weighed.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
  return weighed.map(({ id }) => id)
}
