import type { Configuration, Organisation } from './configuration.js'

/** One difference between the configuration in force and the next one. */
export interface ConfigurationDifference {
  /** Path of the entry, for example `routes.orders.timeoutMs`. */
  field: string
  /** Null for an entry that is added. */
  before: unknown
  /** Null for an entry that is removed. */
  after: unknown
  /** How callers are cut off by the change; null if they are not. */
  warning: string | null
}

type Entry = object & { name: string }

/** What a change of a field means for callers, by the last part of its path. Lower values of the other limits only make answers later or rarer. */
const warnings: Record<string, (before: unknown, after: unknown) => string | null> = {
  timeoutMs: (before, after) => isLower(before, after) ? 'requests that take longer are given up' : null,
  kind: () => 'requests may be repeated under other rules',
  anonymous: (_before, after) => after === false ? 'callers without a key get 401' : null,
  requiresKeys: (_before, after) => after === true ? 'callers without a key get 401' : null,
  headerBytes: (before, after) => isLower(before, after) ? 'requests with larger heads get 431' : null,
  bodyBytes: (before, after) => isLower(before, after) ? 'requests with larger bodies get 413' : null,
  quota: () => 'requests beyond the quota get 429',
  keysRemoved: () => 'callers with these keys get 401'
}

const removalWarnings: Record<string, string> = {
  routes: 'its requests get 404, or go to a route with a shorter prefix',
  organisations: 'its callers get 401'
}

/** What differs in the next configuration. Of keys only their number is told. */
export function compareConfigurations (before: Configuration, after: Configuration): ConfigurationDifference[] {
  return [
    ...compareFields('', { version: before.version, requiresKeys: before.requiresKeys }, { version: after.version, requiresKeys: after.requiresKeys }),
    ...(after.version > before.version ? [] : [{ field: 'version', before: before.version, after: after.version, warning: 'instances ignore a version that is not higher than theirs' }]),
    ...compareLists('routes', before.routes, after.routes),
    ...compareLists('services', before.services, after.services),
    ...compareFields('limits.', before.limits, after.limits),
    ...compareLists('organisations', before.organisations.map(withoutKeys), after.organisations.map(withoutKeys)),
    ...after.organisations.flatMap((organisation) => compareKeys(before.organisations.find(({ name }) => name === organisation.name), organisation))
  ]
}

function compareLists (list: string, before: Entry[], after: Entry[]): ConfigurationDifference[] {
  const names = [...new Set([...before, ...after].map(({ name }) => name))]
  return names.flatMap((name) => {
    const [old, next] = [before.find((entry) => entry.name === name), after.find((entry) => entry.name === name)]
    const field = `${list}.${name}`
    if (old === undefined) return [{ field, before: null, after: next ?? null, warning: null }]
    if (next === undefined) return [{ field, before: old, after: null, warning: removalWarnings[list] ?? null }]
    return compareFields(`${field}.`, old, next)
  })
}

function compareFields (path: string, before: object, after: object): ConfigurationDifference[] {
  const [old, next] = [before, after].map((fields) => new Map<string, unknown>(Object.entries(fields))) as [Map<string, unknown>, Map<string, unknown>]
  return [...new Set([...old.keys(), ...next.keys()])]
    .filter((name) => JSON.stringify(old.get(name)) !== JSON.stringify(next.get(name)))
    .map((name) => ({ field: `${path}${name}`, before: old.get(name) ?? null, after: next.get(name) ?? null, warning: warnings[name]?.(old.get(name), next.get(name)) ?? null }))
}

function compareKeys (before: Organisation | undefined, after: Organisation): ConfigurationDifference[] {
  if (before === undefined) return []
  const added = after.keyHashes.filter((hash) => !before.keyHashes.includes(hash)).length
  const removed = before.keyHashes.filter((hash) => !after.keyHashes.includes(hash)).length
  const counts = { keysAdded: added, keysRemoved: removed }
  return compareFields(`organisations.${after.name}.`, { keysAdded: 0, keysRemoved: 0 }, counts)
}

function withoutKeys ({ keyHashes: _keyHashes, ...organisation }: Organisation): Omit<Organisation, 'keyHashes'> {
  return organisation
}

function isLower (before: unknown, after: unknown): boolean {
  return typeof before === 'number' && typeof after === 'number' && after < before
}
