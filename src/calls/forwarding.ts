import type { Board } from '../board/board.js'
import { type CallAttempt, CallStage } from '../board/call-attempt.js'
import { MemberState } from '../board/member.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import { CoreActionKind } from '../core/core-action.js'
import { RefusalKind } from '../errors/refusal.js'
import { CallActionKind } from './call-action.js'
import { CallEventKind } from './call-event.js'
import { refuse } from './call-ending.js'

/** Time after the deadline that a forwarded call waits for its answer, in ms; the holder may answer up to its own deadline. */
const FORWARD_SLACK_MS = 500

/** The incarnation that holds a key. */
export interface KeyHolder {
  instance: string
  incarnation: string
  /** Detail of the refusal if the call can't be forwarded to the holder. */
  detail: string
}

/** Whether requests can be forwarded to the instance. The receiver checks the incarnation, because membership here may lag behind. */
export function isReachable (board: Board, instance: string): boolean {
  const member = board.members.get(instance)
  return instance !== board.self.id && member !== undefined && member.state !== MemberState.Dead
}

/** Forwards an attempt to the only incarnation that may dispatch a call with its key. */
export function forward (board: Board, attempt: CallAttempt, { instance, incarnation, detail }: KeyHolder, { nowMs }: Context): Action[] {
  // An attempt is forwarded only once, so that two instances can't forward it back and forth.
  if (attempt.forwardedBy !== null || !isReachable(board, instance)) return refuse(board, attempt, RefusalKind.OutcomeUnknown, detail)
  const superseded = supersedeForwarded(board, attempt)
  attempt.stage = CallStage.Forwarded
  attempt.holder = { instance, incarnation }
  const timeoutEvent = { kind: CallEventKind.ForwardedCallAnswered, call: attempt.call, answered: false, refusal: RefusalKind.OutcomeUnknown, detail: `instance ${instance} did not answer in time` } as const
  return [
    ...superseded,
    { kind: CallActionKind.ForwardCall, call: attempt.call, instance, incarnation },
    { kind: CoreActionKind.Schedule, afterMs: attempt.deadlineMs - nowMs + FORWARD_SLACK_MS, event: timeoutEvent }
  ]
}

/** Refuses older forwarded attempts with the same key, since only the newest connection gets the holder's answer. */
function supersedeForwarded (board: Board, { organisation, key }: CallAttempt): Action[] {
  const olderAttempts = [...board.calls.values()].filter((other) => other.stage === CallStage.Forwarded && other.organisation === organisation && other.key === key)
  return olderAttempts.flatMap((other) => refuse(board, other, RefusalKind.Superseded, 'a newer connection sent the same key'))
}
