export enum ServerActionKind {
  ReadCacheEvents = 'read-cache-events',
  ReadCache = 'read-cache'
}

/** Reads an engine's cache events that follow a sequence number. */
export interface ReadCacheEvents {
  kind: ServerActionKind.ReadCacheEvents
  server: string
  after: number
}

/** Reads the full list of an engine's cached pieces. */
export interface ReadCache {
  kind: ServerActionKind.ReadCache
  server: string
}

export type ServerAction = ReadCache | ReadCacheEvents
