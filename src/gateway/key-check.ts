import type { CallerRequest } from './caller-request.js'
import type { Organisation, Route } from './configuration.js'
import { RETRY_ELSEWHERE_MS } from './forwarding.js'
import type { PendingRequest } from './pending-request.js'
import { GatewayRefusal } from './refusal.js'
import type { RouteTable } from './route-table.js'

interface KeyCheckOptions {
  /** The active configuration; null if there is none. */
  routes: () => RouteTable | null
  /** Whether a newer configuration than the active one is known to exist. */
  mayLackNewKeys: () => boolean
}

/** Finds the organisations of requests by the keys of the active configuration. */
export class KeyCheck {
  readonly #options: KeyCheckOptions

  constructor (options: KeyCheckOptions) {
    this.#options = options
  }

  /** The organisation whose key the request has; null if the request needs none, undefined if no organisation holds its key. */
  organisationOf ({ keyHash }: Pick<CallerRequest, 'keyHash'>, route: Route): Organisation | null | undefined {
    const routes = this.#options.routes()
    if (routes?.needsKey(route) !== true) return null
    return routes.organisation(keyHash)
  }

  /** The refusal of a request whose key no organisation holds, and its retry delay in milliseconds: while a newer configuration is known to exist, the key may be one that it has added. */
  refusalOf ({ keyHash }: Pick<CallerRequest, 'keyHash'>): [GatewayRefusal, number | null] {
    const mayBeNew = keyHash !== null && this.#options.mayLackNewKeys()
    return mayBeNew ? [GatewayRefusal.KeyNotYetKnown, RETRY_ELSEWHERE_MS] : [GatewayRefusal.UnknownKey, null]
  }

  /** Whether a request may be sent to a server; refuses it otherwise. A request whose key was removed or given to another organisation while it waited begins no run, but a run that has begun goes on. */
  admits (pending: PendingRequest): boolean {
    const { request, organisation, mayHaveRun, headSent } = pending
    if (mayHaveRun || headSent) return true
    const current = this.#currentOrganisationOf(pending)
    if (current === null || (current !== undefined && current.name === organisation?.name)) return true
    // With a key that holds, the caller is served when it returns.
    if (current === undefined) pending.refuse(...this.refusalOf(request))
    else pending.refuse(GatewayRefusal.KeyNotYetKnown, RETRY_ELSEWHERE_MS)
    return false
  }

  /** As organisationOf(), for a request that waits. If its route was removed meanwhile, it needs a key if it needed one before. */
  #currentOrganisationOf ({ request, route, organisation }: PendingRequest): Organisation | null | undefined {
    const currentRoute = this.#options.routes()?.select(request.host, request.path) ?? { ...route, anonymous: organisation === null }
    return this.organisationOf(request, currentRoute)
  }
}
