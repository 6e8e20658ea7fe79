import type { Board } from '../board/board.js'
import { MemberState } from '../board/member.js'
import { rendezvousOrder } from '../placement/rendezvous-order.js'

/** Instances per failure domain that read the key-value service: one more than needed while both are up. */
export const READERS_PER_DOMAIN = 2

/** Instances to which one instance announces a version within its failure domain. */
const FAN_OUT = 2

/** Failure domains to which a reader announces a version. */
const DOMAINS_ANNOUNCED = 2

/** Ids of this instance and of every member that is neither dead nor leaving, by failure domain. */
function instancesByDomain (board: Board): Map<string, string[]> {
  const domains = new Map<string, string[]>([[board.self.failureDomain, [board.self.id]]])
  for (const member of board.members.values()) {
    if (member.state !== MemberState.Alive && member.state !== MemberState.Suspect) continue
    const ids = domains.get(member.failureDomain) ?? []
    ids.push(member.id)
    domains.set(member.failureDomain, ids)
  }
  return domains
}

function readersOf (domain: string, ids: string[]): string[] {
  return rendezvousOrder(`bundle-reader/${domain}`, ids).slice(0, READERS_PER_DOMAIN)
}

/** Whether this instance reads the key-value service for its failure domain, by its own view. */
export function isReader (board: Board): boolean {
  const { failureDomain, id } = board.self
  const ids = instancesByDomain(board).get(failureDomain) ?? []
  return readersOf(failureDomain, ids).includes(id)
}

/** The failure domain's instances as an array in which those at `childIndexes(i)` are below the one at `i`. */
function tree (board: Board, version: number): string[] {
  const { failureDomain } = board.self
  const ids = instancesByDomain(board).get(failureDomain) ?? []
  const readers = readersOf(failureDomain, ids)
  // The order of the others depends on the version, so that the load of passing on is spread evenly.
  return [...readers, ...rendezvousOrder(`bundle/${version}`, ids.filter((id) => !readers.includes(id)))]
}

/** Instances below the given one in the tree along which a version spreads. */
export function childrenOfInstance (board: Board, version: number, id: string): string[] {
  const order = tree(board, version)
  const index = order.indexOf(id)
  if (index < 0) return []
  const first = READERS_PER_DOMAIN + index * FAN_OUT
  return order.slice(first, first + FAN_OUT)
}

/** The other readers of this failure domain, and a reader of each of the next ones: a reader may be cut off from the key-value service. */
export function otherReaders (board: Board, version: number): string[] {
  const domains = instancesByDomain(board)
  const { failureDomain, id } = board.self
  const fellows = readersOf(failureDomain, domains.get(failureDomain) ?? []).filter((reader) => reader !== id)
  const names = [...domains.keys()].sort()
  const own = names.indexOf(failureDomain)
  const next = Array.from({ length: Math.min(DOMAINS_ANNOUNCED, names.length - 1) }, (_, step) => names[(own + step + 1) % names.length] ?? '')
  const neighbours = next.flatMap((domain) => {
    const readers = readersOf(domain, domains.get(domain) ?? [])
    return readers[version % readers.length] ?? []
  })
  return [...fellows, ...neighbours]
}

/** Share of asks that go to the own failure domain, where a message is cheapest. */
export const NEAR_SHARE = 0.6

/** Random peers; the share of the own failure domain is approximate. */
export function randomPeers (board: Board, options: { count: number, nearShare: number, random: () => number }): string[] {
  const { count, nearShare, random } = options
  const domains = instancesByDomain(board)
  const near = (domains.get(board.self.failureDomain) ?? []).filter((id) => id !== board.self.id)
  const far = [...domains].filter(([domain]) => domain !== board.self.failureDomain).flatMap(([, ids]) => ids)
  const chosen = new Set<string>()
  for (let turn = 0; turn < count; turn += 1) {
    const preferred = random() < nearShare ? near : far
    const pool = preferred.length > 0 ? preferred : near.length > 0 ? near : far
    const id = pool[Math.floor(random() * pool.length)]
    if (id !== undefined) chosen.add(id)
  }
  return [...chosen]
}
