/** A request that waits for admission. */
export interface QueuedRequest {
  request: string
  organisation: string
  model: string
  tokens: number
  priority: number
  /** True once the request is expected to miss its first-token target; it is then served after all others. */
  deferred: boolean
  /** Virtual finish time of the request in fair queueing. */
  tag: number
}

/** Admission state of one organisation on this instance. */
export interface OrganisationUsage {
  inFlight: number
  /** Tokens in the bucket of the rate limit at `filledMs`; each request takes one. */
  allowance: number
  filledMs: number
  /** Virtual finish time of its last queued request. */
  lastTag: number
}

/** Admission state of one instance. */
export interface AdmissionTable {
  queue: QueuedRequest[]
  queuedTokens: number
  /** Admission time of each admitted request that has no reservation yet, by request. */
  asking: Map<string, number>
  /** Requests that were admitted although they are expected to miss their first-token target; they rank below all others. */
  late: Set<string>
  /** Prompt tokens of admitted requests whose prefill has not finished, by request. */
  prefilling: Map<string, { model: string, tokens: number }>
  /** Requests that count towards the concurrency limit of their organisation. */
  limited: Set<string>
  organisations: Map<string, OrganisationUsage>
  virtualTime: number
  /** Estimated time between granted reservations while requests wait, by model. */
  grantPeriodMs: Map<string, number>
  lastGrantMs: Map<string, number>
  /** Estimated time between tokens of this instance's streams, by model. */
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
