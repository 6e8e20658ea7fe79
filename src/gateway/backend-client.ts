import type { BackendServer, RunnerRole } from './backend.js'
import type { CallerRequest } from './caller-request.js'
import type { Exchange, ResponseHead } from './http-exchange.js'

/** Reference to the KV cache of a prompt that a prefill runner holds for a decode runner. */
export interface KvCacheHandle {
  /** Address of the prefill runner. */
  address: string
  handle: string
  /** The prefill runner; undefined if it is not known. */
  server?: BackendServer
}

/** Options for sending a caller's request to one server. */
export interface SendOptions {
  request: CallerRequest
  backend: BackendServer
  /** Time within which the server must finish, in milliseconds. */
  deadlineMs: number
  /** Longest wait for the response head, in milliseconds. */
  headTimeoutMs: number
  /** Opens a new connection for this request only. */
  ownConnection: boolean
  /** Name of the organisation whose key the caller sent; null or undefined on a route that needs none. */
  organisation?: string | null
  /** Asked just before the request is written; if it returns false, the request is not sent. */
  maySend?: () => boolean
  /** Urgency of a model request at its runner, 0 is the most urgent; by it the runner chooses which run yields when memory runs out. */
  priority?: number
  /** Runs only the prefill, without decoding. */
  prefillOnly?: boolean
  /** KV cache of the prompt, if a prefill runner has computed it. */
  kvCache?: KvCacheHandle | null
  /** Id of the event after which the stream resumes. Null starts the stream at its beginning; undefined uses the id that the caller sent. */
  lastEventId?: string | null
}

/** Meaning of a response head for the request that was sent. */
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

/** Order that makes a runner switch to another role. */
export interface RoleOrder {
  backend: BackendServer
  role: RunnerRole.Prefill | RunnerRole.Decode
  /** Id of the gateway instance that sends the order. */
  holder: string
  fencingToken: number
  /** Number of orders that the runner must have accepted before this one. It refuses the order at any other number, so that a delayed order does not override a newer one. */
  expectedOrdersAccepted: number
  /** Asked just before the order is written; if it returns false, the order is not sent. */
  maySend?: () => boolean
}

/** State of a runner's role orders, as the runner reports it with a delay of some hundred milliseconds. */
export interface RunnerState {
  /** Number of orders accepted since the runner started. */
  ordersAccepted: number
  orderInProgress: boolean
}

/** Result of an order: accepted (or already applied), refused, or unknown because no response arrived. */
export type OrderOutcome = 'accepted' | 'refused' | 'unknown'

/** Client of the backend servers. */
export interface BackendClient {
  /** Called as soon as the head of any answer says that its server leaves. `byOther` is true if the answer may come from another server at the same address. */
  onLeaving: (backend: BackendServer, byOther: boolean) => void
  /** Called as soon as the head of a 503 says for how long its server wants nothing from this instance, in milliseconds. */
  onPause: (backend: BackendServer, retryAfterMs: number) => void
  send: (options: SendOptions) => Exchange
  classifyResponse: (options: SendOptions, head: ResponseHead) => ResponseMeaning
  /** Requests per second that the server takes from all instances together, as its response names it; null if it names none, undefined if what it names is malformed. */
  statedLimit: (backend: BackendServer, head: ResponseHead) => number | null | undefined
  /** Parses the body of a prefill response; null if it is malformed. */
  parsePrefillResponse: (backend: BackendServer, body: Buffer) => KvCacheHandle | null
  /** Null if the runner does not respond or its response is malformed. */
  readRunnerState: (backend: BackendServer) => Promise<RunnerState | null>
  sendOrder: (order: RoleOrder) => Promise<OrderOutcome>
  /** Frees the KV cache of a prompt that will not be used. */
  freeKvCache: (handle: KvCacheHandle) => void
}
