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
import { endAttempt, refuse, refuseOpen, settleWithRefusal } from './call-ending.js'
import { addRetryShare, forgetIdleUsage, acquireQuota } from './call-limits.js'
import { callFailed, callFinished, dispatch } from './dispatch.js'
import { forward } from './forwarding.js'
import { hasIssuedPrefix, parseIssuedKey } from './issued-key.js'
import { expireIssuedKeys, isIssuedTo } from './key-issue.js'
import { expireRecords, findRecord, openRecord, recordId } from './key-records.js'

/** Takes a call to a plain service from arrival to its answer or refusal. */
export const callController: Controller = {
  name: 'calls',
  handlers: {
    [CallEventKind.CallArrived]: (board, event, context) => {
      const route = board.bundle?.index.routes.get(event.route)
      const attempt = createAttempt(event, route, context)
      board.calls.set(event.call, attempt)
      if (route === undefined) return refuse(board, attempt, RefusalKind.UnknownRoute, event.route)
      return route.repeatable ? startRepeatable(board, attempt, route, context) : useKey(board, attempt, context)
    },
    [CallEventKind.CallFinished]: callFinished,
    [CallEventKind.CallFailed]: callFailed,
    [CallEventKind.CallRetryDue]: (board, { call }, context) => {
      const attempt = board.calls.get(call)
      return attempt?.stage === CallStage.BackingOff ? dispatch(board, attempt, context) : []
    },
    [CallEventKind.CallerDisconnected]: (board, { call }) => {
      const attempt = board.calls.get(call)
      if (attempt === undefined) return []
      attempt.open = false
      // What may be sent already goes on, so that its record gets the outcome.
      const goesOn = attempt.stage === CallStage.Dispatched || attempt.stage === CallStage.Claiming
      return goesOn ? [] : endAttempt(board, attempt)
    },
    [CallEventKind.ForwardedCallAnswered]: (board, { call, answered, refusal, detail, replayed }) => {
      const attempt = board.calls.get(call)
      if (attempt?.stage !== CallStage.Forwarded) return []
      if (!answered) return refuse(board, attempt, refusal ?? RefusalKind.OutcomeUnknown, detail)
      return [{ kind: CallActionKind.AnswerCall, call, source: call, replayed: replayed === true }, ...endAttempt(board, attempt)]
    },
    [MemberEventKind.MemberChanged]: (board, { id, incarnation, state }) => {
      const lost = [...board.calls.values()].filter(({ stage, holder }) => stage === CallStage.Forwarded && holder?.instance === id &&
        (state === MemberState.Dead || holder.incarnation !== incarnation))
      return lost.flatMap((attempt) => refuse(board, attempt, RefusalKind.OutcomeUnknown, `instance ${id}, which had the call, is gone`))
    },
    [CallEventKind.CallTick]: (board, _event, { nowMs }) => {
      expireIssuedKeys(board, nowMs)
      forgetIdleUsage(board, nowMs)
      return expireRecords(board, nowMs)
    }
  }
}

