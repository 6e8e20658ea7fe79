/** Kind of a route; it determines whether requests on the route may be retried. */
export enum RouteKind {
  /** A request may run more than once. */
  Idempotent = 'idempotent',
  /** A request may run at most once for each time that the caller sends it. */
  NonIdempotent = 'non-idempotent',
  /** The response is a stream of events; it may be resumed on another server only if the route is resumable. */
  Streaming = 'streaming'
}

export interface WeightedService {
  service: string
  weight: number
}

export interface Route {
  name: string
  host: string
  /** Starts and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** Longest time from the arrival of a request to its end, in milliseconds. */
  timeoutMs: number
  /** Latency objective for a response, or for the first event of a stream, in milliseconds. */
  targetLatencyMs: number
  /** Objective for the longest pause between two events of a stream, in milliseconds. */
  longestPauseMs: number
  services: WeightedService[]
  /** Largest number of backend servers that may receive one request. */
  attempts: number
  /** 0 is the highest priority. */
  priority: number
  /** Whether a broken stream may be resumed on another server. */
  resumable: boolean
  /** Whether requests need no key, even if the configuration has organisations. */
  anonymous: boolean
}

/** What the quota of an organisation counts. */
export enum QuotaUnit {
  Requests = 'requests',
  Tokens = 'tokens'
}

/** What an organisation may use, on all instances together. */
export interface Quota {
  unit: QuotaUnit
  /** Units per second. */
  perS: number
  /** Units that may be used in addition to the rate after a time of less use. */
  burst: number
  /** Tokens for which a request counts that states no token counts. */
  plainTokens: number
}

/** An organisation whose callers may send requests. */
export interface Organisation {
  name: string
  /** Hashes of its keys, as hashKey() computes them; the keys themselves are not kept. */
  keyHashes: string[]
  /** Goes before the priority of a route; null if the route's applies. */
  priority: number | null
  /** Null without a limit. */
  quota: Quota | null
}

/** Properties that all model runners of a service share. */
export interface EngineConfiguration {
  /** Number of requests that a runner runs at the same time. */
  slots: number
  /** Capacity of a runner's KV cache, in tokens. */
  memoryTokens: number
  /** Number of tokens in one event of a stream. */
  tokensPerEvent: number
  /** Time that a runner needs to change its role once its runs have ended, in milliseconds. */
  roleChangeMs: number
}

export interface Service {
  name: string
  /** Largest number of connections that one backend server accepts, from all callers together. */
  maxConnections: number
  /** Null for a plain service. */
  engine: EngineConfiguration | null
}

/** Limits on what a caller may send. */
export interface CallerLimits {
  headerBytes: number
  bodyBytes: number
  /** Longest time to receive the request headers, in milliseconds. */
  headerTimeoutMs: number
  /** Time after which an idle connection is closed, in milliseconds. */
  idleTimeoutMs: number
}

/** One version of the configuration that the operators write. */
export interface Configuration {
  version: number
  routes: Route[]
  services: Service[]
  limits: CallerLimits
  organisations: Organisation[]
  /** Whether requests need a key of an organisation, except on anonymous routes. */
  requiresKeys: boolean
}
