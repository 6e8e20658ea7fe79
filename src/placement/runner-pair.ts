import type { BackendServer } from '../board/backend-server.js'

/** Runners chosen for one attempt of a request. */
export interface RunnerPair {
  prefill: BackendServer
  decode: BackendServer
  /** Estimated time until the prefill result is ready; 0 from policies that do not estimate it. */
  prefillMs: number
}
