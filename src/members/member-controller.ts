import type { Board } from '../board/board.js'
import { MemberState } from '../board/member.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import type { Controller } from '../core/controller.js'
import { ServerEventKind } from '../placement/server-event.js'
import { repairUpdates, sendGossip, UNTRACKED_PROBE, unsolicitedAck } from './gossip.js'
import { MemberEventKind, type MemberUpdate } from './member-event.js'
import { mergeInstanceList, mergeMemberUpdate, mergeUpdates } from './member-table.js'
import { recordTick, recordMessageFrom, recoverFromPause, handleProbeAck, probeNext, handleProbeTimeout, relayProbe, sendAck, handleSuspicionTimeout } from './probing.js'
import { viewDigest } from './view-digest.js'

/** Maintains the view of the live entry instances: the platform's instance list, corrected by probes and gossip. */
export const memberController: Controller = {
  name: 'members',
  handlers: {
    [ServerEventKind.InstanceListRead]: (board, { instances }, { nowMs }) => {
      // An empty list counts as a failed read, never as a fleet without instances.
      return instances.length === 0 ? [] : mergeInstanceList(board, instances, nowMs)
    },
    [MemberEventKind.MemberTick]: (board, _event, context) => {
      const actions = recoverFromPause(board, context)
      return recordTick(board, context.nowMs) ? [...actions, ...probeNext(board, context)] : actions
    },
    [MemberEventKind.ProbeReceived]: (board, event, context) => {
      const actions = mergeMessage(board, event, context)
      if (!board.members.has(event.from)) return actions
      const repair = event.digest === viewDigest(board) ? [] : repairUpdates(board, context.random)
      return [...actions, sendAck(board, event.from, event.probe, board.self.id, repair)]
    },
    [MemberEventKind.ProbeAckReceived]: (board, event, context) => {
      const actions = mergeMessage(board, event, context)
      const ackActions = handleProbeAck(board, event.probe, event.subject)
      // The peer added repair updates to its acknowledgement if the views differed; this instance sends its own back once.
      const differs = event.probe !== UNTRACKED_PROBE && event.subject === event.from && event.digest !== viewDigest(board)
      if (differs && board.members.has(event.from)) actions.push(unsolicitedAck(board, event.from, repairUpdates(board, context.random)))
      return [...actions, ...ackActions]
    },
    [MemberEventKind.ProbeRequestReceived]: (board, event, context) => {
      const actions = mergeMessage(board, event, context)
      if (!board.members.has(event.subject) || !board.members.has(event.from)) return actions
      return [...actions, ...relayProbe(board, event.subject, { to: event.from, probe: event.probe }, context.nowMs)]
    },
    [MemberEventKind.ProbeTimedOut]: (board, { probe, indirect }, context) => [
      ...recoverFromPause(board, context),
      ...handleProbeTimeout(board, probe, indirect, context)
    ],
    [MemberEventKind.SuspicionTimedOut]: (board, { id }, context) => [
      ...recoverFromPause(board, context),
      ...handleSuspicionTimeout(board, id, context.nowMs)
    ],
    [MemberEventKind.GossipDue]: (board, _event, context) => [...recoverFromPause(board, context), ...sendGossip(board, context)]
  }
}

interface MemberMessage {
  from: string
  incarnation: string
  bundleVersion?: number
  updates: MemberUpdate[]
}

/** Merges what every message carries: updates, the sender's incarnation and, in most messages, its bundle version. */
function mergeMessage (board: Board, message: MemberMessage, context: Context): Action[] {
  const { nowMs } = context
  const actions = [...recoverFromPause(board, context), ...mergeUpdates(board, message.updates, nowMs)]
  const sender = board.members.get(message.from)
  if (sender === undefined) return actions
  if (message.incarnation > sender.incarnation) {
    const { bundleVersion, changedMs, ...senderUpdate } = sender
    actions.push(...mergeMemberUpdate(board, { ...senderUpdate, incarnation: message.incarnation, refutation: 0, state: MemberState.Alive }, nowMs))
  }
  if (message.incarnation === sender.incarnation) recordMessageFrom(board, sender.id)
  if (message.incarnation === sender.incarnation && message.bundleVersion !== undefined) sender.bundleVersion = message.bundleVersion
  // A sender that is considered dead or replaced by a later start is notified at once, so that it can refute this.
  const outdated = sender.state === MemberState.Dead || message.incarnation < sender.incarnation
  return outdated ? [...actions, unsolicitedAck(board, sender.id)] : actions
}
