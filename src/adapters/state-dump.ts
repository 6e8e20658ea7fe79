/** Fields that a state dump omits: secrets, and fields that repeat the bundle's content. */
const OMITTED_FIELDS = new Set(['keyHashes', 'prompt', 'privateKey', 'secret', 'index', 'bundleSpread'])

/** Converts the state to plain JSON: maps become objects, sets become lists, byte arrays are replaced by their length and `OMITTED_FIELDS` are left out. */
export function dumpState (value: unknown): unknown {
  if (value instanceof Map) return Object.fromEntries([...value].map(([key, item]) => [String(key), dumpState(item)]))
  if (value instanceof Set) return [...value].map(dumpState)
  if (Array.isArray(value)) return value.map(dumpState)
  if (value instanceof Uint8Array) return `${value.length} bytes`
  if (typeof value !== 'object' || value === null) return value
  const fields = Object.entries(value).filter(([name]) => !OMITTED_FIELDS.has(name))
  return Object.fromEntries(fields.map(([name, item]) => [name, dumpState(item)]))
}
