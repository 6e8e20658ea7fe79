import type { PendingRequest } from './pending-request.js'
import type { Placement, RefusedPlacement } from './placement.js'

/** A request for another place for a run that goes on meanwhile. One of `accept` and `withdraw` has to be called. */
export interface AlternativePlacement {
  decision: Promise<Placement | RefusedPlacement>
  /** Makes the decided place that of the request and releases its present one. */
  accept: () => void
  /** Stops waiting for a decision and releases a place that has been decided. */
  withdraw: () => void
}

/** Finds runners for model requests and reports the progress and failures of their runs to the coordinator. */
export interface Placer {
  /** Waits for a placement or a refusal; `excluded` holds the ids of runners that have already failed this request. */
  place: (pending: PendingRequest, excluded: string[]) => Promise<Placement | RefusedPlacement>
  /** Asks for another place for a request that keeps its present one until the other one is accepted. `silentMs` is the time since the last event of its stream. */
  placeAlternative: (pending: PendingRequest, silentMs: number) => AlternativePlacement
  /** Records that the prefill runner has processed the prompt or will not process it; `tokensPerMs` is the measured rate, or null. */
  recordPrefillDone: (requestId: string, tokensPerMs: number | null) => void
  /** Records that an event of the stream has arrived. */
  recordProgress: (requestId: string, eventId: string | null) => void
  /** Records that a runner has failed a request. */
  recordRunnerFailure: (service: string, serverId: string) => void
}
