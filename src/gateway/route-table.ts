import type { CallerRequest } from './caller-request.js'
import type { CallerLimits, Configuration, Organisation, Route, Service } from './configuration.js'

/** Longest time to receive a request that no route selects, in milliseconds. */
const MAX_UNROUTED_WAIT_MS = 60_000

/** Routes and services of one configuration; the routes are indexed by host and path prefix. */
export class RouteTable {
  readonly version: number
  readonly limits: CallerLimits
  readonly #routes = new Map<string, Map<string, Route>>()
  readonly #services: Map<string, Service>
  readonly #organisations = new Map<string, Organisation>()
  readonly #requiresKeys: boolean

  constructor (configuration: Configuration) {
    this.version = configuration.version
    this.limits = configuration.limits
    this.#services = new Map(configuration.services.map((service) => [service.name, service]))
    this.#requiresKeys = configuration.requiresKeys
    for (const organisation of configuration.organisations) {
      for (const keyHash of organisation.keyHashes) this.#organisations.set(keyHash, organisation)
    }
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase()
      const routesByPrefix = this.#routes.get(host) ?? new Map<string, Route>()
      routesByPrefix.set(route.pathPrefix, route)
      this.#routes.set(host, routesByPrefix)
    }
  }

  /** Returns the route of the host with the longest prefix of the path; undefined if none matches. */
  select (host: string, path: string): Route | undefined {
    const routesByPrefix = this.#routes.get(withoutPort(host).toLowerCase())
    if (routesByPrefix === undefined) return undefined
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = routesByPrefix.get(path.slice(0, end + 1))
      if (route !== undefined) return route
      // lastIndexOf treats a negative position as 0, so the next search would find the first slash again.
      if (end === 0) return undefined
    }
    return undefined
  }

  service (name: string): Service | undefined {
    return this.#services.get(name)
  }

  /** Whether requests on the route need a key. */
  needsKey ({ anonymous }: Route): boolean {
    return this.#requiresKeys && !anonymous
  }

  /** The organisation that holds the key with this hash; undefined if none does. */
  organisation (keyHash: string | null): Organisation | undefined {
    return keyHash === null ? undefined : this.#organisations.get(keyHash)
  }
}

/** Chooses a service of the route at random, in proportion to the weights. `random` is at least 0 and less than 1. */
export function chooseService (route: Route, random: number): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = random * total
  for (const { service, weight } of route.services) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return route.services.at(-1)?.service
}

/** Time from the arrival of a request until its deadline or its route's timeout, whichever is earlier, in milliseconds; `route` is undefined if none selects the request. */
export function longestWaitMs (request: Pick<CallerRequest, 'deadlineMs'>, route: Route | undefined): number {
  return Math.min(request.deadlineMs ?? Infinity, route?.timeoutMs ?? MAX_UNROUTED_WAIT_MS)
}

function withoutPort (host: string): string {
  const colon = host.lastIndexOf(':')
  return colon === -1 ? host : host.slice(0, colon)
}
