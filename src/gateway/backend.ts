/** What a model runner is used for. */
export enum RunnerRole {
  Prefill = 'prefill',
  Decode = 'decode',
  /** A server of a plain service. */
  None = 'none'
}

export enum ServerState {
  Ready = 'ready',
  Leaving = 'leaving'
}

/** A backend server as it describes itself in the platform's store. */
export interface BackendServer {
  id: string
  service: string
  /** IP number and port. */
  address: string
  failureDomain: string
  state: ServerState
  stage: RunnerRole
  slots: number
  /** Unix millisecond of the start; tells a restart under the same id. */
  startedAtMs: number
}

/** Identifies one life of a backend server. */
export function incarnationOf (backend: BackendServer): string {
  return `${backend.id}@${backend.startedAtMs}@${backend.address}`
}
