import type { BackendServer, LoadReport } from '../board/backend-server.js'

export enum ServerEventKind {
  InstanceListRead = 'instance-list-read',
  InstanceListUnreadable = 'instance-list-unreadable',
  LoadReported = 'load-reported',
  LoadUnreadable = 'load-unreadable',
  ServerLeaving = 'server-leaving',
  CacheReported = 'cache-reported',
  CacheReset = 'cache-reset',
  ServerTick = 'server-tick'
}

/** Entry of a backend server in the platform's instance list. */
export type ListedServer = Pick<BackendServer, 'address' | 'failureDomain' | 'id' | 'kind' | 'model' | 'region' | 'role' | 'service' | 'state'>

/** Entry of an entry instance in the platform's instance list. */
export interface ListedInstance {
  id: string
  callerAddress: string
  peerAddress: string
  failureDomain: string
  region: string
  leaving: boolean
}

export interface InstanceListRead {
  kind: ServerEventKind.InstanceListRead
  servers: ListedServer[]
  instances: ListedInstance[]
}

export interface InstanceListUnreadable {
  kind: ServerEventKind.InstanceListUnreadable
  detail: string
}

export interface LoadReported {
  kind: ServerEventKind.LoadReported
  server: string
  load: LoadReport
}

export interface LoadUnreadable {
  kind: ServerEventKind.LoadUnreadable
  server: string
}

/** A server refused work because it is leaving. */
export interface ServerLeaving {
  kind: ServerEventKind.ServerLeaving
  server: string
}

/** Prefix pieces that an engine added to its cache or removed from it, by its changes `firstSequence` to `lastSequence`. */
export interface CacheReported {
  kind: ServerEventKind.CacheReported
  server: string
  firstSequence: number
  lastSequence: number
  added: string[]
  removed: string[]
}

/** The engine's full list of cached pieces as of change number `sequence`; it is read after a gap in the reports. */
export interface CacheReset {
  kind: ServerEventKind.CacheReset
  server: string
  sequence: number
  pieces: string[]
}

/** Periodic tick on which load reports and cache events are read. */
export interface ServerTick {
  kind: ServerEventKind.ServerTick
}

export type ServerEvent =
  | CacheReported
  | CacheReset
  | InstanceListRead
  | InstanceListUnreadable
  | LoadReported
  | LoadUnreadable
  | ServerLeaving
  | ServerTick
