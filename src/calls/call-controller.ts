import type { Board } from '../board/board.js'
import { type CallAttempt, CallStage, type KeyRecord } from '../board/call-attempt.js'
import { MemberState } from '../board/member.js'
import type { Route } from '../bundles/bundle.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import type { Controller } from '../core/controller.js'
import { RefusalKind } from '../errors/refusal.js'
import { MemberEventKind } from '../members/member-event.js'
import { CallActionKind } from './call-action.js'
import { type CallArrived, CallEventKind, CallOutcome } from './call-event.js'
import { endAttempt, refuse, refuseConnection, settleWithRefusal } from './call-ending.js'
import { creditRetryTokens, evictIdleUsage, acquireQuota } from './call-limits.js'
import { dispatch, handleCallFailed, handleCallFinished } from './dispatch.js'
import { forward } from './forwarding.js'
import { hasIssuedPrefix, parseIssuedKey } from './issued-key.js'
import { expireIssuedKeys, isIssuedTo } from './key-issue.js'
import { createRecord, expireRecords, findRecord, recordId } from './key-records.js'

/** Handles calls to plain services from their arrival to the answer or refusal. */
export const callController: Controller = {
  name: 'calls',
  handlers: {
    [CallEventKind.CallArrived]: (board, event, context) => {
      const route = board.bundle?.index.routes.get(event.route)
      const attempt = createAttempt(event, route, context)
      board.calls.set(event.call, attempt)
      if (route === undefined) return refuse(board, attempt, RefusalKind.UnknownRoute, event.route)
      return route.repeatable ? startRepeatableCall(board, attempt, route, context) : startKeyedCall(board, attempt, context)
    },
    [CallEventKind.CallFinished]: handleCallFinished,
    [CallEventKind.CallFailed]: handleCallFailed,
    [CallEventKind.CallRetryDue]: (board, { call }, context) => {
      const attempt = board.calls.get(call)
      return attempt?.stage === CallStage.BackingOff ? dispatch(board, attempt, context) : []
    },
    [CallEventKind.CallerDisconnected]: (board, { call }) => {
      const attempt = board.calls.get(call)
      if (attempt === undefined) return []
      attempt.open = false
      // A dispatched attempt, or one whose key is being claimed, continues so that its key record gets the outcome.
      const continues = attempt.stage === CallStage.Dispatched || attempt.stage === CallStage.Claiming
      return continues ? [] : endAttempt(board, attempt)
    },
    [CallEventKind.ForwardedCallAnswered]: (board, { call, answered, refusal, detail, replayed }) => {
      const attempt = board.calls.get(call)
      if (attempt?.stage !== CallStage.Forwarded) return []
      if (!answered) return refuse(board, attempt, refusal ?? RefusalKind.OutcomeUnknown, detail)
      return [{ kind: CallActionKind.AnswerCall, call, source: call, replayed: replayed === true }, ...endAttempt(board, attempt)]
    },
    [MemberEventKind.MemberChanged]: (board, { id, incarnation, state }) => {
      const orphaned = [...board.calls.values()].filter(({ stage, holder }) => stage === CallStage.Forwarded && holder?.instance === id &&
        (state === MemberState.Dead || holder.incarnation !== incarnation))
      return orphaned.flatMap((attempt) => refuse(board, attempt, RefusalKind.OutcomeUnknown, `instance ${id}, which had the call, is gone`))
    },
    [CallEventKind.CallTick]: (board, _event, { nowMs }) => {
      expireIssuedKeys(board, nowMs)
      evictIdleUsage(board, nowMs)
      return expireRecords(board, nowMs)
    }
  }
}

