import { childrenOf, decodePart, type PartHash, type Parts, type Sections } from './part.js'

/** A tree of which some parts may not have been received yet. */
export interface PartialTree {
  sections: Sections
  /** Parts whose whole subtree is known to be present. */
  complete: ReadonlyMap<PartHash, unknown>
  /** Further parts, whose subtrees may have gaps. */
  partial: Parts
}

/** Hashes of the parts that are needed next; empty when the tree is complete. */
export function missingParts ({ sections, complete, partial }: PartialTree): PartHash[] {
  const missing = new Set<PartHash>()
  const pending = Object.values(sections)
  for (let hash = pending.pop(); hash !== undefined; hash = pending.pop()) {
    if (complete.has(hash)) continue
    const bytes = partial.get(hash)
    if (bytes === undefined) missing.add(hash)
    else pending.push(...childrenOf(decodePart(bytes)))
  }
  return [...missing]
}

/** All parts of a complete tree; throws if one is missing. */
export function reachableParts (sections: Sections, parts: Parts): Map<PartHash, Uint8Array> {
  const reachable = new Map<PartHash, Uint8Array>()
  const pending = Object.values(sections)
  for (let hash = pending.pop(); hash !== undefined; hash = pending.pop()) {
    if (reachable.has(hash)) continue
    const bytes = partOf(hash, parts)
    reachable.set(hash, bytes)
    pending.push(...childrenOf(decodePart(bytes)))
  }
  return reachable
}

/** Joins the content from its parts. The order of a list is that of its entries in the tree, not the original one; throws if a part is missing. */
export function joinContent (sections: Sections, parts: Parts): Record<string, unknown> {
  const content: Record<string, unknown> = {}
  for (const [name, hash] of Object.entries(sections)) {
    const part = decodePart(partOf(hash, parts))
    content[name] = 'value' in part ? part.value : listOf(hash, parts)
  }
  return content
}

function listOf (root: PartHash, parts: Parts): unknown[] {
  const list: unknown[] = []
  const pending = [root]
  for (let hash = pending.pop(); hash !== undefined; hash = pending.pop()) {
    const part = decodePart(partOf(hash, parts))
    if ('entries' in part) for (const entry of part.entries) list.push(entry)
    else pending.push(...childrenOf(part))
  }
  return list
}

/** The parts of `partial` that the tree uses. Parts of a superseded tree are left out, since descendants of them may be missing. */
export function usedParts ({ sections, complete, partial }: PartialTree): Map<PartHash, Uint8Array> {
  const used = new Map<PartHash, Uint8Array>()
  const pending = Object.values(sections)
  for (let hash = pending.pop(); hash !== undefined; hash = pending.pop()) {
    const bytes = partial.get(hash)
    if (bytes === undefined || complete.has(hash) || used.has(hash)) continue
    used.set(hash, bytes)
    pending.push(...childrenOf(decodePart(bytes)))
  }
  return used
}

function partOf (hash: PartHash, parts: Parts): Uint8Array {
  const bytes = parts.get(hash)
  if (bytes === undefined) throw new Error(`part ${hash} is missing`)
  return bytes
}
