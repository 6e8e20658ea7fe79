/** The part of a model request that a runner computes. */
export enum RunnerRole {
  Prefill = 'prefill',
  Decode = 'decode',
  /** The server belongs to a plain service, which runs no model. */
  None = 'none'
}

export enum ServerState {
  Ready = 'ready',
  Leaving = 'leaving'
}

/** A backend server as registered in the platform's store. */
export interface BackendServer {
  id: string
  service: string
  /** IP number and port. */
  address: string
  failureDomain: string
  state: ServerState
  stage: RunnerRole
  slots: number
  /** Start time in Unix milliseconds, which distinguishes a restarted server with the same id; 0 if unknown. */
  startedAtMs: number
}

/** Key of one incarnation of a backend server; it changes when the server restarts or moves to another address. */
export function incarnationOf (backend: BackendServer): string {
  return `${backend.id}@${backend.startedAtMs}@${backend.address}`
}
