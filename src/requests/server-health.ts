import type { BackendServer } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import { recordFailure, recordSuccess } from '../placement/breaker.js'
import { StageFailure } from './request-event.js'

/** A runner whose load report is younger than this is alive, however long a stage takes. */
const LOAD_FRESH_MS = 1500

type Verdict = (server: BackendServer, nowMs: number) => void

/** What a failed stage says about the server that was asked. */
const verdicts: Record<StageFailure, Verdict> = {
  [StageFailure.Unreachable]: recordFailure,
  [StageFailure.Broken]: recordFailure,
  [StageFailure.TimedOut]: recordSlow,
  // A server that answers is alive, whatever it refuses.
  [StageFailure.Full]: recordSuccess,
  [StageFailure.Evicted]: recordSuccess,
  [StageFailure.Rejected]: recordSuccess,
  [StageFailure.SourceUnreachable]: recordSuccess,
  [StageFailure.Leaving]: recordSuccess
}

/** Enters the outcome of a stage in the circuit breaker of its server; null means success. */
export function recordOutcome (board: Board, server: string | null, failure: StageFailure | null, nowMs: number): void {
  const known = board.servers.get(server ?? '')
  if (known === undefined) return
  if (failure === null) recordSuccess(known)
  else verdicts[failure](known, nowMs)
}

/** Whether the server has reported its load lately. */
export function isAlive (board: Board, server: string | null, nowMs: number): boolean {
  const load = board.servers.get(server ?? '')?.load ?? null
  return load !== null && nowMs - load.reportedMs <= LOAD_FRESH_MS
}

function recordSlow (server: BackendServer, nowMs: number): void {
  const fresh = server.load !== null && nowMs - server.load.reportedMs <= LOAD_FRESH_MS
  if (fresh) server.breaker.trial = false
  else recordFailure(server, nowMs)
}