/** Claims of callers' own keys in the key-value service. */
export const keyController: Controller = {
  name: 'keys',
  handlers: {
    [CallEventKind.KeyRecorded]: (board, { organisation, key, nonce }, context) => {
      const { record, dispatcher } = claimOf(board, organisation, key, nonce)
      if (record === undefined || dispatcher === undefined) return []
      const wanted = board.calls.get(record.newest)?.open === true
      if (wanted) return dispatch(board, dispatcher, context)
      return settleWithRefusal(board, dispatcher, { outcome: CallOutcome.NotRun, refusal: RefusalKind.OutcomeUnknown, detail: 'the caller has gone' })
    },
    [CallEventKind.KeyTaken]: (board, { organisation, key, nonce, instance, incarnation, bodyHash, outcome }, context) => {
      const { record, dispatcher } = claimOf(board, organisation, key, nonce)
      if (record === undefined || dispatcher === undefined) return []
      const newest = board.calls.get(record.newest)
      board.issuedKeys.records.delete(recordId(record))
      const actions = newest === dispatcher ? [] : endAttempt(board, dispatcher)
      if (newest === undefined) return actions
      if (!newest.open) return [...actions, ...endAttempt(board, newest)]
      if (bodyHash !== newest.bodyHash) return [...actions, ...refuse(board, newest, RefusalKind.KeyReused, 'the key was used with another body')]
      return [...actions, ...forward(board, newest, { instance, incarnation, detail: `the record of the key says: ${outcome}` }, context)]
    },
    [CallEventKind.KeyRecordFailed]: (board, { organisation, key, nonce, refusal }) => {
      const { dispatcher } = claimOf(board, organisation, key, nonce)
      if (dispatcher === undefined) return []
      const failure = { outcome: CallOutcome.NotRun, refusal, detail: 'the key could not be recorded; the call was not sent' } as const
      // No outcome is written: the key-value service does not answer, and the claim is known here as abandoned.
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

function startRepeatable (board: Board, attempt: CallAttempt, route: Route, context: Context): Action[] {
  if (!acquireQuota(board, attempt, context.nowMs)) return overLimit(board, attempt)
  addRetryShare(board, route.service)
  return dispatch(board, attempt, context)
}

function overLimit (board: Board, attempt: CallAttempt): Action[] {
  return refuse(board, attempt, RefusalKind.OrganisationLimit, attempt.organisation)
}

function useKey (board: Board, attempt: CallAttempt, context: Context): Action[] {
  const { key } = attempt
  if (key === null) return refuse(board, attempt, RefusalKind.KeyMissing, attempt.route)
  return hasIssuedPrefix(key) ? useIssuedKey(board, attempt, key, context) : useOwnKey(board, attempt, key, context)
}

function useIssuedKey (board: Board, attempt: CallAttempt, key: string, context: Context): Action[] {
  const issued = parseIssuedKey(key)
  if (issued === null) return refuse(board, attempt, RefusalKind.KeyMalformed, 'no instance issues keys of this form')
  if (issued.incarnation !== board.self.incarnation) {
    return forward(board, attempt, { ...issued, detail: `instance ${issued.instance}, which issued the key, is gone` }, context)
  }
  if (!isIssuedTo(board, attempt.organisation, issued)) return refuse(board, attempt, RefusalKind.KeyMalformed, 'the key was never issued to this organisation')
  const known = findRecord(board, attempt.organisation, key)
  if (known !== undefined && (known.outcome !== CallOutcome.NotRun || known.bodyHash !== attempt.bodyHash)) return join(board, known, attempt)
  if (known === undefined && issued.number <= board.issuedKeys.expiredNumber) return refuse(board, attempt, RefusalKind.KeyExpired, 'the key was issued too long ago')
  return begin(board, attempt, { key, nonce: null }, context) ?? dispatch(board, attempt, context)
}

function useOwnKey (board: Board, attempt: CallAttempt, key: string, context: Context): Action[] {
  const known = findRecord(board, attempt.organisation, key)
  if (known !== undefined && (known.outcome !== CallOutcome.NotRun || known.bodyHash !== attempt.bodyHash)) return join(board, known, attempt)
  if (known === undefined && attempt.forwardedBy !== null) return refuse(board, attempt, RefusalKind.OutcomeUnknown, 'the holder of the key no longer knows its call')
  const nonce = context.nextId()
  const abandoned = known?.abandoned ?? []
  const refused = begin(board, attempt, { key, nonce }, context)
  if (refused !== null) return refused
  attempt.stage = CallStage.Claiming
  return [{ kind: CallActionKind.RecordKey, organisation: attempt.organisation, key, bodyHash: attempt.bodyHash, nonce, abandoned }]
}

/** Takes a place and opens the record of the key; returns the refusal if either is not possible. */
function begin (board: Board, attempt: CallAttempt, claim: { key: string, nonce: string | null }, { nowMs }: Context): Action[] | null {
  if (!acquireQuota(board, attempt, nowMs)) return overLimit(board, attempt)
  if (openRecord(board, attempt, { ...claim, nowMs }) !== null) return null
  return refuse(board, attempt, RefusalKind.Overloaded, 'too many keys are in use on this instance')
}

/** Joins a further attempt with the same key to what is known of its call. */
function join (board: Board, record: KeyRecord, attempt: CallAttempt): Action[] {
  if (record.bodyHash !== attempt.bodyHash) return refuse(board, attempt, RefusalKind.KeyReused, 'the key was used with another body')
  if (record.outcome === CallOutcome.InFlight) return supersede(board, record, attempt)
  if (record.answer !== null) return [{ kind: CallActionKind.AnswerCall, call: attempt.call, source: record.answer, replayed: true }, ...endAttempt(board, attempt)]
  const detail = record.outcome === CallOutcome.Unknown ? 'the backend server did not answer' : `the call ${record.outcome}; its answer is no longer stored`
  return refuse(board, attempt, RefusalKind.OutcomeUnknown, detail)
}

function supersede (board: Board, record: KeyRecord, attempt: CallAttempt): Action[] {
  const older = board.calls.get(record.newest)
  record.newest = attempt.call
  if (older === undefined) return []
  const actions = refuseOpen(older, RefusalKind.Superseded, 'a newer connection sent the same key')
  return older.call === record.dispatcher ? actions : [...actions, ...endAttempt(board, older)]
}

interface Claim {
  record?: KeyRecord
  dispatcher?: CallAttempt
}

/** The claim with this nonce, if it is still the present one of its key. */
function claimOf (board: Board, organisation: string, key: string, nonce: string): Claim {
  const record = findRecord(board, organisation, key)
  if (record === undefined || record.nonce !== nonce || record.outcome !== CallOutcome.InFlight) return {}
  const dispatcher = board.calls.get(record.dispatcher)
  return dispatcher?.stage === CallStage.Claiming ? { record, dispatcher } : {}
}
