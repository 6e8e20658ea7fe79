import { describe, expect, test } from '@jest/globals'
import { BackendTable } from '../../src/gateway/backend-table.js'
import { DEFAULT_CROSSING_PRICE } from '../../src/gateway/domain-crossing.js'
import { ExchangeOutcome } from '../../src/gateway/exchange-outcome.js'
import { InstanceTable } from '../../src/gateway/instance-table.js'
import { decodeDatagram, encodeDatagram, type PeerDatagram, PeerDatagramKind } from '../../src/gateway/peer-datagram.js'
import type { Place, PlaceAnswer } from '../../src/gateway/place-client.js'
import { PlaceSharing } from '../../src/gateway/place-sharing.js'
import { backend, recordingLog } from './gateway-fixtures.js'

const IPS = ['10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.0.4']
const SLOTS = 2
/** With a request that takes 30 ms, one more is on its way for each that is in work. */
const CAPACITY = SLOTS + 1

interface Fleet {
  nowMs: number
  sharings: Map<string, PlaceSharing>
  tables: Map<string, InstanceTable>
  coordinator: string
  /** An instance that asks another one. */
  asker: PlaceSharing
  loses: (from: string, to: string) => boolean
  /** Requests for places that were sent. */
  taken: Array<{ from: string, message: PeerDatagram }>
}

/** Four instances before one plain server of two places, with a common clock that the test sets. */
function startFleet (): Fleet {
  const fleet: Fleet = { nowMs: 1000, sharings: new Map(), tables: new Map(), coordinator: '', asker: undefined as never, loses: () => false, taken: [] }
  const nowMs = (): number => fleet.nowMs
  for (const ip of IPS) {
    const instances = new InstanceTable({ ip, nowMs })
    const backends = new BackendTable({ nowMs })
    backends.put(backend({ slots: SLOTS }))
    const send = (to: string[], message: PeerDatagram): void => {
      if (message.kind === PeerDatagramKind.TakePlace) fleet.taken.push({ from: ip, message })
      for (const target of to) if (!fleet.loses(ip, target)) fleet.sharings.get(target)?.handleDatagram(ip, decodeDatagram(encodeDatagram(message)) as PeerDatagram)
    }
    fleet.tables.set(ip, instances)
    fleet.sharings.set(ip, new PlaceSharing({ ip, failureDomain: 'a', nowMs, random: () => 0.5, log: recordingLog(), backends, instances, price: () => DEFAULT_CROSSING_PRICE, canCoordinate: () => true, send, onWaiting: () => {} }))
  }
  meet(fleet, IPS)
  fleet.coordinator = fleet.tables.get(IPS[0] as string)?.coordinatorOf('plain', true) ?? ''
  fleet.asker = fleet.sharings.get(IPS.find((ip) => ip !== fleet.coordinator) as string) as PlaceSharing
  return fleet
}

function meet ({ tables }: Fleet, ips: string[]): void {
  for (const instances of tables.values()) for (const ip of ips) instances.recordHeartbeat({ ip, failureDomain: 'a', callers: ip, ready: true, configurationVersion: 1, storeRevision: 1, reachesStore: true, processorShare: 1 })
}

function acquire ({ client }: PlaceSharing, patienceMs = 800): { answer: Promise<PlaceAnswer>, withdraw: () => void } {
  let withdraw = (): void => {}
  const answer = client.acquire({ service: 'plain', objectiveLeftMs: patienceMs, patienceMs, bytes: 100, excluded: [] }, (given) => { withdraw = given })
  return { answer, withdraw: () => withdraw() }
}

async function takeAll (sharing: PlaceSharing): Promise<Place[]> {
  const places = []
  for (let taken = 0; taken < CAPACITY; taken += 1) places.push(await acquire(sharing).answer as Place)
  return places
}

const answered = { outcome: ExchangeOutcome.Answered, durationMs: 30 }

