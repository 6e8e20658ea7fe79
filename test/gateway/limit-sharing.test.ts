import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { BackendTable } from '../../src/gateway/backend-table.js'
import { InstanceTable } from '../../src/gateway/instance-table.js'
import { LimitSharing } from '../../src/gateway/limit-sharing.js'
import { decodeDatagram, encodeDatagram, type PeerDatagram } from '../../src/gateway/peer-datagram.js'
import { seededRandom } from '../../src/runtime/random.js'
import { backend, recordingLog } from './gateway-fixtures.js'

const STEP_MS = 10
const HEARTBEAT_MS = 500
const LIMIT_PER_S = 4

/** Time after the limit was first named from which it is judged, in milliseconds. */
const CONTACT_MS = 3000

/** Largest number of requests in four seconds that a server must bear: one and a half times its limit, and five. */
const MOST_IN_FOUR_SECONDS = 4 * 1.5 * LIMIT_PER_S + 5

const server = backend()

interface Instance {
  ip: string
  table: InstanceTable
  sharing: LimitSharing
  stopped: boolean
  /** Until when it neither runs nor receives anything, in milliseconds. */
  pausedUntilMs: number
}

/** Several instances with a clock of their own that exchange real datagrams; each wants to send to one server all the time. */
class Fleet {
  readonly instances: Instance[] = []
  readonly sentMs: number[] = []
  readonly errors: unknown[] = []
  nowMs = 1000
  /** What the server names in its answers. */
  statedPerS: number | null = LIMIT_PER_S
  /** Whether a datagram between two addresses is lost. */
  loses: (from: string, to: string) => boolean = () => false
  readonly #random: () => number

  constructor (options: { instances: number, seed: number }) {
    this.#random = seededRandom(options.seed)
    for (let index = 1; index <= options.instances; index += 1) this.join(`10.0.0.${index}`)
  }

