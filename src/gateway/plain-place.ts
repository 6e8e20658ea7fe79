import type { BackendServer } from './backend.js'
import type { ExchangeOutcome } from './exchange-outcome.js'

/** A request for a place at a server of a plain service. */
export interface PlaceRequest {
  id: string
  service: string
  /** Index of the group of servers whose coordinator is asked. */
  group: number
  /** Failure domain of the instance that asks. */
  failureDomain: string
  /** Time left until the latency objective, in milliseconds; it may have passed. */
  objectiveLeftMs: number
  /** Time for which the caller waits, in milliseconds. */
  patienceMs: number
  /** Bytes of the request. */
  bytes: number
  /** Ids of servers that have failed the request or take none from the instance. */
  excluded: string[]
}

/** How a place was used. */
export interface PlaceUse {
  outcome: ExchangeOutcome
  /** Time from the sending of the request to its outcome, in milliseconds. */
  durationMs: number
}

/** Answer to a request for a place. */
export type PlaceDecision = { server: string } | { refused: true, retryAfterMs: number }

/** Number of places of one group of servers: one coordinator can decide on some thousand requests a second. */
const MAX_GROUP_PLACES = 60

/** Number of groups into which the servers of a service are divided, each with a coordinator of its own. */
export function groupCount (servers: BackendServer[]): number {
  return Math.max(1, Math.ceil(placesOf(servers) / MAX_GROUP_PLACES))
}

/** The servers of one group. Instances that know the same servers form the same groups. */
export function serversOfGroup (servers: BackendServer[], group: number): BackendServer[] {
  const groups = groupCount(servers)
  if (groups === 1) return servers
  return servers.toSorted((a, b) => a.id < b.id ? -1 : 1).filter((_server, index) => index % groups === group % groups)
}

/** Key by which the coordinator of a group is chosen. */
export function groupKey (service: string, group: number): string {
  return group === 0 ? service : `${service}#${group}`
}

export function placesOf (servers: BackendServer[]): number {
  return servers.reduce((sum, { slots }) => sum + slots, 0)
}
