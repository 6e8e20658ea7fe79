import type { Board } from '../board/board.js'
import { type Member, MemberState } from '../board/member.js'
import type { Action } from '../core/action.js'
import { CoreActionKind } from '../core/core-action.js'
import type { ListedInstance } from '../placement/server-event.js'
import { queueUpdate } from './gossip.js'
import { MemberEventKind, type MemberUpdate } from './member-event.js'
import { DEAD_RETENTION_MS, SUSPICION_TIMEOUT_MS } from './member-timing.js'
import { selfUpdate, supersedes, updateOf } from './member-update.js'

/** Merges the updates that came with a message. */
export function mergeUpdates (board: Board, updates: MemberUpdate[], nowMs: number): Action[] {
  return updates.flatMap((update) => update.id === board.self.id ? mergeSelfUpdate(board, update) : mergeMemberUpdate(board, update, nowMs))
}

/** Merges a claim about another member. A claim that doesn't supersede what is known of the member has no effect. */
export function mergeMemberUpdate (board: Board, update: MemberUpdate, nowMs: number): Action[] {
  const member = board.members.get(update.id)
  if (member === undefined) {
    if (update.state === MemberState.Dead) return addDeadMember(board, update, nowMs)
    // A live member that was unknown until now can't be reached without an address.
    if (update.peerAddress === '') return []
    return [...addMember(board, update, nowMs), ...queueUpdate(board, update)]
  }
  if (!supersedes(update, member) || repeatsSuspicion(board, update, member)) return []
  const previousIncarnation = member.incarnation
  member.incarnation = update.incarnation
  member.refutation = update.refutation
  if (update.peerAddress !== '') copyLocation(member, update)
  board.membership.suspicions.delete(member.id)
  if (member.state === MemberState.Dead) board.membership.joined.push(member.id)
  const actions = notifyIncarnationChange(member.id, previousIncarnation, update.incarnation)
  // A leaving member stays leaving while it is suspected, so that no instance gives it new work.
  if (update.state === MemberState.Suspect) actions.push(...suspect(board, member, nowMs, false))
  else actions.push(...setState(member, update.state, nowMs))
  return [...actions, ...queueUpdate(board, { ...update, peerAddress: member.peerAddress, callerAddress: member.callerAddress, failureDomain: member.failureDomain, region: member.region })]
}

/** Refutes a wrong claim about this instance itself by a higher counter; a claim of a later start is logged once. */
function mergeSelfUpdate (board: Board, update: MemberUpdate): Action[] {
  const { membership, self } = board
  if (update.incarnation > self.incarnation) {
    if (membership.replaced) return []
    membership.replaced = true
    const fields = { own: self.incarnation, seen: update.incarnation }
    return [{ kind: CoreActionKind.Log, name: 'member_superseded', fields }]
  }
  const own = selfUpdate(board)
  if (update.incarnation === self.incarnation) {
    if (update.state === own.state) return []
    if (update.refutation >= own.refutation) {
      membership.refutation = update.refutation + 1
      return queueUpdate(board, selfUpdate(board))
    }
  }
  // The claim is outdated: its sender gets the current state with the answer, and no other member needs it.
  membership.updates.set(self.id, { update: own, sent: 0, fresh: false })
  return []
}

/** Whether the update only repeats a suspicion. A leaving member keeps its state while it is suspected, so its state doesn't show the suspicion. */
function repeatsSuspicion (board: Board, update: MemberUpdate, member: Member): boolean {
  return update.state === MemberState.Suspect && board.membership.suspicions.has(member.id) &&
    update.incarnation === member.incarnation && update.refutation === member.refutation
}

/** Suspects a member and starts the suspicion timeout; the state of a leaving member does not change. */
export function suspect (board: Board, member: Member, nowMs: number, own: boolean): Action[] {
  const { suspicions, lateness } = board.membership
  if (suspicions.has(member.id)) return []
  const afterMs = SUSPICION_TIMEOUT_MS * (1 + lateness / 2)
  suspicions.set(member.id, { deadlineMs: nowMs + afterMs, own, putOff: false })
  const timeout: Action = {
    kind: CoreActionKind.Schedule,
    afterMs,
    event: { kind: MemberEventKind.SuspicionTimedOut, id: member.id }
  }
  if (member.state === MemberState.Leaving) return [timeout]
  return [timeout, ...setState(member, MemberState.Suspect, nowMs)]
}

