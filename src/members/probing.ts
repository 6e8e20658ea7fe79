import type { Board } from '../board/board.js'
import { type Member, MemberState } from '../board/member.js'
import type { PendingProbe } from '../board/membership.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { CoreActionKind } from '../core/core-action.js'
import { pickMembers, queueUpdate, takeUpdates, UNTRACKED_PROBE, unsolicitedAck } from './gossip.js'
import { MemberActionKind } from './member-action.js'
import { MemberEventKind, type MemberUpdate } from './member-event.js'
import { declareDead, evictDead, suspect } from './member-table.js'
import {
  DEAD_PROBE_PERIOD_MS, DIRECT_PROBE_TIMEOUT_MS, GOSSIP_FANOUT, REPORTED_SUSPICION_GRACE_MS, INDIRECT_PROBES, LATE_TICK_THRESHOLD_MS, MAX_LATENESS, PAUSE_THRESHOLD_MS, PROBE_PERIOD_MS, PROBE_TIMEOUT_MS, SUSPICION_TIMEOUT_MS
} from './member-timing.js'
import { selfUpdate, updateOf } from './member-update.js'
import { viewDigest } from './view-digest.js'

/** Probes the next member of the round, each suspected member that this instance will declare dead at the deadline, and periodically a dead member. */
export function probeNext (board: Board, context: Context): Action[] {
  const { nowMs, random } = context
  evictDead(board, nowMs)
  const actions = announceLeaving(board)
  const next = nextInRound(board, random)
  if (next !== null) actions.push(...startProbe(board, next, context))
  for (const [id, { own, putOff }] of board.membership.suspicions) {
    if ((own || putOff) && id !== next) actions.push(...reprobeSuspect(board, id, context))
  }
  return [...actions, ...probeDeadMember(board, context)]
}

/** Sends a direct probe and schedules the event that checks for its answer. */
function startProbe (board: Board, subject: string, { nowMs }: Context): Action[] {
  const probe = registerProbe(board, { subject, sentMs: nowMs, relay: null, repeated: false })
  return [
    sendProbe(board, subject, probe, null),
    { kind: CoreActionKind.Schedule, afterMs: DIRECT_PROBE_TIMEOUT_MS, event: { kind: MemberEventKind.ProbeTimedOut, probe, subject, indirect: false } }
  ]
}

/** Probes a suspected member again, directly and through another member, so that a few lost messages do not get a live member declared dead. */
function reprobeSuspect (board: Board, subject: string, { nowMs, random }: Context): Action[] {
  const probe = registerProbe(board, { subject, sentMs: nowMs, relay: null, repeated: true })
  const helpers = pickMembers(board, 1, random, (id) => id !== subject)
  return [
    sendProbe(board, subject, probe, null),
    ...helpers.map((to): Action => ({ kind: MemberActionKind.SendProbeRequest, to, probe, subject, updates: takeUpdates(board, to) })),
    { kind: CoreActionKind.Schedule, afterMs: PROBE_TIMEOUT_MS, event: { kind: MemberEventKind.ProbeTimedOut, probe, subject, indirect: true } }
  ]
}

/** Probes a member on behalf of another instance. */
export function relayProbe (board: Board, subject: string, relay: { to: string, probe: number }, nowMs: number): Action[] {
  const probe = registerProbe(board, { subject, sentMs: nowMs, relay, repeated: false })
  return [
    sendProbe(board, subject, probe, relay.to),
    { kind: CoreActionKind.Schedule, afterMs: PROBE_TIMEOUT_MS, event: { kind: MemberEventKind.ProbeTimedOut, probe, subject, indirect: true } }
  ]
}

