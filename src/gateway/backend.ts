import { isIPv4 } from 'node:net'

const MAX_PORT = 65_535

/** Stage of a model request that a runner computes. */
export enum RunnerRole {
  Prefill = 'prefill',
  Decode = 'decode',
  /** The server belongs to a plain service, which does not run a model. */
  None = 'none'
}

export enum ServerState {
  /** The server may get new requests. */
  Ready = 'ready',
  /** The server is draining and gets no new requests. */
  Leaving = 'leaving'
}

/** A backend server as registered in the platform's store. */
export interface BackendServer {
  id: string
  service: string
  /** IP address and port. */
  address: string
  failureDomain: string
  state: ServerState
  stage: RunnerRole
  /** Number of requests that the server runs at the same time. */
  slots: number
  /** Start time in Unix milliseconds, which distinguishes a restarted server from the previous one with the same id; 0 if unknown. */
  startedAtMs: number
}

/** Key of one incarnation of a backend server; it changes when the server restarts or moves to another address. */
export function incarnationOf (backend: BackendServer): string {
  return `${backend.id}@${backend.startedAtMs}@${backend.address}`
}

/** Whether a connection can be made to this address: Node.js throws for a port out of range and looks up a malformed IP address as a host name. */
export function isServerAddress (text: string): boolean {
  const [ip = '', port = '', ...rest] = text.split(':')
  return rest.length === 0 && isIPv4(ip) && /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= MAX_PORT
}
