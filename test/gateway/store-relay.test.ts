import { describe, expect, test } from '@jest/globals'
import { InstanceTable } from '../../src/gateway/instance-table.js'
import { decodeDatagram, encodeDatagram, type PeerDatagram } from '../../src/gateway/peer-datagram.js'
import { type StoreChange, StoreChangeKind } from '../../src/gateway/platform-store.js'
import { StoreRelay, WATCHERS_PER_DOMAIN } from '../../src/gateway/store-relay.js'
import type { StorePosition } from '../../src/gateway/store-position.js'
import { seededRandom } from '../../src/runtime/random.js'
import { configuration } from './gateway-fixtures.js'

const STEP_MS = 100
const WATCH_WAIT_MS = 1500
const FIRST_REVISION = 10

/** DrainMs of the smallest deployments: a server that leaves must be known to leave by then. */
const SHORTEST_DRAIN_MS = 2000

interface RelayInstance {
  ip: string
  table: InstanceTable
  relay: StoreRelay
  position: StorePosition
  graceLeftMs: number
  reachesStore: boolean
  /** Whether it neither runs nor receives anything. */
  paused: boolean
  /** Whether it is cut off from the store. */
  cut: boolean
  calledMs: number
}

/** Instances with a store whose revisions grow; heartbeats are always received. */
class RelayFleet {
  nowMs = 0
  calls = 0
  snapshots = 0
  readonly instances: RelayInstance[] = []
  readonly #random = seededRandom(5)
  readonly #changes: StoreChange[] = []
  readonly #lossShare: number

  constructor ({ domains, perDomain, lossShare = 0 }: { domains: number, perDomain: number, lossShare?: number }) {
    this.#lossShare = lossShare
    for (let index = 0; index < domains * perDomain; index += 1) this.#join(`10.0.${index % domains}.${Math.floor(index / domains)}`, `zone${index % domains}`)
  }

  get revision (): number {
    return FIRST_REVISION + this.#changes.length
  }

  change (change: StoreChange = { kind: StoreChangeKind.BackendRemoved, id: `b${this.#changes.length}` }): void {
    this.#changes.push(change)
  }

  run (durationMs: number): void {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      this.nowMs += STEP_MS
      const running = this.instances.filter(({ paused }) => !paused)
      for (const instance of running) {
        for (const { ip, table } of running) if (ip !== instance.ip) instance.table.recordHeartbeat({ ip, failureDomain: domainOf(ip), callers: '', ready: true, configurationVersion: 1, storeRevision: 0, reachesStore: true, processorShare: table === instance.table ? 0 : 1 })
        instance.relay.tick()
        if (instance.relay.needsStore()) this.#callStore(instance)
        const source = instance.relay.snapshotSource()
        if (source === undefined) continue
        this.snapshots += 1
        instance.position = { ...this.#get(source)?.position ?? instance.position }
      }
    }
  }

  /** Instances that do not know the newest state of the store. */
  behind (): string[] {
    return this.instances.filter(({ paused, position }) => !paused && position.revision < this.revision).map(({ ip }) => ip)
  }

  /** The instances of a failure domain that watch the store. */
  watchersOf (domain: string): RelayInstance[] {
    return this.instances.filter(({ ip, relay, paused }) => domainOf(ip) === domain && !paused && relay.needsStore())
  }

  #callStore (instance: RelayInstance): void {
    const hasChanges = instance.position.revision < this.revision
    if (!hasChanges && this.nowMs - instance.calledMs < WATCH_WAIT_MS) return
    this.calls += 1
    instance.calledMs = this.nowMs
    instance.reachesStore = !instance.cut
    if (instance.cut) return
    const fromRevision = instance.position.revision
    instance.position = { era: 0, revision: this.revision }
    instance.relay.relay(fromRevision, { era: 0, revision: this.revision, changes: this.#changes.slice(fromRevision - FIRST_REVISION) })
  }

  #join (ip: string, failureDomain: string): void {
    const table = new InstanceTable({ ip, failureDomain, nowMs: () => this.nowMs })
    const instance: RelayInstance = {
      ip,
      table,
      position: { era: 0, revision: FIRST_REVISION },
      graceLeftMs: 0,
      reachesStore: true,
      paused: false,
      cut: false,
      calledMs: -Infinity,
      relay: new StoreRelay({
        ip,
        failureDomain,
        processorShare: 1,
        instances: table,
        isCoordinator: () => false,
        position: () => instance.position,
        reachesStore: () => instance.reachesStore,
        graceLeftMs: () => instance.graceLeftMs,
        applyChanges: (_changes, position, graceLeftMs) => Object.assign(instance, { position, graceLeftMs }),
        send: (ips, message) => this.#deliver(ip, ips, message),
        nowMs: () => this.nowMs
      })
    }
    instance.relay.recordListing()
    this.instances.push(instance)
  }

  #deliver (from: string, ips: string[], message: PeerDatagram): void {
    const bytes = encodeDatagram(message)
    expect(bytes.length).toBeLessThan(1400)
    for (const ip of ips) {
      const receiver = this.#get(ip)
      if (receiver === undefined || receiver.paused || this.#random() < this.#lossShare) continue
      receiver.relay.handleDatagram(from, decodeDatagram(bytes) as PeerDatagram)
    }
  }

