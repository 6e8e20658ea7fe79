import type { BackendTable } from './backend-table.js'
import type { Configuration } from './configuration.js'
import type { InstanceTable } from './instance-table.js'

/** Share of a server's connections that may be idle. Connections that an instance had when it lost power stay open at the server, and the instance opens new ones when it returns. */
const IDLE_SHARE = 0.5

/** Largest number of idle connections of one instance to one server; a usual instance needs no more. */
export const MAX_IDLE_CONNECTIONS = 4

interface Fleet {
  backends: Pick<BackendTable, 'all'>
  instances: Pick<InstanceTable, 'knownCount'>
  configuration: Configuration | null
}

/** Number of idle connections that an instance may keep to the server at an address. */
export function idleShareOf ({ backends, instances, configuration }: Fleet, address: string): number {
  const service = backends.all().find((backend) => backend.address === address)?.service
  const maxConnections = configuration?.services.find(({ name }) => name === service)?.maxConnections
  return idleShare({ maxConnections, instances: instances.knownCount() })
}

/** Divides the connections that a server accepts equally between the instances. All of them know the configuration and each other, so this takes no message. `maxConnections` is undefined if the limit is not known. */
export function idleShare ({ maxConnections, instances }: { maxConnections: number | undefined, instances: number }): number {
  if (maxConnections === undefined) return MAX_IDLE_CONNECTIONS
  return Math.min(MAX_IDLE_CONNECTIONS, Math.max(1, Math.floor(maxConnections * IDLE_SHARE / Math.max(1, instances))))
}
