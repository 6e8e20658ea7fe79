import type { Board } from '../board/board.js'
import { CallActionKind } from '../calls/call-action.js'
import { CallEventKind, CallOutcome } from '../calls/call-event.js'
import type { Event } from '../core/event.js'
import { RefusalKind } from '../errors/refusal.js'
import type { Peers } from '../ports/peers.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import { checkKey } from './call-handler.js'
import type { CallerHandler } from './caller-listener.js'
import type { KeyRecorder } from './key-recorder.js'
import type { MessageHandlers } from './peer-events.js'
import { PeerMessageKind } from './peer-message.js'
import { sendRefusal } from './refusal-response.js'
import { RequestError } from './request-error.js'

export const OUTCOME_PATH = '/v1/outcomes/'

interface OutcomeResult {
  outcome: CallOutcome
  detail: string
  refusal: RefusalKind | null
}

/** Callbacks of the outcome queries that wait for a result, by the id of the query. */
export type OutcomeQueries = Map<string, (result: OutcomeResult) => void>

interface OutcomeOptions {
  board: Board
  queries: OutcomeQueries
  emit: (event: Event) => void
  nextId: () => string
}

/** Handles `GET /v1/outcomes/KEY`: returns the known outcome of the call with that key of the caller's organisation. */
export function outcomeHandler ({ queries, emit, nextId }: OutcomeOptions): CallerHandler {
  return ({ organisation, response, path }) => {
    const key = checkKey(decodeSegment(path.slice(OUTCOME_PATH.length)))
    const query = nextId()
    queries.set(query, ({ outcome, detail, refusal }) => {
      if (refusal !== null) {
        sendRefusal(response, { kind: refusal, detail })
        return
      }
      response.writeHead(200, { 'content-type': 'application/json', 'cache-control': 'no-store' })
      response.end(JSON.stringify({ key, outcome, detail }))
    })
    response.on('close', () => queries.delete(query))
    emit({ kind: CallEventKind.OutcomeQueried, query, organisation: organisation.id, key, forwardedBy: null })
  }
}

/** Action handlers that answer outcome queries, forward them to other instances and read the records of callers' own keys. */
export function outcomeActions ({ queries, recorder, peers, emit }: { queries: OutcomeQueries, recorder: KeyRecorder, peers: Peers, emit: (event: Event) => void }): ActionHandlers {
  return {
    [CallActionKind.AnswerOutcome]: ({ query, outcome, detail, refusal }) => {
      queries.get(query)?.({ outcome, detail, refusal })
      queries.delete(query)
    },
    [CallActionKind.ForwardOutcomeQuery]: ({ query, organisation, key, instance, incarnation }) => {
      peers.send(instance, { kind: PeerMessageKind.OutcomeQuery, query, organisation, key, incarnationWanted: incarnation })
    },
    [CallActionKind.ReadOutcomeRecord]: async ({ query, organisation, key }) => {
      const found = await recorder.find(organisation, key)
      if (found.err) {
        emit({ kind: CallEventKind.OutcomeQueryAnswered, query, outcome: CallOutcome.Unknown, detail: found.val.detail, refusal: RefusalKind.KeyStoreUnavailable })
      } else if (found.val === null) {
        // The record of a key is removed after the key's lifetime, so a missing record does not prove that no call ran.
        emit({ kind: CallEventKind.OutcomeQueryAnswered, query, outcome: CallOutcome.Unknown, detail: 'no call with this key is on record within the key lifetime', refusal: null })
      } else {
        const { instance, incarnation, outcome } = found.val
        emit({ kind: CallEventKind.OutcomeRecordRead, query, organisation, key, instance, incarnation, outcome })
      }
    }
  }
}

/** Message handlers for outcome queries from other instances, and for results of queries that were forwarded to them. */
export function outcomeEvents ({ board, queries, peers, emit }: OutcomeOptions & { peers: Peers }): MessageHandlers {
  return {
    [PeerMessageKind.OutcomeQuery]: ({ query, organisation, key, incarnationWanted }, from) => {
      const sendResult = (result: OutcomeResult): void => peers.send(from, { kind: PeerMessageKind.OutcomeAnswer, query, ...result })
      if (incarnationWanted !== board.self.incarnation) {
        sendResult({ outcome: CallOutcome.Unknown, detail: `instance ${board.self.id} was restarted since it issued the key`, refusal: null })
        return
      }
      queries.set(query, sendResult)
      emit({ kind: CallEventKind.OutcomeQueried, query, organisation, key, forwardedBy: from })
    },
    [PeerMessageKind.OutcomeAnswer]: ({ query, outcome, detail, refusal }) => {
      emit({ kind: CallEventKind.OutcomeQueryAnswered, query, outcome, detail, refusal })
    }
  }
}

function decodeSegment (text: string): string {
  try {
    return decodeURIComponent(text)
  } catch {
    throw new RequestError(RefusalKind.KeyMalformed, 'the key in the path is not URL-encoded')
  }
}
