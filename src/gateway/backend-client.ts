import type { BackendServer, RunnerRole } from './backend.js'
import type { CallerRequest } from './caller-request.js'
import type { Exchange, ResponseHead } from './http-exchange.js'

/** KV cache of a prompt that a prefill runner holds for a decode runner. */
export interface PromptHandle {
  /** Address of the prefill runner. */
  address: string
  handle: string
}

/** Options for sending a caller's request to one server. */
export interface Dispatch {
  request: CallerRequest
  backend: BackendServer
  /** Time in which the server has to finish, in milliseconds. */
  deadlineMs: number
  /** Longest wait for the response head, in milliseconds. */
  headTimeoutMs: number
  /** Opens a new connection for this request only. */
  ownConnection: boolean
  /** Runs only the prefill, without decoding. */
  prefillOnly?: boolean
  /** KV cache of the prompt, if a prefill runner has computed it. */
  source?: PromptHandle | null
  /** Id of the event after which a stream resumes; null starts at its beginning, undefined uses the id that the caller sent. */
  lastEventId?: string | null
}

/** Interpretation of a response head. */
export enum ResponseMeaning {
  /** The server's own response to this request. */
  Answer = 'answer',
  /** The server states that it did not run the request. */
  NotRun = 'not-run',
  /** The address now belongs to another server. */
  OtherServer = 'other-server',
  /** A response to another request, a success without the server's signature, or a rejection without the statement that the request did not run. */
  Invalid = 'invalid'
}

/** Order to a runner to switch to another role. */
export interface RoleOrder {
  backend: BackendServer
  role: RunnerRole.Prefill | RunnerRole.Decode
  holder: string
  fencingToken: number
  /** Expected number of orders that the runner has accepted. With any other number it refuses, so that a delayed order does not override a newer one. */
  ordersBefore: number
}

/** State of a runner's orders as it reports them, with a delay of some hundred milliseconds. */
export interface RunnerState {
  /** Number of orders accepted since the runner started. */
  ordersAccepted: number
  orderInProgress: boolean
}

/** Result of an order: accepted or already applied, refused, or unknown because no response arrived. */
export type OrderOutcome = 'accepted' | 'refused' | 'unknown'

/** Client for the protocol of the backend servers. */
export interface BackendClient {
  send: (dispatch: Dispatch) => Exchange
  meaningOf: (dispatch: Dispatch, head: ResponseHead) => ResponseMeaning
  /** Decodes the body of a prefill response; null if it is malformed. */
  decodePromptHandle: (backend: BackendServer, body: Buffer) => PromptHandle | null
  /** Null if the runner does not respond or its response is malformed. */
  readRunnerState: (backend: BackendServer) => Promise<RunnerState | null>
  sendOrder: (order: RoleOrder) => Promise<OrderOutcome>
  /** Frees the KV cache of a prompt that will not be used. */
  freePrompt: (handle: PromptHandle) => void
}
