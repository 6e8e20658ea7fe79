/** Kinds of backend server. */
export enum ServerKind {
  Model = 'model',
  Plain = 'plain'
}

/** Which phase of a model request a runner serves. */
export enum RunnerRole {
  Prefill = 'prefill',
  Decode = 'decode',
  None = 'none'
}

export enum ServerState {
  Live = 'live',
  Leaving = 'leaving'
}

/** The load that a runner last reported of itself; it lags behind the actual load. */
export interface LoadReport {
  /** Pieces of KV memory; the bundle sets the number of tokens in a piece. */
  freePieces: number
  totalPieces: number
  batch: number
  queuedTokens: number
  linkBusyMs: number
  reportedMs: number
  /** True if the server reports that it takes no new work; absent if the report doesn't say. */
  leaving?: boolean
}

/** Circuit breaker of one backend server. */
export interface Breaker {
  failures: number
  openUntilMs: number
  /** True while the one trial request of a half-open breaker is in flight. */
  trial: boolean
}

/** A backend server as this instance sees it. */
export interface BackendServer {
  id: string
  /** IP address and port. */
  address: string
  service: string
  kind: ServerKind
  role: RunnerRole
  model: string
  failureDomain: string
  region: string
  state: ServerState
  load: LoadReport | null
  breaker: Breaker
  /** Number of requests and calls that this instance currently has on the server. */
  inFlight: number
  /** Prompt tokens of the requests that this instance has assigned to the server and whose prefill has not ended. */
  assignedTokens: number
}