export function declareDead (board: Board, member: Member, nowMs: number): Action[] {
  board.membership.suspicions.delete(member.id)
  const actions = setState(member, MemberState.Dead, nowMs)
  return [...actions, ...queueUpdate(board, updateOf(member))]
}

export function setState (member: Member, state: MemberState, nowMs: number): Action[] {
  if (member.state === state) return []
  const from = member.state
  member.state = state
  member.changedMs = nowMs
  return [
    { kind: CoreActionKind.Log, name: 'member_changed', fields: { member: member.id, from, to: state, incarnation: member.incarnation } },
    ...notifyMemberChanged(member.id, member.incarnation, state)
  ]
}

/** Adds and updates members by the platform's instance list. The list lags, so it never removes a member or declares it dead. */
export function mergeInstanceList (board: Board, instances: ListedInstance[], nowMs: number): Action[] {
  const { membership } = board
  const listed = new Map(instances.map((instance) => [instance.id, instance.leaving]))
  const actions = instances
    .filter((instance) => instance.id !== board.self.id)
    .flatMap((instance) => mergeListedInstance(board, instance, nowMs))
  membership.listed = listed
  return actions
}

function mergeListedInstance (board: Board, { leaving, ...location }: ListedInstance, nowMs: number): Action[] {
  const member = board.members.get(location.id)
  if (member === undefined) {
    const state = leaving ? MemberState.Leaving : MemberState.Alive
    return addMember(board, { ...location, incarnation: '', refutation: 0, state }, nowMs)
  }
  // The addresses that a live member reports of itself are newer than the list.
  if (member.incarnation === '' || member.state === MemberState.Dead) copyLocation(member, location)
  const startsLeaving = leaving && board.membership.listed.get(location.id) === false
  if (!startsLeaving || member.state === MemberState.Dead) return []
  return setState(member, MemberState.Leaving, nowMs)
}

/** Evicts members that have been dead for `DEAD_RETENTION_MS` and are no longer listed. */
export function evictDead (board: Board, nowMs: number): void {
  for (const member of board.members.values()) {
    const keep = member.state !== MemberState.Dead || nowMs - member.changedMs < DEAD_RETENTION_MS || board.membership.listed.has(member.id)
    if (!keep) board.members.delete(member.id)
  }
}

function addMember (board: Board, update: MemberUpdate, nowMs: number): Action[] {
  const member: Member = { ...update, state: MemberState.Alive, changedMs: nowMs, bundleVersion: 0 }
  board.members.set(member.id, member)
  board.membership.joined.push(member.id)
  if (update.state === MemberState.Suspect) return suspect(board, member, nowMs, false)
  if (update.state !== MemberState.Alive) return setState(member, update.state, nowMs)
  return notifyMemberChanged(member.id, member.incarnation, MemberState.Alive)
}

/** Adds a member that is already dead: a coordinator that has just started may find its streams on a runner and must know that their owner is dead. */
function addDeadMember (board: Board, update: MemberUpdate, nowMs: number): Action[] {
  if (update.incarnation === '') return []
  board.members.set(update.id, { ...update, changedMs: nowMs, bundleVersion: 0 })
  return [...notifyMemberChanged(update.id, update.incarnation, MemberState.Dead), ...queueUpdate(board, update)]
}

/** Emits the change when a later start of the process replaces the earlier one, whatever state that one was in. */
function notifyIncarnationChange (id: string, previous: string, incarnation: string): Action[] {
  return previous === incarnation ? [] : notifyMemberChanged(id, incarnation, MemberState.Alive)
}

/** Emits a member's change. While its incarnation is unknown, only its death is emitted: handlers would take the empty incarnation for another start. */
function notifyMemberChanged (id: string, incarnation: string, state: MemberState): Action[] {
  if (incarnation === '' && state !== MemberState.Dead) return []
  return [{ kind: CoreActionKind.Emit, event: { kind: MemberEventKind.MemberChanged, id, incarnation, state } }]
}

function copyLocation (member: Member, location: Pick<Member, 'callerAddress' | 'failureDomain' | 'peerAddress' | 'region'>): void {
  member.peerAddress = location.peerAddress
  member.callerAddress = location.callerAddress
  member.failureDomain = location.failureDomain
  member.region = location.region
}
