import { createHash } from 'node:crypto'
import { decode, encode } from 'cbor-x'

/** Maximum size of a part in bytes, well below the limit of 1 MB that the key-value service has for a value. */
export const MAX_PART_BYTES = 256 * 1024

/** A leaf with more bytes of entries than this is split, so that changing one entry rewrites little more than this. */
const MAX_LEAF_BYTES = 4096

/** Number of hex digits in the hash of an entry's name; each level of the tree uses one digit. */
const MAX_DEPTH = 64

/** Children of an inner node: one per hex digit. */
const FAN_OUT = 16

/** A part of a bundle's content: an inner node with the hashes of its children, a leaf with entries, or one plain value. */
export type Part =
  | { nodes: Array<Uint8Array | null> }
  | { entries: unknown[] }
  | { value: unknown }

/** SHA-256 hash of an encoded part in hex; parts are stored and requested by it. */
export type PartHash = string

/** Encoded parts by their hash. */
export type Parts = ReadonlyMap<PartHash, Uint8Array>

/** Hash of the root part of each section of a bundle. */
export type Sections = Record<string, PartHash>

interface HashedEntry {
  /** SHA-256 hash of the entry's name in hex; it determines the place of the entry in the tree. */
  nameHash: string
  /** Encoded size. */
  bytes: number
  value: unknown
}

export function hashOf (bytes: Uint8Array): PartHash {
  return createHash('sha256').update(bytes).digest('hex')
}

/** Decoded parts by their encoded bytes, since consecutive versions of a bundle share all but a few parts. */
const decodedParts = new WeakMap<Uint8Array, Part>()

/** Decodes a part; the result is shared and must not be changed. */
export function decodePart (bytes: Uint8Array): Part {
  const cached = decodedParts.get(bytes)
  if (cached !== undefined) return cached
  const part = decode(bytes) as Part
  if (typeof part !== 'object' || part === null) throw new TypeError('a part is an object')
  if (!('nodes' in part || 'entries' in part || 'value' in part)) throw new TypeError('a part has nodes, entries or a value')
  decodedParts.set(bytes, part)
  return part
}

/** Hashes of the children of a part. */
export function childrenOf (part: Part): PartHash[] {
  if (!('nodes' in part)) return NO_CHILDREN
  const cached = childHashes.get(part)
  if (cached !== undefined) return cached
  const children = part.nodes.filter((node) => node !== null).map(toHex)
  childHashes.set(part, children)
  return children
}

const NO_CHILDREN: PartHash[] = []

const childHashes = new WeakMap<Part, PartHash[]>()

export function toHex (hash: Uint8Array): PartHash {
  return Buffer.from(hash.buffer, hash.byteOffset, hash.byteLength).toString('hex')
}

/** Splits content into parts: each list of named entries becomes a tree, any other value one part. */
export function splitContent (content: Record<string, unknown>): { sections: Sections, parts: Map<PartHash, Uint8Array> } {
  const parts = new Map<PartHash, Uint8Array>()
  const sections: Sections = {}
  for (const [name, value] of Object.entries(content)) {
    sections[name] = Array.isArray(value) ? writeTree(value.map(hashEntry), 0, parts) : writePart({ value }, parts)
  }
  return { sections, parts }
}

/** The name that identifies an entry within its list: its id, its name, or its JSON text if it has neither. */
export function entryName (entry: unknown): string {
  const { id, name } = entry as { id?: string, name?: string }
  return id ?? name ?? JSON.stringify(entry)
}

function hashEntry (value: unknown): HashedEntry {
  const nameHash = createHash('sha256').update(entryName(value)).digest('hex')
  return { nameHash, bytes: encode(value).length, value }
}

function writeTree (entries: HashedEntry[], depth: number, parts: Map<PartHash, Uint8Array>): PartHash {
  const bytes = entries.reduce((sum, entry) => sum + entry.bytes, 0)
  if (bytes <= MAX_LEAF_BYTES || entries.length === 1 || depth === MAX_DEPTH) {
    const sorted = [...entries].sort((a, b) => a.nameHash < b.nameHash ? -1 : 1)
    return writePart({ entries: sorted.map((entry) => entry.value) }, parts)
  }
  const children = Array.from({ length: FAN_OUT }, (): HashedEntry[] => [])
  for (const entry of entries) children[Number.parseInt(entry.nameHash[depth] ?? '0', FAN_OUT)]?.push(entry)
  const nodes = children.map((child) => child.length === 0 ? null : Buffer.from(writeTree(child, depth + 1, parts), 'hex'))
  return writePart({ nodes }, parts)
}

function writePart (part: Part, parts: Map<PartHash, Uint8Array>): PartHash {
  const bytes = encode(part)
  const hash = hashOf(bytes)
  parts.set(hash, bytes)
  return hash
}
