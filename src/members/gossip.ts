import type { Board } from '../board/board.js'
import { MemberState } from '../board/member.js'
import type { QueuedUpdate } from '../board/membership.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { CoreActionKind } from '../core/core-action.js'
import { MemberActionKind } from './member-action.js'
import { MemberEventKind, type MemberUpdate } from './member-event.js'
import { FRESH_MESSAGES, GOSSIP_DELAY_MS, GOSSIP_FANOUT, MAX_UPDATES_PER_MESSAGE, RECENT_MEMBERS, REPAIR_UPDATES, retransmitLimit } from './member-timing.js'
import { selfUpdate, updateOf } from './member-update.js'
import { viewDigest } from './view-digest.js'

/** Probe number of messages that belong to no pending probe: acknowledgements that only carry updates, and probes of dead members. */
export const UNTRACKED_PROBE = 0

/** Queues an update and schedules that it is sent to a few members. */
export function queueUpdate (board: Board, update: MemberUpdate): Action[] {
  const { membership } = board
  membership.updates.set(update.id, { update, sent: 0, fresh: true })
  membership.recent = [...membership.recent.filter((id) => id !== update.id), update.id].slice(-RECENT_MEMBERS)
  membership.digest = null
  if (board.membership.gossipScheduled) return []
  board.membership.gossipScheduled = true
  return [{ kind: CoreActionKind.Schedule, afterMs: GOSSIP_DELAY_MS, event: { kind: MemberEventKind.GossipDue } }]
}

/** Returns the updates that go with a message to the member, and counts each one as sent. */
export function takeUpdates (board: Board, to: string): MemberUpdate[] {
  const { updates } = board.membership
  const chosen = new Map<string, MemberUpdate>()
  for (const update of requiredUpdates(board, to)) chosen.set(update.id, update)
  for (const item of leastSentFirst(updates)) {
    if (chosen.size >= MAX_UPDATES_PER_MESSAGE) break
    chosen.set(item.update.id, item.update)
  }
  for (const id of chosen.keys()) countSent(board, id)
  return [...chosen.values()]
}

/** Sends fresh updates to a few members without waiting for the next probe. */
export function sendGossip (board: Board, { random }: Context): Action[] {
  board.membership.gossipScheduled = false
  const { updates } = board.membership
  const fresh = [...updates.values()].filter((item) => item.fresh)
  if (fresh.length === 0) return []
  const targets = pickMembers(board, GOSSIP_FANOUT, random, () => true)
  const actions = targets.map((to) => unsolicitedAck(board, to))
  const hasMore = [...updates.values()].some((item) => item.fresh) && targets.length > 0
  if (!hasMore) return actions
  board.membership.gossipScheduled = true
  return [...actions, { kind: CoreActionKind.Schedule, afterMs: GOSSIP_DELAY_MS, event: { kind: MemberEventKind.GossipDue } }]
}

/** Updates for a peer whose view differs: of the member that changed last, of another recently changed member and of a random one. */
export function repairUpdates (board: Board, random: () => number): MemberUpdate[] {
  const { recent } = board.membership
  const ids = [...board.members.keys()]
  const pick = (from: string[]): string | undefined => from[Math.floor(random() * from.length)]
  const chosen = new Set([recent.at(-1), ...Array.from({ length: REPAIR_UPDATES - 2 }, () => pick(recent)), pick(ids)])
  return [...chosen].flatMap((id) => {
    if (id === board.self.id) return [selfUpdate(board)]
    const member = board.members.get(id ?? '')
    return member === undefined || member.incarnation === '' ? [] : [updateOf(member)]
  })
}

/** An acknowledgement that answers no probe and only carries updates. */
export function unsolicitedAck (board: Board, to: string, repair: MemberUpdate[] = []): Action {
  return {
    kind: MemberActionKind.SendProbeAck,
    to,
    probe: UNTRACKED_PROBE,
    subject: board.self.id,
    bundleVersion: board.bundle?.version ?? 0,
    digest: viewDigest(board),
    updates: [...takeUpdates(board, to), ...repair]
  }
}

/** Up to `count` different accepted members that are not known to be dead, in random order. */
export function pickMembers (board: Board, count: number, random: () => number, accept: (id: string) => boolean): string[] {
  const candidates: string[] = []
  for (const member of board.members.values()) {
    if (member.state !== MemberState.Dead && accept(member.id)) candidates.push(member.id)
  }
  const picked: string[] = []
  while (picked.length < count && candidates.length > 0) {
    const index = Math.floor(random() * candidates.length)
    picked.push(candidates[index] as string)
    candidates[index] = candidates[candidates.length - 1] as string
    candidates.pop()
  }
  return picked
}

/** Updates that the receiver needs in any case: a claim about the receiver that it may refute, and this instance's state if the receiver may not know it. */
function requiredUpdates (board: Board, to: string): MemberUpdate[] {
  const member = board.members.get(to)
  if (member === undefined) return []
  const required: MemberUpdate[] = []
  if (member.state === MemberState.Suspect || member.state === MemberState.Dead) required.push(updateOf(member))
  // After a network partition, each side considers the other dead: one message must be enough to correct both views.
  if (member.incarnation === '' || member.state === MemberState.Dead) required.push(selfUpdate(board))
  return required
}

function leastSentFirst (updates: Map<string, QueuedUpdate>): QueuedUpdate[] {
  if (updates.size <= MAX_UPDATES_PER_MESSAGE) return [...updates.values()]
  return [...updates.values()].sort((a, b) => a.sent - b.sent)
}

function countSent (board: Board, id: string): void {
  const { updates } = board.membership
  const item = updates.get(id)
  if (item === undefined) return
  item.sent += 1
  if (item.sent >= FRESH_MESSAGES) item.fresh = false
  if (item.sent >= retransmitLimit(board.members.size)) updates.delete(id)
}