  #get (ip: string): RelayInstance | undefined {
    return this.instances.find((instance) => instance.ip === ip)
  }
}

function domainOf (ip: string): string {
  return `zone${ip.split('.')[2]}`
}

/** Calls to the store in ten seconds with two changes a second, after the start. */
function callsOf (fleet: RelayFleet): number {
  fleet.run(3000)
  fleet.calls = 0
  for (let change = 0; change < 20; change += 1) {
    fleet.change()
    fleet.run(500)
  }
  return fleet.calls
}

describe('StoreRelay', () => {
  // Guards against a fleet in which each change wakes a watch of every instance.
  test('calls to the store grow with the failure domains and not with the instances', () => {
    const small = callsOf(new RelayFleet({ domains: 5, perDomain: 3 }))
    expect(callsOf(new RelayFleet({ domains: 5, perDomain: 13 }))).toBeLessThanOrEqual(small)
    expect(callsOf(new RelayFleet({ domains: 5, perDomain: 39 }))).toBeLessThanOrEqual(small)
  })

  test('in a small failure domain, every instance watches the store', () => {
    const fleet = new RelayFleet({ domains: 3, perDomain: 3 })
    fleet.run(5000)
    expect(fleet.instances.every(({ relay }) => relay.needsStore())).toBe(true)
  })

  // Guards against instances that miss a change for good because a datagram was lost.
  test('every change is known to all instances within a second, with a tenth of the datagrams lost', () => {
    const fleet = new RelayFleet({ domains: 3, perDomain: 12, lossShare: 0.1 })
    fleet.run(3000)
    for (let change = 0; change < 30; change += 1) {
      fleet.change()
      fleet.run(1000)
      expect(fleet.behind()).toEqual([])
    }
  })

  // Guards against requests to servers that have left, sent by instances whose watching instances are gone or have lost the store.
  test.each([
    ['are paused', (watcher: RelayInstance) => { watcher.paused = true }],
    ['are cut off from the store', (watcher: RelayInstance) => { watcher.cut = true }]
  ])('all others of a failure domain know a change within the shortest drain time when all that watch %s', (_name, disturb) => {
    const fleet = new RelayFleet({ domains: 2, perDomain: 12 })
    fleet.run(3000)
    const watchers = fleet.watchersOf('zone0')
    expect(watchers).toHaveLength(WATCHERS_PER_DOMAIN)
    watchers.forEach(disturb)
    fleet.change()
    fleet.run(SHORTEST_DRAIN_MS)
    expect(fleet.behind().filter((ip) => !watchers.some((watcher) => watcher.ip === ip))).toEqual([])
  })

  // Guards against instances that go on without watching the store after they have been paused for longer than an announcement is valid.
  test('an instance that was paused catches up', () => {
    const fleet = new RelayFleet({ domains: 1, perDomain: 12 })
    fleet.run(3000)
    const sleeper = fleet.instances.find(({ relay }) => !relay.needsStore()) as RelayInstance
    sleeper.paused = true
    for (let change = 0; change < 5; change += 1) {
      fleet.change()
      fleet.run(1000)
    }
    sleeper.paused = false
    fleet.run(1000)
    expect(fleet.behind()).toEqual([])
  })

  test('a configuration, which fits no datagram, reaches the others by snapshots', () => {
    const fleet = new RelayFleet({ domains: 1, perDomain: 12 })
    fleet.run(3000)
    fleet.change({ kind: StoreChangeKind.Configuration, configuration: configuration() })
    fleet.run(400)
    expect([fleet.behind(), fleet.snapshots]).toEqual([[], 12 - WATCHERS_PER_DOMAIN])
  })

  // Guards against servers that are dropped by the instances that do not see the outage of the store themselves.
  test('the time in which missing servers may register again is passed on', () => {
    const fleet = new RelayFleet({ domains: 1, perDomain: 6 })
    fleet.run(3000)
    for (const watcher of fleet.watchersOf('zone0')) watcher.graceLeftMs = 1500
    fleet.change()
    fleet.run(200)
    expect(fleet.instances.every(({ graceLeftMs }) => graceLeftMs === 1500)).toBe(true)
  })

  test('ignores changes that do not continue its position, and those of another era', () => {
    const fleet = new RelayFleet({ domains: 1, perDomain: 4 })
    const [instance] = fleet.instances as [RelayInstance]
    const state = { kind: 'store-state', reachesStore: true, changes: [{ kind: StoreChangeKind.BackendRemoved, id: 'b1' }], graceLeftMs: 0 }
    const receive = (options: object): void => { instance.relay.handleDatagram('10.0.0.1', { ...state, ...options } as PeerDatagram) }
    receive({ era: 0, revision: 15, fromRevision: 12 })
    receive({ era: 1, revision: 15, fromRevision: 5 })
    receive({ era: 0, revision: 9, fromRevision: 5 })
    expect(instance.position.revision).toBe(FIRST_REVISION)
    receive({ era: 0, revision: 15, fromRevision: 8 })
    expect(instance.position.revision).toBe(15)
  })
})
