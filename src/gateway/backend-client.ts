import type { BackendServer, RunnerRole } from './backend.js'
import type { CallerRequest } from './caller-request.js'
import type { Exchange, ResponseHead } from './http-exchange.js'

/** Prompt memory that a prefill runner keeps for a decode runner. */
export interface PromptHandle {
  /** Address of the prefill runner. */
  address: string
  handle: string
}

/** One send of a caller's request to a server. */
export interface Dispatch {
  request: CallerRequest
  backend: BackendServer
  /** Time that the server may take, in milliseconds. */
  deadlineMs: number
  /** Longest wait for the head of the answer, in milliseconds. */
  headTimeoutMs: number
  ownConnection: boolean
  /** Only has the prompt read. */
  prefillOnly?: boolean
  /** Where the prompt has been read already. */
  source?: PromptHandle | null
  /** The event after which a stream goes on. */
  lastEventId?: string | null
}

/** What the head of an answer says beyond its status. */
export enum ResponseMeaning {
  /** The server's own answer to this request. */
  Answer = 'answer',
  /** The server states that it did not run the request. */
  NotRun = 'not-run',
  /** Another server has the address. */
  OtherServer = 'other-server',
  /** An answer to another request, or a success without the server's signature. */
  Invalid = 'invalid'
}

/** An order to a runner to take another role. */
export interface RoleOrder {
  backend: BackendServer
  role: RunnerRole.Prefill | RunnerRole.Decode
  holder: string
  fencingToken: number
  /** Orders that the runner had accepted before; with another number it refuses, so that an order carried out late undoes nothing newer. */
  ordersBefore: number
}

/** What a runner says of its orders, some hundred milliseconds late. */
export interface RunnerState {
  /** Orders accepted since its start. */
  ordersAccepted: number
  orderInProgress: boolean
}

/** What is known of an order: accepted or already in force, surely refused, or neither. */
export type OrderOutcome = 'accepted' | 'refused' | 'unknown'

/** Calls of backend servers, in the protocol that they speak. */
export interface BackendClient {
  send: (dispatch: Dispatch) => Exchange
  meaningOf: (dispatch: Dispatch, head: ResponseHead) => ResponseMeaning
  /** Decodes the answer to a prefill; null if it is not one. */
  promptHandle: (backend: BackendServer, body: Buffer) => PromptHandle | null
  /** Null if the runner does not answer. */
  readRunnerState: (backend: BackendServer) => Promise<RunnerState | null>
  sendOrder: (order: RoleOrder) => Promise<OrderOutcome>
  /** Frees prompt memory that will not be used. */
  freePrompt: (handle: PromptHandle) => void
}
