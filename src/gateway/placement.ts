import type { OutputLength } from './output-length.js'

/** A model request that wants a place on a prefill and a decode runner. */
export interface PlacementRequest {
  id: string
  service: string
  failureDomain: string
  promptTokens: number
  output: OutputLength
  /** Same for each attempt of a caller at the same work; null if unknown. */
  promptId: string | null
  /** Time left until the first event of this attempt is late. */
  objectiveLeftMs: number
  /** How long the request may wait here before it is refused. */
  patienceMs: number
}

export interface Placement {
  /** Id of the prefill runner; null if the decode runner has to read the prompt itself. */
  prefill: string | null
  decode: string
}

export enum PlacementRefusal {
  /** No decode runner is known. */
  NoRunner = 'no-runner',
  /** Larger than the memory of every runner. */
  TooLarge = 'too-large',
  /** No decode runner had memory for the run in time. */
  NoMemory = 'no-memory',
  /** Decode memory was free, but no prefill runner could read the prompt in time. */
  PrefillBusy = 'prefill-busy',
  /** The caller left before the decision. */
  CallerDisconnected = 'caller-left'
}

export interface RefusedPlacement {
  refusal: PlacementRefusal
  /** When memory is expected to be free, in milliseconds. */
  retryAfterMs: number
  /** Requests that wait and runs that hold memory, as the desk saw them. */
  waiting: number
  runs: number
}

/** Called once with the decision on a request. */
export type Decide = (decision: Placement | RefusedPlacement) => void

/** How far a run has come, as reported by the instance that serves it. */
export interface RunProgress {
  id: string
  service: string
  decode: string
  promptTokens: number
  output: OutputLength
  madeTokens: number
}
