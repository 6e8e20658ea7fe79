/** A request that waits for admission. */
export interface QueuedRequest {
  request: string
  organisation: string
  model: string
  tokens: number
  priority: number
  /** True once the first-token target can't be met: it is served after all others. */
  deferred: boolean
  /** Virtual finish time of fair queueing. */
  tag: number
}

/** What admission knows of one organisation on this instance. */
export interface OrganisationUsage {
  inFlight: number
  /** Requests that may still start now by the rate limit, as of `filledMs`. */
  allowance: number
  filledMs: number
  /** Virtual finish time of its last queued request. */
  lastTag: number
}

/** State of admission on one instance. */
export interface AdmissionTable {
  queue: QueuedRequest[]
  queuedTokens: number
  /** Admitted requests without a place yet, and when they were admitted. */
  asking: Map<string, number>
  /** Admitted requests that can't meet their first-token target: they give way to all others. */
  late: Set<string>
  /** Prompt tokens of admitted requests whose prefill has not finished, by request. */
  prefilling: Map<string, { model: string, tokens: number }>
  /** Requests that count in the limits of their organisation. */
  limited: Set<string>
  organisations: Map<string, OrganisationUsage>
  virtualTime: number
  /** Estimated time between grants while requests wait, by model. */
  grantPeriodMs: Map<string, number>
  lastGrantMs: Map<string, number>
  /** Time between tokens of this instance's streams, by model. */
  tokenPeriodMs: Map<string, number>
}

export function createAdmissionTable (): AdmissionTable {
  return {
    queue: [],
    queuedTokens: 0,
    asking: new Map(),
    late: new Set(),
    prefilling: new Map(),
    limited: new Set(),
    organisations: new Map(),
    virtualTime: 0,
    grantPeriodMs: new Map(),
    lastGrantMs: new Map(),
    tokenPeriodMs: new Map()
  }
}