/** Requests indirect probes after a direct probe failed, and suspects the member when these fail too. */
export function handleProbeTimeout (board: Board, probe: number, indirect: boolean, { nowMs, random }: Context): Action[] {
  const pending = board.membership.pending.get(probe)
  if (pending === undefined) return []
  const { subject, relay, repeated } = pending
  if (indirect) {
    board.membership.pending.delete(probe)
    const member = board.members.get(subject)
    if (relay !== null || repeated || member === undefined || member.state === MemberState.Dead) return []
    return suspectAndGossip(board, member, nowMs)
  }
  const helpers = pickMembers(board, INDIRECT_PROBES, random, (id) => id !== subject)
  return [
    ...helpers.map((to): Action => ({ kind: MemberActionKind.SendProbeRequest, to, probe, subject, updates: takeUpdates(board, to) })),
    { kind: CoreActionKind.Schedule, afterMs: PROBE_TIMEOUT_MS - DIRECT_PROBE_TIMEOUT_MS, event: { kind: MemberEventKind.ProbeTimedOut, probe, subject, indirect: true } }
  ]
}

/** Handles the acknowledgement of a pending probe. If another instance requested the probe, the acknowledgement is forwarded to it. */
export function handleProbeAck (board: Board, probe: number, subject: string): Action[] {
  const pending = board.membership.pending.get(probe)
  if (pending === undefined || pending.subject !== subject) return []
  board.membership.pending.delete(probe)
  if (pending.relay !== null) return [sendAck(board, pending.relay.to, pending.relay.probe, subject)]
  recordMessageFrom(board, subject)
  return clearLeavingSuspicion(board, subject)
}

/** Clears the suspicion of a leaving member. Its state didn't change when it was suspected, so an answer is enough without a refutation. */
function clearLeavingSuspicion (board: Board, subject: string): Action[] {
  if (board.members.get(subject)?.state === MemberState.Leaving) board.membership.suspicions.delete(subject)
  return []
}

export function sendAck (board: Board, to: string, probe: number, subject: string, repair: MemberUpdate[] = []): Action {
  const bundleVersion = board.bundle?.version ?? 0
  return { kind: MemberActionKind.SendProbeAck, to, probe, subject, bundleVersion, digest: viewDigest(board), updates: [...takeUpdates(board, to), ...repair] }
}

/** Declares a suspected member dead at the deadline. If only others suspected it, the deadline is first extended once. */
export function handleSuspicionTimeout (board: Board, id: string, nowMs: number): Action[] {
  const suspicion = board.membership.suspicions.get(id)
  const member = board.members.get(id)
  if (suspicion === undefined || member === undefined || nowMs < suspicion.deadlineMs) return []
  if (suspicion.own || suspicion.putOff) return declareDead(board, member, nowMs)
  suspicion.putOff = true
  suspicion.deadlineMs = nowMs + REPORTED_SUSPICION_GRACE_MS
  return [{ kind: CoreActionKind.Schedule, afterMs: REPORTED_SUSPICION_GRACE_MS, event: { kind: MemberEventKind.SuspicionTimedOut, id } }]
}

/** Records a direct message from a member. If the member is suspected, the message shows that it is alive and that its refutation will follow. */
export function recordMessageFrom (board: Board, id: string): void {
  const suspicion = board.membership.suspicions.get(id)
  if (suspicion !== undefined) suspicion.own = false
}

/**
 * Detects that this instance itself was paused: answers that it missed meanwhile say nothing about other members.
 * It then drops its pending probes, restarts its suspicion timeouts and refutes the suspicion that others may have of it.
 */