/** Handles the results of the attempts to claim callers' own keys in the key-value service. */
export const keyController: Controller = {
  name: 'keys',
  handlers: {
    [CallEventKind.KeyClaimed]: (board, { organisation, key, nonce }, context) => {
      const { record, dispatcher } = findPendingClaim(board, organisation, key, nonce)
      if (record === undefined || dispatcher === undefined) return []
      const callerWaits = board.calls.get(record.newest)?.open === true
      if (callerWaits) return dispatch(board, dispatcher, context)
      return settleWithRefusal(board, dispatcher, { outcome: CallOutcome.NotRun, refusal: RefusalKind.OutcomeUnknown, detail: 'the caller has gone' })
    },
    [CallEventKind.KeyAlreadyClaimed]: (board, { organisation, key, nonce, instance, incarnation, bodyHash, outcome }, context) => {
      const { record, dispatcher } = findPendingClaim(board, organisation, key, nonce)
      if (record === undefined || dispatcher === undefined) return []
      const newestAttempt = board.calls.get(record.newest)
      board.issuedKeys.records.delete(recordId(record))
      const actions = newestAttempt === dispatcher ? [] : endAttempt(board, dispatcher)
      if (newestAttempt === undefined) return actions
      if (!newestAttempt.open) return [...actions, ...endAttempt(board, newestAttempt)]
      if (bodyHash !== newestAttempt.bodyHash) return [...actions, ...refuse(board, newestAttempt, RefusalKind.KeyReused, 'the key was used with another body')]
      return [...actions, ...forward(board, newestAttempt, { instance, incarnation, detail: `the record of the key says: ${outcome}` }, context)]
    },
    [CallEventKind.KeyClaimFailed]: (board, { organisation, key, nonce, refusal }) => {
      const { dispatcher } = findPendingClaim(board, organisation, key, nonce)
      if (dispatcher === undefined) return []
      const failure = { outcome: CallOutcome.NotRun, refusal, detail: 'the key could not be recorded; the call was not sent' } as const
      // Drops the write of the outcome: the key-value service does not respond, and this instance has already listed the claim as abandoned.
      return settleWithRefusal(board, dispatcher, failure).filter(({ kind }) => kind !== CallActionKind.RecordOutcome)
    }
  }
}

function createAttempt (event: CallArrived, route: Route | undefined, { nowMs }: Context): CallAttempt {
  const { kind, ...fields } = event
  return {
    ...fields,
    stage: CallStage.Joined,
    open: true,
    counted: false,
    holder: null,
    server: null,
    sent: false,
    attempts: 0,
    excluded: [],
    arrivedMs: nowMs,
    deadlineMs: nowMs + (route?.timeoutMs ?? 0)
  }
}

function startRepeatableCall (board: Board, attempt: CallAttempt, route: Route, context: Context): Action[] {
  if (!acquireQuota(board, attempt, context.nowMs)) return refuseOverLimit(board, attempt)
  creditRetryTokens(board, route.service)
  return dispatch(board, attempt, context)
}

function refuseOverLimit (board: Board, attempt: CallAttempt): Action[] {
  return refuse(board, attempt, RefusalKind.OrganisationLimit, attempt.organisation)
}

function startKeyedCall (board: Board, attempt: CallAttempt, context: Context): Action[] {
  const { key } = attempt
  if (key === null) return refuse(board, attempt, RefusalKind.KeyMissing, attempt.route)
  return hasIssuedPrefix(key) ? startCallWithIssuedKey(board, attempt, key, context) : startCallWithCallerKey(board, attempt, key, context)
}

function startCallWithIssuedKey (board: Board, attempt: CallAttempt, key: string, context: Context): Action[] {
  const issued = parseIssuedKey(key)
  if (issued === null) return refuse(board, attempt, RefusalKind.KeyMalformed, 'no instance issues keys of this form')
  if (issued.incarnation !== board.self.incarnation) {
    return forward(board, attempt, { ...issued, detail: `instance ${issued.instance}, which issued the key, is gone` }, context)
  }
  if (!isIssuedTo(board, attempt.organisation, issued)) return refuse(board, attempt, RefusalKind.KeyMalformed, 'the key was never issued to this organisation')
  const record = findRecord(board, attempt.organisation, key)
  if (record !== undefined && (record.outcome !== CallOutcome.NotRun || record.bodyHash !== attempt.bodyHash)) return handleDuplicate(board, record, attempt)
  if (record === undefined && issued.number <= board.issuedKeys.expiredNumber) return refuse(board, attempt, RefusalKind.KeyExpired, 'the key was issued too long ago')
  return admitKeyedCall(board, attempt, { key, nonce: null }, context) ?? dispatch(board, attempt, context)
}