describe('places of plain servers', () => {
  test('are given out by a coordinator only where instances outnumber them', () => {
    const fleet = startFleet()
    expect(fleet.asker.client.isCoordinated('plain')).toBe(true)
    fleet.nowMs += 60_000
    expect(fleet.asker.client.isCoordinated('plain')).toBe(false)
  })

  // Guards against more requests at a server than it has places for, which it rejects.
  test('go to the next request when they are returned', async () => {
    const fleet = startFleet()
    const places = await takeAll(fleet.asker)
    const next = acquire(fleet.asker)
    expect(fleet.sharings.get(fleet.coordinator)?.scheduler.waitingCount).toBe(1)
    places[0]?.return(answered)
    expect(await next.answer).toMatchObject({ server: 'b1' })
  })

  test('are not kept for a caller that has left', async () => {
    const fleet = startFleet()
    const [place] = await takeAll(fleet.asker)
    acquire(fleet.asker).withdraw()
    place?.return(answered)
    expect(fleet.sharings.get(fleet.coordinator)?.scheduler.takenCount).toBe(CAPACITY - 1)
  })

  // Guards against callers that wait until their time is up although no place can become free before.
  test('are refused at once to a request that cannot be served in its time', async () => {
    const fleet = startFleet()
    await takeAll(fleet.asker)
    expect(await acquire(fleet.asker, 10).answer).toMatchObject({ refused: true })
  })
})

describe('callers that are refused a place', () => {
  // Guards against callers that were refused together, as after a restart of all instances, and return together.
  test('are told to return one after the other, at the rate that the servers have to spare', async () => {
    const fleet = startFleet()
    await takeAll(fleet.asker)
    const answers = await Promise.all(Array.from({ length: 30 }, () => acquire(fleet.asker, 20).answer))
    const returnsMs = answers.map((answer) => 'refused' in answer ? answer.retryAfterMs : NaN).toSorted((a, b) => a - b)
    const leastSpacingMs = Math.min(...returnsMs.slice(1).map((returnMs, index) => returnMs - (returnsMs[index] ?? 0)))
    expect(leastSpacingMs).toBeGreaterThan(30 / SLOTS)
    expect(returnsMs[0]).toBeGreaterThanOrEqual(150)
  })
})

describe('failures of the coordinator of places', () => {
  test.each([
    ['does not get the requests', (fleet: Fleet) => (_from: string, to: string) => to === fleet.coordinator],
    ['can be heard by nobody, but hears all', (fleet: Fleet) => (from: string) => from === fleet.coordinator]
  ])('an instance chooses servers itself when the coordinator %s', async (_name, loses) => {
    const fleet = startFleet()
    fleet.loses = loses(fleet)
    expect(await acquire(fleet.asker).answer).toEqual({ unanswered: true })
    expect(fleet.sharings.get(fleet.coordinator)?.scheduler.takenCount).toBe(0)
  })

  test('a request that waits goes to the next coordinator', async () => {
    const fleet = startFleet()
    await takeAll(fleet.asker)
    const waiting = acquire(fleet.asker)
    fleet.loses = (from, to) => from === fleet.coordinator || to === fleet.coordinator
    fleet.nowMs += 5000
    meet(fleet, IPS.filter((ip) => ip !== fleet.coordinator))
    expect(await waiting.answer).toMatchObject({ server: 'b1' })
  })

  // Guards against places that nobody uses, given out by a coordinator whose answers come after the request has gone to another one.
  test.each(['while its place is in use', 'after it has returned its place'])('an instance gives a place back that a second coordinator gives it %s', async (moment) => {
    const fleet = startFleet()
    const place = await acquire(fleet.asker).answer as Place
    const [request] = fleet.taken
    const second = fleet.sharings.get(IPS.find((ip) => ip !== fleet.coordinator && fleet.sharings.get(ip) !== fleet.asker) as string)
    if (moment.startsWith('after')) place.return(answered)
    second?.handleDatagram(request?.from ?? '', request?.message as PeerDatagram)
    expect(second?.scheduler.takenCount).toBe(0)
  })

  // Guards against places that are lost for good, and against returns that come five seconds late and free what others hold by then.
  test('places whose return is lost or late are given out again, once', async () => {
    const fleet = startFleet()
    const late = await takeAll(fleet.asker)
    const scheduler = fleet.sharings.get(fleet.coordinator)?.scheduler
    fleet.nowMs += 5000
    meet(fleet, IPS)
    scheduler?.tick()
    await takeAll(fleet.asker)
    for (const place of late) place.return(answered)
    expect(scheduler?.takenCount).toBe(CAPACITY)
  })
})