export function recoverFromPause (board: Board, { nowMs, random }: Context): Action[] {
  const { membership } = board
  const lateMs = membership.lastTickMs === null ? 0 : nowMs - membership.lastTickMs - PROBE_PERIOD_MS
  if (lateMs < PAUSE_THRESHOLD_MS) return []
  membership.lastTickMs = nowMs - PROBE_PERIOD_MS
  membership.lateness = Math.min(MAX_LATENESS, membership.lateness + 1)
  membership.pending.clear()
  const timeouts = [...membership.suspicions].map(([id, suspicion]): Action => {
    suspicion.deadlineMs = nowMs + SUSPICION_TIMEOUT_MS
    return { kind: CoreActionKind.Schedule, afterMs: SUSPICION_TIMEOUT_MS, event: { kind: MemberEventKind.SuspicionTimedOut, id } }
  })
  membership.refutation += 1
  queueUpdate(board, selfUpdate(board))
  // Sent now and not after the gossip delay, since the suspicion timeouts of other instances are running already.
  const targets = pickMembers(board, GOSSIP_FANOUT, random, () => true)
  membership.gossipScheduled = false
  return [
    { kind: CoreActionKind.Log, name: 'member_paused', fields: { lateMs } },
    ...timeouts,
    ...targets.map((to) => unsolicitedAck(board, to))
  ]
}

/** Counts late ticks. Returns false for a tick that follows the last one too soon because it catches up after a pause. */
export function recordTick (board: Board, nowMs: number): boolean {
  const { membership } = board
  const sinceMs = membership.lastTickMs === null ? PROBE_PERIOD_MS : nowMs - membership.lastTickMs
  if (sinceMs < PROBE_PERIOD_MS / 2) return false
  membership.lastTickMs = nowMs
  const late = sinceMs > PROBE_PERIOD_MS + LATE_TICK_THRESHOLD_MS
  membership.lateness = late ? Math.min(MAX_LATENESS, membership.lateness + 1) : Math.max(0, membership.lateness - 1)
  return true
}

function suspectAndGossip (board: Board, member: Member, nowMs: number): Action[] {
  const actions = suspect(board, member, nowMs, true)
  if (actions.length === 0 || member.state === MemberState.Leaving) return actions
  return [...actions, ...queueUpdate(board, updateOf(member))]
}

function announceLeaving (board: Board): Action[] {
  const { membership } = board
  if (board.drainingSinceMs === null || membership.leavingAnnounced) return []
  membership.leavingAnnounced = true
  membership.refutation += 1
  return queueUpdate(board, selfUpdate(board))
}

function probeDeadMember (board: Board, { nowMs, random }: Context): Action[] {
  const { membership } = board
  if (nowMs - membership.lastDeadProbeMs < DEAD_PROBE_PERIOD_MS) return []
  const dead = [...board.members.values()].filter((member) => member.state === MemberState.Dead && member.peerAddress !== '')
  const member = dead[Math.floor(random() * dead.length)]
  if (member === undefined) return []
  membership.lastDeadProbeMs = nowMs
  return [sendProbe(board, member.id, UNTRACKED_PROBE, null)]
}

function nextInRound (board: Board, random: () => number): string | null {
  const { membership } = board
  for (const id of membership.joined.splice(0)) membership.round.splice(Math.floor(random() * (membership.round.length + 1)), 0, id)
  if (membership.round.length === 0) membership.round = shuffledMemberIds(board, random)
  for (let id = membership.round.pop(); id !== undefined; id = membership.round.pop()) {
    const state = board.members.get(id)?.state
    if (state !== undefined && state !== MemberState.Dead) return id
  }
  return null
}

function shuffledMemberIds (board: Board, random: () => number): string[] {
  const ids = [...board.members.keys()]
  for (let last = ids.length - 1; last > 0; last -= 1) {
    const other = Math.floor(random() * (last + 1))
    const id = ids[last] as string
    ids[last] = ids[other] as string
    ids[other] = id
  }
  return ids
}

function registerProbe (board: Board, pending: PendingProbe): number {
  const { membership } = board
  membership.lastProbe += 1
  membership.pending.set(membership.lastProbe, pending)
  return membership.lastProbe
}

function sendProbe (board: Board, to: string, probe: number, onBehalfOf: string | null): Action {
  const bundleVersion = board.bundle?.version ?? 0
  return { kind: MemberActionKind.SendProbe, to, probe, onBehalfOf, bundleVersion, digest: viewDigest(board), updates: takeUpdates(board, to) }
}
