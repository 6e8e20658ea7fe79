import { describe, expect, test } from '@jest/globals'
import { type BackendServer, incarnationOf } from '../../src/gateway/backend.js'
import { PEER_NOTICE_LIFETIME_MS } from '../../src/gateway/leaving-notices.js'
import { type PeerDatagram, PeerDatagramKind } from '../../src/gateway/peer-datagram.js'
import { seededRandom } from '../../src/runtime/random.js'
import { backend } from './gateway-fixtures.js'
import { GatewayFleet, type FleetInstance } from './gateway-fleet.js'

const HEARTBEAT_MS = 500

const server = backend()

/** Instances that know one server, the first of which has just received an answer that says that it leaves. */
function fleetThatLearns (prepare: (fleet: GatewayFleet) => void = () => {}): GatewayFleet {
  const fleet = new GatewayFleet({ instances: 9, servers: [server, backend({ id: 'b2' })] })
  fleet.run(2000)
  prepare(fleet)
  fleet.instances[0]?.backendClient.onLeaving(server, false)
  return fleet
}

const acceptsServer = ({ gateway }: FleetInstance): boolean => gateway.backends.accepts(server)

function accepting (fleet: GatewayFleet): string[] {
  return fleet.instances.filter(acceptsServer).map(({ ip }) => ip)
}

const inFirstGroup = (ip: string): boolean => Number(ip.split('.').at(-1)) <= 4

describe('LeavingSharing', () => {
  // Guards against instances that go on sending until the store or their own request tells them; the coordinators must know before the next placement.
  test('tells all instances at once', () => {
    expect(accepting(fleetThatLearns())).toEqual([])
  })

  // Guards against notices that are sent only once.
  test('tells instances again that missed the first message because datagrams were lost', () => {
    const random = seededRandom(7)
    const fleet = fleetThatLearns((prepared) => { prepared.loses = () => random() < 0.33 })
    expect(accepting(fleet).length).toBeGreaterThan(0)
    fleet.run(4 * HEARTBEAT_MS)
    expect(accepting(fleet)).toEqual([])
  })

  test('tells an instance that joins with the next heartbeat', () => {
    const fleet = fleetThatLearns()
    const joined = fleet.join('10.0.0.21')
    expect(acceptsServer(joined)).toBe(true)
    fleet.run(HEARTBEAT_MS)
    expect(acceptsServer(joined)).toBe(false)
  })

  test('tells instances that were cut off, also if the first one has stopped meanwhile', () => {
    const fleet = fleetThatLearns((prepared) => { prepared.loses = (from, to) => inFirstGroup(from) !== inFirstGroup(to) })
    fleet.run(3000)
    expect(accepting(fleet)).toEqual(['10.0.0.5', '10.0.0.6', '10.0.0.7', '10.0.0.8', '10.0.0.9'])
    fleet.leave(fleet.instances[0] as FleetInstance)
    fleet.loses = () => false
    fleet.run(HEARTBEAT_MS)
    expect(accepting(fleet)).toEqual([])
  })

  test('tells an instance that was paused', () => {
    const fleet = fleetThatLearns((prepared) => { (prepared.instances[3] as FleetInstance).pausedUntilMs = prepared.nowMs + 2500 })
    fleet.run(2500 + HEARTBEAT_MS)
    expect(accepting(fleet)).toEqual([])
  })

  // Guards against a late message about the run before a restart that takes the restarted server out of use.
  test('does not apply what it was told of an earlier incarnation', () => {
    const fleet = fleetThatLearns()
    const restarted: BackendServer = { ...server, startedAtMs: 2 }
    for (const { gateway } of fleet.instances) gateway.backends.put(restarted)
    fleet.run(3000)
    expect(fleet.instances.every(({ gateway }) => gateway.backends.accepts(restarted))).toBe(true)
  })

  // Guards against an instance that empties a service for all others by wrong messages, as a store entry that is ready does not correct them.
  test('believes another instance for a bounded time, however often it repeats itself', () => {
    const fleet = new GatewayFleet({ instances: 2, servers: [server] })
    const { gateway } = fleet.instances[0] as FleetInstance
    const message: PeerDatagram = { kind: PeerDatagramKind.Leaving, servers: [{ server: incarnationOf(server), ageMs: -5000 }, { server: 'unknown', ageMs: 0 }] }
    gateway.handleDatagram('10.0.0.2', message)
    expect(gateway.backends.ready('plain')).toEqual([])
    expect(gateway.leavingSharing.notices.size).toBe(1)
    for (let ms = 0; ms < PEER_NOTICE_LIFETIME_MS; ms += 100) {
      fleet.nowMs += 100
      gateway.handleDatagram('10.0.0.2', message)
    }
    expect(gateway.backends.ready('plain')).toEqual([server])
  })

  // Guards against a bound that applies to what the server itself has said.
  test('does not forget an answer to this instance while the server is known', () => {
    const fleet = fleetThatLearns()
    fleet.nowMs += 10 * PEER_NOTICE_LIFETIME_MS
    expect(accepting(fleet)).toEqual(fleet.instances.slice(1).map(({ ip }) => ip))
  })
})
