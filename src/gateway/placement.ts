import type { OutputLength } from './output-length.js'
import type { RunnerPause } from './server-pauses.js'

/** A model request to be placed on a prefill runner and a decode runner. */
export interface PlacementRequest {
  id: string
  service: string
  failureDomain: string
  /** Name of the caller's organisation; empty if the request has none. */
  organisation: string
  /** Priority of the organisation, or of the route if it has none; 0 is the most urgent. */
  priority: number
  promptTokens: number
  output: OutputLength
  /** Identifies the prompt, the same when the caller retries with a new request id; null if unknown. */
  promptId: string | null
  /** Time left until the first event of this request is late, in milliseconds; negative if it is late already. */
  objectiveLeftMs: number
  /** Longest time that the request may wait in the scheduler before it is refused, in milliseconds. */
  patienceMs: number
  /** Longest time after which the caller returns if it is refused, in milliseconds; null if unknown. */
  longestReturnMs: number | null
  /** Runners that have turned the requesting instance away; other instances may use them. */
  pauses: RunnerPause[]
}

export interface Placement {
  /** Id of the prefill runner; null if the decode runner has to process the prompt itself. */
  prefill: string | null
  decode: string
}

export enum PlacementRefusal {
  /** No decode runner is ready. */
  NoRunner = 'no-runner',
  /** The prompt is too large for a runner's memory. */
  TooLarge = 'too-large',
  /** No decode runner had memory for the run in time. */
  NoMemory = 'no-memory',
  /** Every decode runner that could take the run has used up its limit of requests. */
  RateLimited = 'rate-limited',
  /** Every decode runner has turned the requesting instance away for a time. */
  Paused = 'paused',
  /** Decode memory was free, but no prefill runner could process the prompt in time. */
  PrefillBusy = 'prefill-busy',
  /** No coordinator answered. */
  NoCoordinator = 'no-coordinator',
  /** The caller disconnected before the decision. */
  CallerDisconnected = 'caller-left'
}

export interface RefusedPlacement {
  refusal: PlacementRefusal
  /** Time after which memory is expected to be free, in milliseconds. */
  retryAfterMs: number
  /** Number of requests waiting in the scheduler at the decision. */
  waiting: number
  /** Number of runs in the scheduler at the decision. */
  runs: number
}

/** Called at most once, with the decision on a request. */
export type DecisionCallback = (decision: Placement | RefusedPlacement) => void

/** Progress of a run, as reported by the instance that serves it. */
export interface RunProgress {
  id: string
  service: string
  decode: string
  promptTokens: number
  output: OutputLength
  madeTokens: number
}
