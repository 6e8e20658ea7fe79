import type { Board } from '../board/board.js'
import type { KeyRecord } from '../board/call-attempt.js'
import type { Action } from '../core/action.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { RefusalKind } from '../errors/refusal.js'
import { CallActionKind } from './call-action.js'
import { CallEventKind, CallOutcome, type OutcomeQueried } from './call-event.js'
import { canAsk } from './forwarding.js'
import { hasIssuedPrefix, parseIssuedKey } from './issued-key.js'
import { isIssuedTo } from './key-issue.js'
import { findRecord } from './key-records.js'

const FORWARD_LIMIT_MS = 1500

/** Answers questions about the outcome of a key. It keeps no state: an answer that comes too late finds no one waiting. */
export const outcomeController: Controller = {
  name: 'outcomes',
  handlers: {
    [CallEventKind.OutcomeQueried]: (board, event) => hasIssuedPrefix(event.key) ? issuedOutcome(board, event) : ownOutcome(board, event),
    [CallEventKind.OutcomeRecordRead]: (board, { query, organisation, key, instance, incarnation, outcome }) => {
      if (outcome !== CallOutcome.InFlight) return answer(query, outcome, '')
      return ask(board, { query, organisation, key, forwardedBy: null }, { instance, incarnation })
    },
    [CallEventKind.OutcomeFound]: (_board, { query, outcome, detail, refusal }) => [
      { kind: CallActionKind.AnswerOutcome, query, outcome, detail, refusal }
    ]
  }
}

type Question = Omit<OutcomeQueried, 'kind'>

function issuedOutcome (board: Board, question: Question): Action[] {
  const { query, organisation, key } = question
  const issued = parseIssuedKey(key)
  if (issued === null) return refuseQuery(query, 'no instance issues keys of this form')
  if (issued.incarnation !== board.self.incarnation) return ask(board, question, issued)
  if (!isIssuedTo(board, organisation, issued)) return refuseQuery(query, 'the key was never issued to this organisation')
  const record = findRecord(board, organisation, key)
  if (record !== undefined) return answerFrom(query, record)
  if (issued.number <= board.issuedKeys.expiredNumber) return answer(query, CallOutcome.Unknown, 'the key has expired')
  return answer(query, CallOutcome.NotRun, 'the key has not been used yet')
}

function ownOutcome (board: Board, question: Question): Action[] {
  const { query, organisation, key, forwardedBy } = question
  const record = findRecord(board, organisation, key)
  // Another instance may have claimed a key that was not run here, so the record in the key-value service decides.
  if (record !== undefined && (record.outcome !== CallOutcome.NotRun || forwardedBy !== null)) return answerFrom(query, record)
  if (forwardedBy !== null) return answer(query, CallOutcome.Unknown, 'the holder of the key no longer knows its call')
  return [{ kind: CallActionKind.FindOutcome, query, organisation, key }]
}

function ask (board: Board, { query, organisation, key, forwardedBy }: Question, { instance, incarnation }: { instance: string, incarnation: string }): Action[] {
  if (forwardedBy !== null || !canAsk(board, instance)) return answer(query, CallOutcome.Unknown, `instance ${instance}, which holds the key, is gone`)
  const lost = { kind: CallEventKind.OutcomeFound, query, outcome: CallOutcome.Unknown, detail: `instance ${instance} did not answer in time`, refusal: null } as const
  return [
    { kind: CallActionKind.ForwardOutcomeQuery, query, organisation, key, instance, incarnation },
    { kind: CoreActionKind.Schedule, afterMs: FORWARD_LIMIT_MS, event: lost }
  ]
}

function answerFrom (query: string, { outcome }: KeyRecord): Action[] {
  return answer(query, outcome, '')
}

function answer (query: string, outcome: CallOutcome, detail: string): Action[] {
  return [{ kind: CallActionKind.AnswerOutcome, query, outcome, detail, refusal: null }]
}

function refuseQuery (query: string, detail: string): Action[] {
  return [{ kind: CallActionKind.AnswerOutcome, query, outcome: CallOutcome.Unknown, detail, refusal: RefusalKind.KeyMalformed }]
}
