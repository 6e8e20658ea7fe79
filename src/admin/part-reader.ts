import type { KeyValueError } from '../errors/key-value-error.js'
import { Err, Ok, type Result } from '../errors/result.js'
import { partKey } from '../bundles/bundle-records.js'
import { childrenOf, decodePart, hashOf, type PartHash, type Parts, type Sections } from '../bundles/part.js'
import { missingParts } from '../bundles/part-tree.js'
import type { KeyValueTransactions } from '../ports/key-value-transactions.js'

/** Parts kept in memory between operations; about 20 MB at 2 KB a part. */
const MAX_KEPT_PARTS = 10000

/** A part that a signed tree refers to does not exist. */
export interface MissingPart {
  missing: PartHash
}

export type ReadFault = KeyValueError | MissingPart

/** Reads parts from the key-value service and checks each by its hash. Keeps parts it has read: their content can't change. */
export class PartReader {
  readonly #keyValue: KeyValueTransactions
  #kept = new Map<PartHash, Uint8Array>()

  constructor (keyValue: KeyValueTransactions) {
    this.#keyValue = keyValue
  }

  /** Reads the given parts. */
  async read (hashes: PartHash[]): Promise<Result<Parts, ReadFault>> {
    if (this.#kept.size > MAX_KEPT_PARTS) this.#kept = new Map()
    const unread = hashes.filter((hash) => !this.#kept.has(hash))
    const found = await this.#keyValue.getEach(unread.map(partKey))
    if (found.err) return found
    for (const [index, record] of found.val.entries()) {
      const hash = unread[index] ?? ''
      if (record === null || hashOf(record.value) !== hash) return Err({ missing: hash })
      this.#kept.set(hash, record.value)
    }
    return Ok(new Map(hashes.map((hash) => [hash, this.#kept.get(hash) ?? new Uint8Array()])))
  }

  /** Reads all parts of a tree. */
  async readTree (sections: Sections): Promise<Result<Parts, ReadFault>> {
    return await this.readMissing(sections, new Map())
  }

  /** Reads the parts of a tree that are not below a known complete part, level by level. */
  async readMissing (sections: Sections, complete: ReadonlyMap<PartHash, unknown>): Promise<Result<Parts, ReadFault>> {
    const parts = new Map<PartHash, Uint8Array>()
    for (;;) {
      const missing = missingParts({ sections, complete, partial: parts })
      if (missing.length === 0) return Ok(parts)
      const level = await this.read(missing)
      if (level.err) return level
      for (const [hash, bytes] of level.val) parts.set(hash, bytes)
    }
  }

  /** Addresses in the new tree that the old one does not have at the same place. Reads only the old parts that differ. */
  async difference (sections: Sections, parts: Parts, old: Sections): Promise<Result<PartHash[], ReadFault>> {
    const fresh = new Set<PartHash>()
    let level = Object.entries(sections).map(([name, hash]) => ({ hash, old: old[name] ?? null }))
    while (level.length > 0) {
      const changed = level.filter((pair) => pair.hash !== pair.old)
      const oldParts = await this.read([...new Set(changed.flatMap((pair) => pair.old ?? []))])
      if (oldParts.err) return oldParts
      level = changed.flatMap((pair) => {
        fresh.add(pair.hash)
        return pairChildren(parts.get(pair.hash), pair.old === null ? undefined : oldParts.val.get(pair.old))
      })
    }
    return Ok([...fresh])
  }
}

function pairChildren (bytes: Uint8Array | undefined, oldBytes: Uint8Array | undefined): Array<{ hash: PartHash, old: PartHash | null }> {
  if (bytes === undefined) return []
  const part = decodePart(bytes)
  if (!('nodes' in part)) return []
  const old = oldBytes === undefined ? null : decodePart(oldBytes)
  return part.nodes.flatMap((node, index) => {
    if (node === null) return []
    const [hash] = childrenOf({ nodes: [node] })
    const oldNode = old !== null && 'nodes' in old ? old.nodes[index] ?? null : null
    const [oldHash] = oldNode === null ? [null] : childrenOf({ nodes: [oldNode] })
    return hash === undefined ? [] : [{ hash, old: oldHash ?? null }]
  })
}
