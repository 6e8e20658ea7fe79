import type { CallerLimits, Configuration, Route, Service } from './configuration.js'

/** Index of one configuration by host and path. */
export class RouteTable {
  readonly version: number
  readonly limits: CallerLimits
  readonly #routes = new Map<string, Map<string, Route>>()
  readonly #services: Map<string, Service>

  constructor (configuration: Configuration) {
    this.version = configuration.version
    this.limits = configuration.limits
    this.#services = new Map(configuration.services.map((service) => [service.name, service]))
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase()
      const prefixes = this.#routes.get(host) ?? new Map<string, Route>()
      prefixes.set(route.pathPrefix, route)
      this.#routes.set(host, prefixes)
    }
  }

  /** The route with the longest prefix that begins the path. */
  select (host: string, path: string): Route | undefined {
    const prefixes = this.#routes.get(withoutPort(host).toLowerCase())
    if (prefixes === undefined) return undefined
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1))
      if (route !== undefined) return route
      if (end === 0) return undefined
    }
    return undefined
  }

  service (name: string): Service | undefined {
    return this.#services.get(name)
  }
}

/** Chooses one of the services of a route by weight; `random` is from 0 up to, not including, 1. */
export function chooseService (route: Route, random: number): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let rest = random * total
  for (const { service, weight } of route.services) {
    rest -= weight
    if (rest < 0) return service
  }
  return route.services.at(-1)?.service
}

function withoutPort (host: string): string {
  const colon = host.lastIndexOf(':')
  return colon === -1 ? host : host.slice(0, colon)
}