  join (ip: string): Instance {
    const nowMs = (): number => this.nowMs
    const backends = new BackendTable({ nowMs })
    backends.put(server)
    const table = new InstanceTable({ ip, nowMs, random: this.#random })
    const instance: Instance = { ip, table, stopped: false, pausedUntilMs: 0, sharing: new LimitSharing({ ip, nowMs, log: recordingLog(), backends, instances: table, canCoordinate: () => !instance.stopped, send: (to, message) => this.#deliver(ip, to, message) }) }
    for (const other of this.instances) {
      table.addAddress(other.ip)
      other.table.addAddress(ip)
    }
    this.instances.push(instance)
    return instance
  }

  leave (instance: Instance): void {
    this.instances.splice(this.instances.indexOf(instance), 1)
  }

  async run (durationMs: number, at: Record<number, () => void> = {}): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      at[ms]?.()
      this.nowMs += STEP_MS
      await jest.advanceTimersByTimeAsync(STEP_MS)
      for (const instance of this.instances) if (instance.pausedUntilMs <= this.nowMs) this.#step(instance)
    }
  }

  mostInFourSeconds (fromMs: number): number {
    const judged = this.sentMs.filter((ms) => ms >= fromMs)
    return Math.max(0, ...judged.map((startMs) => judged.filter((ms) => ms >= startMs && ms < startMs + 4000).length))
  }

  #step (instance: Instance): void {
    const { ip, table, sharing, stopped } = instance
    const others = table.knownAddresses()
    if (this.nowMs % HEARTBEAT_MS === 0) {
      for (const other of this.instances) {
        if (other !== instance && !this.#isLost(ip, other.ip)) other.table.recordHeartbeat({ ip, failureDomain: 'a', callers: `${ip}:1`, ready: !stopped, configurationVersion: 1, storeRevision: 1, reachesStore: true, processorShare: 1 })
      }
      sharing.sendReminder(others)
    }
    if (this.nowMs % 100 === 0) sharing.sendChanges(others)
    this.#send(sharing).catch((error: unknown) => { this.errors.push(error) })
  }

  async #send ({ client, limits }: LimitSharing): Promise<void> {
    const { admitted } = await client.acquire(server)
    if (!admitted) return
    const sentMs = this.nowMs
    this.sentMs.push(sentMs)
    limits.observe(server, this.statedPerS, sentMs)
  }

  #deliver (from: string, to: string[], message: PeerDatagram): void {
    const bytes = encodeDatagram(message)
    for (const ip of to) {
      const receiver = this.instances.find((instance) => instance.ip === ip)
      if (receiver === undefined || this.#isLost(from, ip) || receiver.pausedUntilMs > this.nowMs) continue
      receiver.sharing.handleDatagram(from, decodeDatagram(bytes) as PeerDatagram)
    }
  }

  #isLost (from: string, to: string): boolean {
    return this.loses(from, to)
  }
}

const inFirstGroup = (ip: string): boolean => Number(ip.split('.').at(-1)) <= 4

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

describe('LimitSharing', () => {
  // Guards against a server that gets more requests from all instances together than the limit it has named.
  test.each([
    ['all instances run', () => ({})],
    ['instances join', (fleet: Fleet) => ({ 6000: () => { fleet.join('10.0.0.21') }, 7000: () => { fleet.join('10.0.0.22') } })],
    ['instances stop and start again in turn', (fleet: Fleet) => Object.fromEntries(Array.from({ length: 8 }, (_, index) => {
      const stopping = fleet.instances[index] as Instance
      return [[5000 + index * 700, () => { stopping.stopped = true }], [7700 + index * 700, () => { fleet.leave(stopping) }], [8000 + index * 700, () => { fleet.join(stopping.ip) }]]
    }).flat()) as Record<number, () => void>],
    ['instances pause in turn', (fleet: Fleet) => Object.fromEntries(fleet.instances.map((instance, index) => [5000 + index * 900, () => { instance.pausedUntilMs = fleet.nowMs + 2500 }]))],
    ['two groups are cut off from each other', (fleet: Fleet) => ({ 6000: () => { fleet.loses = (from, to) => inFirstGroup(from) !== inFirstGroup(to) }, 12000: () => { fleet.loses = () => false } })],
    ['a third of the datagrams are lost', (fleet: Fleet) => ({
      0: () => {
        const random = seededRandom(7)
        fleet.loses = () => random() < 0.33
      }
    })]
  ] as Array<[string, (fleet: Fleet) => Record<number, () => void>]>)('keeps the limit of a server for all instances together while %s', async (_name, eventsOf) => {
    const fleet = new Fleet({ instances: 9, seed: 3 })
    const events = eventsOf(fleet)
    const namedMs = fleet.nowMs + 2000
    await fleet.run(20_000, { ...events, 2000: () => fleet.instances[0]?.sharing.limits.observe(server, LIMIT_PER_S, fleet.nowMs) })
    const most = fleet.mostInFourSeconds(namedMs + CONTACT_MS)
    expect(fleet.errors).toEqual([])
    expect(most).toBeLessThanOrEqual(MOST_IN_FOUR_SECONDS)
    expect(most).toBeGreaterThanOrEqual(LIMIT_PER_S * 2)
  })

  test('sends without a bound again soon after the server has ceased to name a limit', async () => {
    const fleet = new Fleet({ instances: 9, seed: 3 })
    fleet.instances[0]?.sharing.limits.observe(server, LIMIT_PER_S, fleet.nowMs)
    await fleet.run(4000)
    fleet.statedPerS = null
    await fleet.run(1500)
    expect(fleet.instances.map(({ sharing }) => sharing.limits.limitOf(server))).toEqual(fleet.instances.map(() => null))
  })

  test('tells an instance that joins of the limits with the next heartbeat', async () => {
    const fleet = new Fleet({ instances: 3, seed: 3 })
    fleet.instances[0]?.sharing.limits.observe(server, LIMIT_PER_S, fleet.nowMs)
    await fleet.run(1000)
    const joined = fleet.join('10.0.0.9')
    await fleet.run(HEARTBEAT_MS)
    expect(joined.sharing.limits.limitOf(server)).toBe(LIMIT_PER_S)
  })
})