function startCallWithCallerKey (board: Board, attempt: CallAttempt, key: string, context: Context): Action[] {
  const record = findRecord(board, attempt.organisation, key)
  if (record !== undefined && (record.outcome !== CallOutcome.NotRun || record.bodyHash !== attempt.bodyHash)) return handleDuplicate(board, record, attempt)
  if (record === undefined && attempt.forwardedBy !== null) return refuse(board, attempt, RefusalKind.OutcomeUnknown, 'the holder of the key no longer knows its call')
  const nonce = context.nextId()
  const abandoned = record?.abandoned ?? []
  const refused = admitKeyedCall(board, attempt, { key, nonce }, context)
  if (refused !== null) return refused
  attempt.stage = CallStage.Claiming
  return [{ kind: CallActionKind.ClaimKey, organisation: attempt.organisation, key, bodyHash: attempt.bodyHash, nonce, abandoned }]
}

/** Acquires quota and creates the record of the key. Returns the refusal if either is not possible, otherwise null. */
function admitKeyedCall (board: Board, attempt: CallAttempt, claim: { key: string, nonce: string | null }, { nowMs }: Context): Action[] | null {
  if (!acquireQuota(board, attempt, nowMs)) return refuseOverLimit(board, attempt)
  if (createRecord(board, attempt, { ...claim, nowMs }) !== null) return null
  return refuse(board, attempt, RefusalKind.Overloaded, 'too many keys are in use on this instance')
}

/** Handles a further attempt with a known key: it waits for the call in flight, gets the stored answer, or is refused. */
function handleDuplicate (board: Board, record: KeyRecord, attempt: CallAttempt): Action[] {
  if (record.bodyHash !== attempt.bodyHash) return refuse(board, attempt, RefusalKind.KeyReused, 'the key was used with another body')
  if (record.outcome === CallOutcome.InFlight) return supersedeNewest(board, record, attempt)
  if (record.answer !== null) return [{ kind: CallActionKind.AnswerCall, call: attempt.call, source: record.answer, replayed: true }, ...endAttempt(board, attempt)]
  const detail = record.outcome === CallOutcome.Unknown ? 'the backend server did not answer' : `the call ${record.outcome}; its answer is no longer stored`
  return refuse(board, attempt, RefusalKind.OutcomeUnknown, detail)
}

/** Makes the attempt the newest of its key, and refuses the connection of the one that was newest before. */
function supersedeNewest (board: Board, record: KeyRecord, attempt: CallAttempt): Action[] {
  const supersededAttempt = board.calls.get(record.newest)
  record.newest = attempt.call
  if (supersededAttempt === undefined) return []
  const actions = refuseConnection(supersededAttempt, RefusalKind.Superseded, 'a newer connection sent the same key')
  return supersededAttempt.call === record.dispatcher ? actions : [...actions, ...endAttempt(board, supersededAttempt)]
}

interface PendingClaim {
  record?: KeyRecord
  dispatcher?: CallAttempt
}

/** Finds the claim with this nonce; empty unless it is the current claim of its key and its dispatcher still waits for the result. */
function findPendingClaim (board: Board, organisation: string, key: string, nonce: string): PendingClaim {
  const record = findRecord(board, organisation, key)
  if (record === undefined || record.nonce !== nonce || record.outcome !== CallOutcome.InFlight) return {}
  const dispatcher = board.calls.get(record.dispatcher)
  return dispatcher?.stage === CallStage.Claiming ? { record, dispatcher } : {}
}
