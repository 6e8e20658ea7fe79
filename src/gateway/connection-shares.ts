import type { BackendTable } from './backend-table.js'
import type { Configuration } from './configuration.js'
import type { InstanceTable } from './instance-table.js'

/** Share of a server's connections that the instances use together; the rest is for connections of stopped instances that the server has not closed yet, and for checks. */
const USABLE_SHARE = 0.9

/** Share of a server's connections that may be idle. Connections that an instance had when it lost power stay open at the server, and the instance opens new ones when it returns. */
const IDLE_SHARE = 0.5

/** Largest number of idle connections of one instance to one server; a usual instance needs no more. */
const MAX_IDLE_CONNECTIONS = 4

/** Smallest share of an instance, in connections: with less, two requests at the same moment could not both be sent. */
const MIN_CONNECTIONS = 4

/** Number of connections that one instance may hold to one server. */
export interface ConnectionShare {
  /** Connections in use and idle ones. */
  total: number
  idle: number
}

/** Share of an instance that does not know the limit of the server. */
export const UNLIMITED_SHARE: ConnectionShare = { total: Infinity, idle: MAX_IDLE_CONNECTIONS }

interface Fleet {
  backends: Pick<BackendTable, 'all'>
  instances: Pick<InstanceTable, 'knownCount'>
  configuration: Configuration | null
}

/** Connections that an instance may hold to the server at an address. */
export function connectionShareOf ({ backends, instances, configuration }: Fleet, address: string): ConnectionShare {
  const service = backends.all().find((backend) => backend.address === address)?.service
  const maxConnections = configuration?.services.find(({ name }) => name === service)?.maxConnections
  return connectionShare({ maxConnections, instances: instances.knownCount() })
}

/** Divides the connections that a server accepts equally between the instances. All of them know the configuration and each other, so this takes no message. `maxConnections` is undefined if the limit is not known. */
export function connectionShare ({ maxConnections, instances }: { maxConnections: number | undefined, instances: number }): ConnectionShare {
  if (maxConnections === undefined) return UNLIMITED_SHARE
  const each = maxConnections / Math.max(1, instances)
  return {
    total: Math.max(MIN_CONNECTIONS, Math.floor(each * USABLE_SHARE)),
    idle: Math.min(MAX_IDLE_CONNECTIONS, Math.max(1, Math.floor(each * IDLE_SHARE)))
  }
}
