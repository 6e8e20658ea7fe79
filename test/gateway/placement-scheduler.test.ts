import { describe, expect, test } from '@jest/globals'
import { type BackendServer, RunnerRole } from '../../src/gateway/backend.js'
import { BackendTable } from '../../src/gateway/backend-table.js'
import { type Placement, PlacementRefusal, type PlacementRequest, type RefusedPlacement } from '../../src/gateway/placement.js'
import { PlacementScheduler, type RunnerPermits } from '../../src/gateway/placement-scheduler.js'
import { backend } from './gateway-fixtures.js'

const engine = { slots: 64, memoryTokens: 100_000, tokensPerEvent: 73, roleChangeMs: 6000 }

interface Fixture {
  scheduler: PlacementScheduler
  clock: { ms: number }
  backends: BackendTable
  decisions: Map<string, Placement | RefusedPlacement>
  submit: (id: string, options?: Partial<PlacementRequest>) => void
}

function fixture (servers: BackendServer[], permits?: RunnerPermits): Fixture {
  const clock = { ms: 0 }
  const backends = new BackendTable({ nowMs: () => clock.ms })
  for (const server of servers) backends.put(server)
  const scheduler = new PlacementScheduler({ nowMs: () => clock.ms, backends, engine: () => engine, ...(permits === undefined ? {} : { permits }) })
  const decisions = new Map<string, Placement | RefusedPlacement>()
  const submit = (id: string, options: Partial<PlacementRequest> = {}): void => {
    scheduler.submit({
      id,
      service: 'model',
      failureDomain: 'a',
      organisation: '',
      priority: 0,
      longestReturnMs: null,
      promptTokens: 5000,
      output: { estimateTokens: 5000, maxTokens: 9000 },
      promptId: null,
      objectiveLeftMs: 900,
      patienceMs: 650,
      pauses: [],
      ...options
    }, (decision) => decisions.set(id, decision))
  }
  return { scheduler, clock, backends, decisions, submit }
}

const decode = (id: string): BackendServer => backend({ id, service: 'model', stage: RunnerRole.Decode })
const prefill = (id: string): BackendServer => backend({ id, service: 'model', stage: RunnerRole.Prefill })

/** Reports the prefill of every decided request as done. */
function finishPrefills ({ scheduler, decisions }: Fixture): void {
  for (const id of decisions.keys()) scheduler.recordPrefillDone(id, 50)
}

