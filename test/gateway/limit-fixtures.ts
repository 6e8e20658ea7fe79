import { BackendTable } from '../../src/gateway/backend-table.js'
import { DEFAULT_CROSSING_PRICE, DomainCrossing } from '../../src/gateway/domain-crossing.js'
import { InstanceTable } from '../../src/gateway/instance-table.js'
import { LimitClient } from '../../src/gateway/limit-client.js'
import { LimitKeeper } from '../../src/gateway/limit-keeper.js'
import { PlaceClient } from '../../src/gateway/place-client.js'
import { PlaceScheduler } from '../../src/gateway/place-scheduler.js'
import { ServerLimits } from '../../src/gateway/server-limits.js'
import { ServerPauses } from '../../src/gateway/server-pauses.js'
import { recordingLog } from './gateway-fixtures.js'

/** Limits, pauses and places of servers as a single instance knows and keeps them, with a configuration that needs no keys. */
export function soleInstanceLimits (nowMs: () => number): { limits: ServerLimits, limitKeeper: LimitKeeper, limitClient: LimitClient, pauses: ServerPauses, keyCheck: { admits: () => boolean }, places: PlaceClient, crossing: DomainCrossing } {
  const limits = new ServerLimits({ nowMs, log: recordingLog() })
  const limitKeeper = new LimitKeeper({ nowMs, limits, fleetShare: () => 1 })
  const instances = new InstanceTable({ ip: '10.0.0.1', nowMs })
  const limitClient = new LimitClient({ ip: '10.0.0.1', nowMs, limits, keeper: limitKeeper, instances, canCoordinate: () => true, send: () => {} })
  const crossing = new DomainCrossing({ nowMs, price: () => DEFAULT_CROSSING_PRICE })
  const backends = new BackendTable({ nowMs })
  const scheduler = new PlaceScheduler({ nowMs, random: () => 0, backends, crossing, decide: () => {} })
  const places = new PlaceClient({ ip: '10.0.0.1', failureDomain: 'a', nowMs, random: () => 0, log: recordingLog(), backends, instances, scheduler, canCoordinate: () => true, send: () => {} })
  return { limits, limitKeeper, limitClient, pauses: new ServerPauses({ nowMs, random: () => 0, log: recordingLog() }), keyCheck: { admits: () => true }, places, crossing }
}
