import type { PendingRequest } from './pending-request.js'
import type { Placement, RefusedPlacement } from './placement.js'

/** Finds runners for model requests and keeps the one who decides informed of what became of them. */
export interface Placer {
  /** Waits for a place; `excluded` names runners that failed this request already. */
  place: (pending: PendingRequest, excluded: string[]) => Promise<Placement | RefusedPlacement>
  /** The prompt has been read, or will not be by the prefill runner; the measured rate in tokens a millisecond, if any. */
  recordPrefillDone: (request: string, tokensPerMs: number | null) => void
  /** An event of the stream has arrived. */
  recordProgress: (request: string, eventId: string | null) => void
  /** A runner failed a request. */
  recordRunnerFailure: (service: string, server: string) => void
}