describe('PlacementScheduler', () => {
  test('spreads runs over decode runners by their expected memory', () => {
    const setup = fixture([prefill('p'), decode('d1'), decode('d2')])
    for (const id of ['a', 'b', 'c', 'd']) {
      setup.submit(id)
      finishPrefills(setup)
    }
    const decodeRunners = [...setup.decisions.values()].map((decision) => 'decode' in decision ? decision.decode : '')
    expect(decodeRunners.toSorted()).toEqual(['d1', 'd1', 'd2', 'd2'])
  })

  test('requests of a burst beyond the memory of all runners wait and are refused when their patienceMs have passed', () => {
    const setup = fixture([prefill('p'), decode('d1'), decode('d2')])
    for (let request = 0; request < 40; request += 1) {
      setup.submit(`q${request}`)
      finishPrefills(setup)
    }
    const placed = setup.decisions.size
    expect(placed).toBeGreaterThan(15)
    expect(placed).toBeLessThan(30)
    expect(setup.scheduler.waitingCount).toBe(40 - placed)
    setup.clock.ms = 651
    setup.scheduler.tick()
    const refused = [...setup.decisions.values()].filter((decision) => 'refusal' in decision)
    expect(refused).toHaveLength(40 - placed)
    expect(refused[0]).toMatchObject({ refusal: PlacementRefusal.NoMemory })
  })

  test('assigns a prefill runner only the prompts that it can process soon, and keeps the other requests waiting until a prefill ends', () => {
    const setup = fixture([prefill('p'), decode('d1'), decode('d2')])
    for (const id of ['a', 'b', 'c', 'd', 'e']) setup.submit(id)
    expect(setup.decisions.size).toBeLessThan(5)
    setup.clock.ms += 10
    setup.scheduler.recordPrefillDone('a', 50)
    expect(setup.decisions.size).toBeGreaterThan(2)
  })

  test('places a request that can still be on time before one that is late already', () => {
    const setup = fixture([prefill('p'), decode('d1')])
    setup.scheduler.warmUpFor(100)
    setup.submit('late', { objectiveLeftMs: -500, patienceMs: 1500 })
    setup.submit('fresh')
    setup.clock.ms = 101
    setup.scheduler.tick()
    expect([...setup.decisions.keys()][0]).toBe('fresh')
  })

  test('places a retry after a refusal behind a new request, because its objective counts from the first attempt despite its new id and patience', () => {
    const setup = fixture([prefill('p')])
    setup.backends.put(decode('d1'))
    setup.scheduler.warmUpFor(100)
    setup.submit('first', { promptId: 'p1', patienceMs: 50 })
    setup.clock.ms = 60
    setup.scheduler.tick()
    expect(setup.decisions.get('first')).toMatchObject({ refusal: PlacementRefusal.NoMemory })
    setup.clock.ms = 1500
    setup.scheduler.warmUpFor(100)
    setup.submit('returned', { promptId: 'p1' })
    setup.submit('new', { promptId: 'p2' })
    setup.clock.ms = 1601
    setup.scheduler.tick()
    expect([...setup.decisions.keys()].slice(1)).toEqual(['new', 'returned'])
  })

  // Guards against a role change that is decided on the speed of a runner that has crashed or stalls.
  test('stalled runs of a failing runner do not change the measured decode speed, on which role changes depend', () => {
    const setup = fixture([prefill('p'), decode('d1'), decode('d2')])
    const report = (id: string, madeTokens: number): void => setup.scheduler.recordProgress([{ id, service: 'model', decode: id === 'slow' ? 'd2' : 'd1', promptTokens: 5000, output: { estimateTokens: 5000, maxTokens: 9000 }, madeTokens }])
    for (let request = 0; request < 20; request += 1) {
      setup.submit(`q${request}`)
      setup.clock.ms += 200
      setup.scheduler.recordPrefillDone(`q${request}`, 25)
    }
    for (let step = 0; step < 20; step += 1) {
      for (const id of ['a', 'b', 'c']) report(id, step * 100)
      report('slow', step)
      setup.clock.ms += 300
    }
    expect(setup.scheduler.requestMix('model')?.msPerToken).toBeCloseTo(3, 5)
    expect(setup.scheduler.requestMix('model')?.prefillTokensPerMs).toBeCloseTo(25, 5)
  })

  test('refuses with prefill-busy when prefill capacity rather than decode memory was short', () => {
    const setup = fixture([prefill('p'), decode('d1')])
    for (let request = 0; request < 6; request += 1) setup.submit(`r${request}`, { patienceMs: 10 })
    setup.clock.ms = 20
    setup.scheduler.tick()
    expect(setup.decisions.get('r5')).toMatchObject({ refusal: PlacementRefusal.PrefillBusy })
  })

  test('frees memory when a run is released, when its reports stop, and when its runner has been removed', () => {
    const setup = fixture([decode('d1')])
    setup.submit('a')
    setup.submit('b')
    setup.scheduler.release('a')
    expect(setup.scheduler.runCount).toBe(1)
    setup.clock.ms = 3000
    setup.scheduler.tick()
    expect(setup.scheduler.runCount).toBe(0)
    setup.submit('c')
    setup.scheduler.removeRunner(decode('d1'))
    expect(setup.scheduler.runCount).toBe(0)
  })

  test('places nothing during warm-up and then counts the reported runs that another scheduler placed', () => {
    const setup = fixture([prefill('p'), decode('d1'), decode('d2')])
    setup.scheduler.warmUpFor(400)
    setup.scheduler.recordProgress(Array.from({ length: 8 }, (_, index) => ({ id: `old${index}`, service: 'model', decode: 'd1', promptTokens: 5000, output: { estimateTokens: 5000, maxTokens: 9000 }, madeTokens: 1000 })))
    setup.submit('new')
    expect(setup.decisions.size).toBe(0)
    setup.clock.ms = 401
    setup.scheduler.tick()
    expect(setup.decisions.get('new')).toMatchObject({ decode: 'd2' })
  })

  test('avoids a runner that has just failed while another one is ready', () => {
    const setup = fixture([decode('d1'), decode('d2')])
    setup.scheduler.recordRunnerFailure('d1')
    setup.submit('a')
    setup.submit('b')
    expect([...setup.decisions.values()].map((decision) => 'decode' in decision && decision.decode)).toEqual(['d2', 'd2'])
  })

  test('refuses at once a prompt that no runner can hold, and any request when there is no runner', () => {
    const setup = fixture([decode('d1')])
    setup.submit('large', { promptTokens: 100_001 })
    expect(setup.decisions.get('large')).toMatchObject({ refusal: PlacementRefusal.TooLarge })
    const withoutRunners = fixture([])
    withoutRunners.submit('a')
    expect(withoutRunners.decisions.get('a')).toMatchObject({ refusal: PlacementRefusal.NoRunner })
  })
})

/** Permits of the runners named in `left`; the others have no limit. */
function scriptedPermits (left: Record<string, number>, ratePerS = 1): RunnerPermits {
  const isAvailable = ({ id }: BackendServer): boolean => (left[id] ?? Infinity) >= 1
  return {
    isAvailable,
    tryTake: (runner) => {
      const available = isAvailable(runner)
      if (available && left[runner.id] !== undefined) left[runner.id] = (left[runner.id] ?? 0) - 1
      return available
    },
    waitMs: (runner) => isAvailable(runner) ? 0 : 1000 / ratePerS,
    ratePerS: ({ id }) => left[id] === undefined ? Infinity : ratePerS
  }
}

