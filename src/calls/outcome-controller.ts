import type { Board } from '../board/board.js'
import type { KeyRecord } from '../board/call-attempt.js'
import type { Action } from '../core/action.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { RefusalKind } from '../errors/refusal.js'
import { CallActionKind } from './call-action.js'
import { CallEventKind, CallOutcome, type OutcomeQueried } from './call-event.js'
import { isReachable } from './forwarding.js'
import { hasIssuedPrefix, parseIssuedKey } from './issued-key.js'
import { isIssuedTo } from './key-issue.js'
import { findRecord } from './key-records.js'

/** Longest wait for the answer to a forwarded query, in ms. */
const FORWARDED_QUERY_TIMEOUT_MS = 1500

/** Answers queries for the outcome of the call with a key. It keeps no state: the receiver of AnswerOutcome ignores a query that was already answered. */
export const outcomeController: Controller = {
  name: 'outcomes',
  handlers: {
    [CallEventKind.OutcomeQueried]: (board, event) => hasIssuedPrefix(event.key) ? handleIssuedKeyQuery(board, event) : handleCallerKeyQuery(board, event),
    [CallEventKind.OutcomeRecordRead]: (board, { query, organisation, key, instance, incarnation, outcome }) => {
      if (outcome !== CallOutcome.InFlight) return answerQuery(query, outcome, '')
      return forwardQuery(board, { query, organisation, key, forwardedBy: null }, { instance, incarnation })
    },
    [CallEventKind.OutcomeQueryAnswered]: (_board, { query, outcome, detail, refusal }) => [
      { kind: CallActionKind.AnswerOutcome, query, outcome, detail, refusal }
    ]
  }
}

type OutcomeQuery = Omit<OutcomeQueried, 'kind'>

function handleIssuedKeyQuery (board: Board, outcomeQuery: OutcomeQuery): Action[] {
  const { query, organisation, key } = outcomeQuery
  const issued = parseIssuedKey(key)
  if (issued === null) return refuseQuery(query, 'no instance issues keys of this form')
  if (issued.incarnation !== board.self.incarnation) return forwardQuery(board, outcomeQuery, issued)
  if (!isIssuedTo(board, organisation, issued)) return refuseQuery(query, 'the key was never issued to this organisation')
  const record = findRecord(board, organisation, key)
  if (record !== undefined) return answerFromRecord(query, record)
  if (issued.number <= board.issuedKeys.expiredNumber) return answerQuery(query, CallOutcome.Unknown, 'the key has expired')
  return answerQuery(query, CallOutcome.NotRun, 'the key has not been used yet')
}

function handleCallerKeyQuery (board: Board, outcomeQuery: OutcomeQuery): Action[] {
  const { query, organisation, key, forwardedBy } = outcomeQuery
  const record = findRecord(board, organisation, key)
  // If the call was not run here, another instance may have claimed the key, so the record in the key-value service decides.
  if (record !== undefined && (record.outcome !== CallOutcome.NotRun || forwardedBy !== null)) return answerFromRecord(query, record)
  if (forwardedBy !== null) return answerQuery(query, CallOutcome.Unknown, 'the holder of the key no longer knows its call')
  return [{ kind: CallActionKind.ReadOutcomeRecord, query, organisation, key }]
}

function forwardQuery (board: Board, { query, organisation, key, forwardedBy }: OutcomeQuery, { instance, incarnation }: { instance: string, incarnation: string }): Action[] {
  if (forwardedBy !== null || !isReachable(board, instance)) return answerQuery(query, CallOutcome.Unknown, `instance ${instance}, which holds the key, is gone`)
  const timeoutEvent = { kind: CallEventKind.OutcomeQueryAnswered, query, outcome: CallOutcome.Unknown, detail: `instance ${instance} did not answer in time`, refusal: null } as const
  return [
    { kind: CallActionKind.ForwardOutcomeQuery, query, organisation, key, instance, incarnation },
    { kind: CoreActionKind.Schedule, afterMs: FORWARDED_QUERY_TIMEOUT_MS, event: timeoutEvent }
  ]
}

function answerFromRecord (query: string, { outcome }: KeyRecord): Action[] {
  return answerQuery(query, outcome, '')
}

function answerQuery (query: string, outcome: CallOutcome, detail: string): Action[] {
  return [{ kind: CallActionKind.AnswerOutcome, query, outcome, detail, refusal: null }]
}

function refuseQuery (query: string, detail: string): Action[] {
  return [{ kind: CallActionKind.AnswerOutcome, query, outcome: CallOutcome.Unknown, detail, refusal: RefusalKind.KeyMalformed }]
}
