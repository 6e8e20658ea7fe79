import { type Configuration, type Organisation, type Quota, QuotaUnit, type Route, RouteKind } from './configuration.js'

export enum FindingSeverity {
  /** Callers would be refused or an entry has no effect that its writer intends. */
  Error = 'error',
  /** Allowed, but probably not intended. */
  Warning = 'warning'
}

/** One fault of a configuration: where it is, what is wrong and how to correct it. */
export interface Finding {
  severity: FindingSeverity
  /** Path of the entry, for example `routes.orders.timeoutMs`. */
  field: string
  found: string
  remedy: string
}

type Check = (configuration: Configuration) => Finding[]

const checks: Record<string, Check> = {
  names: ({ routes, services, organisations }) => [
    ...duplicates('routes', routes.map(({ name }) => name)),
    ...duplicates('services', services.map(({ name }) => name)),
    ...duplicates('organisations', organisations.map(({ name }) => name))
  ],
  prefixes: ({ routes }) => routes.flatMap((route) => prefixFindings(route)),
  overriddenRoutes: ({ routes }) => routes.flatMap((route, index) => {
    const later = routes.slice(index + 1).find(({ host, pathPrefix }) => host.toLowerCase() === route.host.toLowerCase() && pathPrefix === route.pathPrefix)
    return later === undefined ? [] : [error(`routes.${route.name}`, `the route ${later.name} has the same host and path prefix and takes all of its requests`, 'Remove one of the two routes.')]
  }),
  services: ({ routes, services }) => {
    const known = new Set(services.map(({ name }) => name))
    return routes.flatMap(({ name, services: weighted }) => [
      ...weighted.filter(({ service }) => !known.has(service)).map(({ service }) => error(`routes.${name}.services`, `there is no service ${service}`, 'Name a service of the configuration, or add it.')),
      ...(weighted.some(({ weight }) => weight > 0) ? [] : [error(`routes.${name}.services`, 'no service has a weight above 0', 'Give one of the services a weight.')])
    ])
  },
  unusedServices: ({ routes, services }) => {
    const used = new Set(routes.flatMap((route) => route.services.filter(({ weight }) => weight > 0).map(({ service }) => service)))
    return services.filter(({ name }) => !used.has(name)).map(({ name }) => warning(`services.${name}`, 'no route leads to it', 'Remove it, or add a route.'))
  },
  times: ({ routes }) => routes.flatMap(({ name, timeoutMs, targetLatencyMs }) => [
    ...(timeoutMs > 0 ? [] : [error(`routes.${name}.timeoutMs`, `${timeoutMs} ms`, 'Set the longest time that callers may be kept waiting.')]),
    ...(timeoutMs >= targetLatencyMs ? [] : [error(`routes.${name}.timeoutMs`, `${timeoutMs} ms are less than the objective of ${targetLatencyMs} ms`, 'Raise the timeout or lower the objective.')])
  ]),
  attempts: ({ routes }) => routes.filter(({ attempts }) => attempts < 1).map(({ name, attempts }) => error(`routes.${name}.attempts`, `${attempts} servers may receive a request`, 'Allow at least one.')),
  resumption: ({ routes }) => routes.filter(({ resumable, kind, attempts }) => resumable && (kind !== RouteKind.Streaming || attempts < 2)).map(({ name, kind }) =>
    warning(`routes.${name}.resumable`, kind === RouteKind.Streaming ? 'only one server may receive a request, so no stream can be resumed elsewhere' : 'only streams can be resumed', 'Allow two attempts on a streaming route, or leave it out.')),
  engines: ({ services }) => services.flatMap(({ name, engine }) => engine === null || (engine.slots >= 1 && engine.memoryTokens >= 1) ? [] : [error(`services.${name}.engine`, `${engine.slots} slots and memory for ${engine.memoryTokens} tokens`, 'Set both to at least 1.')]),
  callerLimits: ({ limits }) => Object.entries(limits).filter(([, value]) => !(value > 0)).map(([name, value]) => error(`limits.${name}`, `${value} rejects every request`, 'Set a value above 0.')),
  heldKeys: ({ organisations }) => organisations.flatMap((organisation, index) => {
    const keys = new Set(organisation.keyHashes)
    return organisations.slice(index + 1).filter(({ keyHashes }) => keyHashes.some((hash) => keys.has(hash))).map(({ name }) =>
      error(`organisations.${organisation.name}`, `it shares a key with ${name}`, 'Give each key to one organisation.'))
  }),
  missingKeys: ({ organisations }) => organisations.filter(({ keyHashes }) => keyHashes.length === 0).map(({ name }) => warning(`organisations.${name}`, 'it has no key, so its callers are refused', 'Add a key, or remove the organisation.')),
  quotas: ({ organisations }) => organisations.flatMap((organisation) => quotaFindings(organisation)),
  anonymity: ({ routes, organisations, requiresKeys }) => {
    if (!requiresKeys) return []
    const needsKeys = routes.some(({ anonymous }) => !anonymous)
    if (needsKeys && organisations.length === 0) return [error('organisations', 'there is none, so all routes that are not anonymous refuse every request', 'Add the organisations, or leave the list out.')]
    return needsKeys || organisations.length === 0 ? [] : [warning('organisations', 'all routes are anonymous, so no key is ever asked', 'Check which routes should need a key.')]
  }
}

/** Faults that the format alone does not show: entries that can never match and limits that contradict each other. */
export function checkConfiguration (configuration: Configuration): Finding[] {
  return Object.values(checks).flatMap((check) => check(configuration))
}

function prefixFindings ({ name, host, pathPrefix }: Route): Finding[] {
  return [
    ...(pathPrefix.startsWith('/') && pathPrefix.endsWith('/') ? [] : [error(`routes.${name}.pathPrefix`, `${pathPrefix} matches no path`, 'Begin and end it with a slash.')]),
    ...(/[?#]/.test(pathPrefix) ? [error(`routes.${name}.pathPrefix`, `${pathPrefix} contains a query, and only paths are compared`, 'Name the path alone.')] : []),
    ...(host === '' || host.includes(':') ? [error(`routes.${name}.host`, `${host === '' ? 'an empty host' : host} matches no request`, 'Name the host without its port.')] : [])
  ]
}

function quotaFindings ({ name, quota }: Organisation): Finding[] {
  if (quota === null || quota.perS + quota.burst >= smallestCost(quota)) return []
  return [error(`organisations.${name}.quota`, `${quota.perS} a second and a burst of ${quota.burst} are less than one request`, 'Raise the rate or the burst.')]
}

function smallestCost ({ unit, plainTokens }: Quota): number {
  return unit === QuotaUnit.Tokens ? plainTokens : 1
}

function duplicates (list: string, names: string[]): Finding[] {
  const repeated = new Set(names.filter((name, index) => names.indexOf(name) !== index))
  return [...repeated].map((name) => error(`${list}.${name}`, 'the name is there more than once', 'Rename or remove one of the entries.'))
}

function error (field: string, found: string, remedy: string): Finding {
  return { severity: FindingSeverity.Error, field, found, remedy }
}

function warning (field: string, found: string, remedy: string): Finding {
  return { severity: FindingSeverity.Warning, field, found, remedy }
}