describe('PlacementScheduler with runners that limit their requests', () => {
  // Guards against more requests to prefill and decode runners than they take.
  test('takes a permit of each runner of a placement and passes over runners without one', () => {
    const left = { p: 1, d1: 1 }
    const setup = fixture([prefill('p'), decode('d1'), decode('d2')], scriptedPermits(left))
    for (const id of ['a', 'b', 'c']) {
      setup.submit(id)
      finishPrefills(setup)
    }
    const placements = [...setup.decisions.values()] as Placement[]
    expect(placements.map(({ prefill: runner }) => runner)).toEqual(['p', null, null])
    expect(placements.map(({ decode: runner }) => runner).toSorted()).toEqual(['d1', 'd2', 'd2'])
    expect(left).toEqual({ p: 0, d1: 0 })
  })

  // Guards against requests that wait although the limits of all runners rule out that they are placed in time.
  test('refuses a request at once if the limits of all decode runners do not allow it in time, and places it later otherwise', () => {
    const left = { d1: 0, d2: 0 }
    const setup = fixture([decode('d1'), decode('d2')], scriptedPermits(left, 2))
    for (const id of ['a', 'b']) setup.submit(id)
    expect([setup.scheduler.isWaiting('a'), setup.decisions.get('b')]).toMatchObject([true, { refusal: PlacementRefusal.RateLimited }])
    left.d1 = 1
    setup.scheduler.tick()
    expect(setup.decisions.get('a')).toEqual({ prefill: null, decode: 'd1' })
  })

  test('refuses a request at once if this instance may give out no permits for any decode runner', () => {
    const setup = fixture([decode('d1')], scriptedPermits({ d1: 0 }, 0))
    setup.submit('a')
    expect(setup.decisions.get('a')).toMatchObject({ refusal: PlacementRefusal.RateLimited })
  })

  test('lets requests wait for memory if one decode runner has no limit', () => {
    const setup = fixture([decode('d1'), decode('d2')], scriptedPermits({ d1: 0 }))
    for (let request = 0; request < 20; request += 1) setup.submit(`q${request}`)
    expect(setup.scheduler.waitingCount).toBeGreaterThan(0)
    expect([...setup.decisions.values()].every((decision) => 'decode' in decision && decision.decode === 'd2')).toBe(true)
  })
})

describe('PlacementScheduler for an instance that runners have turned away', () => {
  // Guards against prefills that are read in vain for a decode runner that will not take the request.
  test('places its requests on the other runners', () => {
    const setup = fixture([prefill('p1'), prefill('p2'), decode('d1'), decode('d2')])
    for (const id of ['a', 'b']) setup.submit(id, { pauses: [{ server: 'd2', leftMs: 100 }, { server: 'p1', leftMs: 100 }] })
    expect([...setup.decisions.values()]).toEqual([{ prefill: 'p2', decode: 'd1' }, { prefill: 'p2', decode: 'd1' }])
  })

  // Guards against requests that wait at the coordinator for a runner that they may not use.
  test('refuses its requests at once if it may use no decode runner, with the shortest time left', () => {
    const setup = fixture([prefill('p'), decode('d1'), decode('d2')])
    setup.submit('a', { pauses: [{ server: 'd1', leftMs: 700 }, { server: 'd2', leftMs: 400 }] })
    expect(setup.decisions.get('a')).toMatchObject({ refusal: PlacementRefusal.Paused, retryAfterMs: 400 })
  })

  // Guards against requests of all instances that wait behind one that may not use the free runner.
  test('does not hold up the requests of others, and places its own when a pause has ended', () => {
    const setup = fixture([decode('d1'), decode('d2')])
    for (let run = 0; run < 64; run += 1) setup.scheduler.recordProgress([{ id: `r${run}`, service: 'model', decode: 'd2', promptTokens: 10, output: { estimateTokens: 10, maxTokens: 10 }, madeTokens: 1 }])
    setup.submit('a', { pauses: [{ server: 'd1', leftMs: 300 }] })
    setup.submit('b')
    expect([...setup.decisions.keys()]).toEqual(['b'])
    setup.clock.ms = 301
    setup.scheduler.tick()
    expect(setup.decisions.get('a')).toEqual({ prefill: null, decode: 'd1' })
  })
})

describe('PlacementScheduler under a burst on a large service', () => {
  test('reads the list of servers at most twice per scheduling pass, however many requests wait', () => {
    const servers = Array.from({ length: 30 }, (_, index) => index < 10 ? prefill(`p${index}`) : decode(`d${index}`))
    const setup = fixture(servers)
    for (let request = 0; request < 600; request += 1) {
      setup.submit(`q${request}`, { patienceMs: 2000 })
      finishPrefills(setup)
    }
    expect(setup.scheduler.waitingCount).toBeGreaterThan(200)
    let reads = 0
    const ready = setup.backends.ready.bind(setup.backends)
    setup.backends.ready = (service, role) => {
      reads += 1
      return ready(service, role)
    }
    for (const id of [...setup.decisions.keys()].slice(0, 100)) {
      setup.clock.ms += 1
      setup.scheduler.release(id)
    }
    // Each pass reads the list once per role, and passes are at least ten milliseconds apart.
    expect(reads).toBeLessThanOrEqual(2 * 11)
  })
})
