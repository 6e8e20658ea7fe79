import type { BackendServer } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import { recordFailure, recordSuccess } from '../placement/breaker.js'
import { StageFailure } from './request-event.js'

/** Maximum age of a load report that shows that a runner is alive, even if its stages take long, in milliseconds. */
const MAX_FRESH_LOAD_AGE_MS = 1500

type OutcomeRecorder = (server: BackendServer, nowMs: number) => void

/** How each stage failure is recorded in the circuit breaker of the server that was called. */
const failureRecorders: Record<StageFailure, OutcomeRecorder> = {
  [StageFailure.Unreachable]: recordFailure,
  [StageFailure.Broken]: recordFailure,
  [StageFailure.TimedOut]: recordTimeout,
  // A server that responds is alive, even if it refuses the work.
  [StageFailure.Full]: recordSuccess,
  [StageFailure.Evicted]: recordSuccess,
  [StageFailure.Rejected]: recordSuccess,
  [StageFailure.SourceUnreachable]: recordSuccess,
  [StageFailure.Leaving]: recordSuccess
}

/** Records the outcome of a stage in the circuit breaker of its server; a `failure` of null means success. */
export function recordOutcome (board: Board, server: string | null, failure: StageFailure | null, nowMs: number): void {
  const found = board.servers.get(server ?? '')
  if (found === undefined) return
  if (failure === null) recordSuccess(found)
  else failureRecorders[failure](found, nowMs)
}

/** Whether the last load report of the server is recent enough to show that it is alive. */
export function hasFreshLoadReport (board: Board, server: string | null, nowMs: number): boolean {
  const load = board.servers.get(server ?? '')?.load ?? null
  return load !== null && nowMs - load.reportedMs <= MAX_FRESH_LOAD_AGE_MS
}

/** Records a timeout as a failure unless a fresh load report shows that the server is only slow; in that case it only ends the trial of a half-open breaker. */
function recordTimeout (server: BackendServer, nowMs: number): void {
  const fresh = server.load !== null && nowMs - server.load.reportedMs <= MAX_FRESH_LOAD_AGE_MS
  if (fresh) server.breaker.trial = false
  else recordFailure(server, nowMs)
}
