import type { Bundle } from '../bundles/bundle.js'
import { entryName } from '../bundles/part.js'

export enum ChangeKind {
  Added = 'added',
  Changed = 'changed',
  Removed = 'removed'
}

/** One entry that differs between two bundles. */
export interface BundleChange {
  kind: ChangeKind
  /** For instance `organisations.shop-7`. */
  field: string
  before: unknown
  after: unknown
}

/** Entries that were added, changed or removed from one bundle to another. */
export function diffBundles (before: Bundle, after: Bundle): BundleChange[] {
  const sections = new Set([...Object.keys(before), ...Object.keys(after)])
  return [...sections].flatMap((section) => {
    const [old, next] = [entriesOf(section, before), entriesOf(section, after)]
    return [...new Set([...old.keys(), ...next.keys()])].sort().flatMap((field) => change(field, old.get(field), next.get(field)))
  })
}

function entriesOf (section: string, bundle: Bundle): Map<string, unknown> {
  const value = (bundle as Record<string, unknown>)[section]
  if (value === undefined) return new Map()
  if (!Array.isArray(value)) return new Map([[section, value]])
  return new Map(value.map((entry) => [`${section}.${entryName(entry)}`, entry]))
}

function change (field: string, before: unknown, after: unknown): BundleChange[] {
  if (JSON.stringify(before) === JSON.stringify(after)) return []
  const kind = before === undefined ? ChangeKind.Added : after === undefined ? ChangeKind.Removed : ChangeKind.Changed
  return [{ kind, field, before: before ?? null, after: after ?? null }]
}
