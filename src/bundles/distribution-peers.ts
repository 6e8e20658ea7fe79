import type { Board } from '../board/board.js'
import { MemberState } from '../board/member.js'
import { rendezvousOrder } from '../placement/rendezvous-order.js'

/** Number of instances per failure domain that read the key-value service; one is enough, the other is a spare in case it fails. */
export const READERS_PER_DOMAIN = 2

/** Number of instances to which an instance announces a version within its failure domain. */
const FAN_OUT = 2

/** Number of other failure domains to which a reader announces a version. */
const ANNOUNCED_DOMAINS = 2

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

/** Whether this instance reads the key-value service for its failure domain, according to its own member list. */
export function isReader (board: Board): boolean {
  const { failureDomain, id } = board.self
  const ids = instancesByDomain(board).get(failureDomain) ?? []
  return readersOf(failureDomain, ids).includes(id)
}

/**
 * The instances of this failure domain in tree order, readers first. The children of the instance at index `i` are the
 * `FAN_OUT` instances from index `READERS_PER_DOMAIN + i * FAN_OUT` on.
 */
function treeOrder (board: Board, version: number): string[] {
  const { failureDomain } = board.self
  const ids = instancesByDomain(board).get(failureDomain) ?? []
  const readers = readersOf(failureDomain, ids)
  // The order of the others depends on the version, so that the load of announcing is balanced among them.
  return [...readers, ...rendezvousOrder(`bundle/${version}`, ids.filter((id) => !readers.includes(id)))]
}

/** Children of the given instance in the tree along which a version is distributed. */
export function childrenOfInstance (board: Board, version: number, id: string): string[] {
  const order = treeOrder(board, version)
  const index = order.indexOf(id)
  if (index < 0) return []
  const first = READERS_PER_DOMAIN + index * FAN_OUT
  return order.slice(first, first + FAN_OUT)
}

/**
 * The other readers of this failure domain, and one reader of each of up to `ANNOUNCED_DOMAINS` domains that follow it in
 * the order of their names, where the first follows the last. Readers are announced to as well because any of them may be
 * cut off from the key-value service.
 */
export function otherReaders (board: Board, version: number): string[] {
  const domains = instancesByDomain(board)
  const { failureDomain, id } = board.self
  const sameDomain = readersOf(failureDomain, domains.get(failureDomain) ?? []).filter((reader) => reader !== id)
  const names = [...domains.keys()].sort()
  const ownIndex = names.indexOf(failureDomain)
  const nextDomains = Array.from({ length: Math.min(ANNOUNCED_DOMAINS, names.length - 1) }, (_, step) => names[(ownIndex + step + 1) % names.length] ?? '')
  const otherDomains = nextDomains.flatMap((domain) => {
    const readers = readersOf(domain, domains.get(domain) ?? [])
    return readers[version % readers.length] ?? []
  })
  return [...sameDomain, ...otherDomains]
}

/** Probability that a peer is chosen from this instance's failure domain, where messages are cheapest. */
export const LOCAL_SHARE = 0.6

/** Up to `count` distinct random peers, each from this instance's failure domain with probability `localShare`, unless one side has no peers. */
export function randomPeers (board: Board, options: { count: number, localShare: number, random: () => number }): string[] {
  const { count, localShare, random } = options
  const domains = instancesByDomain(board)
  const local = (domains.get(board.self.failureDomain) ?? []).filter((id) => id !== board.self.id)
  const remote = [...domains].filter(([domain]) => domain !== board.self.failureDomain).flatMap(([, ids]) => ids)
  const chosen = new Set<string>()
  for (let round = 0; round < count; round += 1) {
    const preferred = random() < localShare ? local : remote
    const pool = preferred.length > 0 ? preferred : local.length > 0 ? local : remote
    const id = pool[Math.floor(random() * pool.length)]
    if (id !== undefined) chosen.add(id)
  }
  return [...chosen]
}
