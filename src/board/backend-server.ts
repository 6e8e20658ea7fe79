/** Kinds of backend server. */
export enum ServerKind {
  Model = 'model',
  Plain = 'plain'
}

/** Which stage of a model request a runner takes. */
export enum RunnerRole {
  Prefill = 'prefill',
  Decode = 'decode',
  None = 'none'
}

export enum ServerState {
  Live = 'live',
  Leaving = 'leaving'
}

/** A runner's own report, which lags. */
export interface LoadReport {
  freePieces: number
  totalPieces: number
  batch: number
  queuedTokens: number
  linkBusyMs: number
  reportedMs: number
  /** The server says that it takes no new work; false if absent. */
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
  /** IP number and port. */
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
  /** Work this instance has on the server now. */
  inFlight: number
  /** Prompt tokens this instance has sent to the server and not seen finished. */
  assignedTokens: number
}
