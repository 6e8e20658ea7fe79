/** What may be repeated of the requests on a route. */
export enum RouteKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** May run at most once for each attempt of a caller. */
  NonIdempotent = 'non-idempotent',
  /** Answered by a series of events; may be continued elsewhere only on a resumable route. */
  Streaming = 'streaming'
}

export interface WeightedService {
  service: string
  weight: number
}

export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** Longest time a caller is kept waiting. */
  timeoutMs: number
  /** Time within which an answer, or the first event of a stream, is on time. */
  targetLatencyMs: number
  /** Longest pause between events for which a stream is on time. */
  longestPauseMs: number
  services: WeightedService[]
  /** Backend servers to which one request may be sent. */
  attempts: number
  /** 0 is the highest. */
  priority: number
  resumable: boolean
}

/** Properties that all model runners of a service share. */
export interface EngineConfiguration {
  slots: number
  memoryTokens: number
  /** Tokens in one event of a stream. */
  tokensPerEvent: number
}

export interface Service {
  name: string
  /** Connections that one backend server accepts from all callers together. */
  maxConnections: number
  /** Null for a plain service. */
  engine: EngineConfiguration | null
}

/** Limits on what a caller may send. */
export interface CallerLimits {
  headerBytes: number
  bodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** One accepted version of the operators' configuration. */
export interface Configuration {
  version: number
  routes: Route[]
  services: Service[]
  limits: CallerLimits
}
