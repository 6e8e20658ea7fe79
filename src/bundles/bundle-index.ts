import type { Bundle, Model, Organisation, RequestClass, Route } from './bundle.js'

const indexes = new WeakMap<Bundle, BundleIndex>()

/** The index of a bundle; created at the first call and cached for as long as the bundle exists. */
export function bundleIndexOf (bundle: Bundle): BundleIndex {
  const cached = indexes.get(bundle)
  if (cached !== undefined) return cached
  const index = new BundleIndex(bundle)
  indexes.set(bundle, index)
  return index
}

/** Look-up tables over the content of a bundle. */
export class BundleIndex {
  readonly models: Map<string, Model>
  readonly organisations: Map<string, Organisation>
  readonly classes: Map<string, RequestClass>
  readonly routes: Map<string, Route>
  readonly #organisationsByKeyHash = new Map<string, Organisation>()
  readonly #routesByMethodAndPath: Map<string, Route>

  constructor (bundle: Bundle) {
    this.models = new Map(bundle.models.map((model) => [model.name, model]))
    this.organisations = new Map(bundle.organisations.map((organisation) => [organisation.id, organisation]))
    this.classes = new Map(bundle.classes.map((item) => [item.name, item]))
    this.routes = new Map(bundle.routes.map((route) => [route.name, route]))
    this.#routesByMethodAndPath = new Map(bundle.routes.map((route) => [`${route.method} ${route.path}`, route]))
    for (const organisation of bundle.organisations) {
      for (const hash of organisation.keyHashes) this.#organisationsByKeyHash.set(hash, organisation)
    }
  }

  /** Number of distinct key hashes. */
  get keyHashCount (): number {
    return this.#organisationsByKeyHash.size
  }

  organisationByKeyHash (hash: string): Organisation | undefined {
    return this.#organisationsByKeyHash.get(hash)
  }

  /** The route for a method and a path; the path must not contain a query string. */
  routeOf (method: string, path: string): Route | undefined {
    return this.#routesByMethodAndPath.get(`${method} ${path}`)
  }
}
