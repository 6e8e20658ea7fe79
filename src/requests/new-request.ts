import type { Board } from '../board/board.js'
import { type ModelRequest, RequestStage } from '../board/model-request.js'
import type { RequestArrived } from './request-event.js'

/** Deadline of a request whose organisation has no class in the active bundle, in milliseconds after its arrival. */
const DEFAULT_DEADLINE_MS = 30000

/** Creates the blackboard record of a request that has just arrived. */
export function newRequest (board: Board, event: RequestArrived, nowMs: number): ModelRequest {
  const { request, organisation, model, promptTokens, pieces, maxTokens, stream } = event
  const requestClass = classOf(board, organisation)
  return {
    id: request,
    organisation,
    model,
    class: requestClass?.name ?? '',
    promptTokens,
    pieces,
    maxTokens,
    stream: stream ?? false,
    arrivedMs: nowMs,
    deadlineMs: nowMs + (requestClass?.deadlineMs ?? DEFAULT_DEADLINE_MS),
    stage: RequestStage.Queued,
    attempt: 0,
    prefillServer: null,
    prefillAttempt: 0,
    prefillAddress: '',
    decodeServer: null,
    keeper: null,
    reserved: false,
    assigned: false,
    handle: null,
    handleExpiresMs: 0,
    transferMs: 0,
    tokens: 0,
    firstTokenMs: null,
    excluded: [],
    ran: false,
    failures: 0,
    denials: 0,
    unplaced: 0,
    resumes: 0,
    lastFault: ''
  }
}

/** The class of the organisation, or undefined if the active bundle has none for it. */
function classOf (board: Board, organisation: string): { name: string, deadlineMs: number } | undefined {
  const index = board.bundle?.index
  return index?.classes.get(index.organisations.get(organisation)?.class ?? '')
}
