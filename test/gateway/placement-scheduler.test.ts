import { describe, expect, test } from '@jest/globals'
import { type BackendServer, RunnerRole } from '../../src/gateway/backend.js'
import { BackendTable } from '../../src/gateway/backend-table.js'
import { type Placement, PlacementRefusal, type PlacementRequest, type RefusedPlacement } from '../../src/gateway/placement.js'
import { PlacementScheduler } from '../../src/gateway/placement-scheduler.js'
import { backend } from './gateway-fixtures.js'

const engine = { slots: 64, memoryTokens: 100_000, tokensPerEvent: 73 }

interface Fixture {
  desk: PlacementScheduler
  clock: { ms: number }
  backends: BackendTable
  decisions: Map<string, Placement | RefusedPlacement>
  ask: (id: string, options?: Partial<PlacementRequest>) => void
}

function fixture (servers: BackendServer[]): Fixture {
  const clock = { ms: 0 }
  const backends = new BackendTable({ nowMs: () => clock.ms })
  for (const server of servers) backends.put(server)
  const desk = new PlacementScheduler({ nowMs: () => clock.ms, backends, engine: () => engine, expected: { promptTokens: 5000, outputTokens: 5000 } })
  const decisions = new Map<string, Placement | RefusedPlacement>()
  const ask = (id: string, options: Partial<PlacementRequest> = {}): void => {
    desk.submit({
      id,
      service: 'model',
      failureDomain: 'a',
      promptTokens: 5000,
      output: { estimateTokens: 5000, maxTokens: 9000 },
      promptId: null,
      objectiveLeftMs: 900,
      patienceMs: 650,
      ...options
    }, (decision) => decisions.set(id, decision))
  }
  return { desk, clock, backends, decisions, ask }
}

const decode = (id: string): BackendServer => backend({ id, service: 'model', stage: RunnerRole.Decode })
const prefill = (id: string): BackendServer => backend({ id, service: 'model', stage: RunnerRole.Prefill })

/** Reads the prompts of everything that has been placed. */
function readPrompts ({ desk, decisions }: Fixture): void {
  for (const id of decisions.keys()) desk.recordPrefillDone(id, 50)
}

describe('PlacementScheduler', () => {
  test('spreads runs over decode runners by their expected memory', () => {
    const desk = fixture([prefill('p'), decode('d1'), decode('d2')])
    for (const id of ['a', 'b', 'c', 'd']) {
      desk.ask(id)
      readPrompts(desk)
    }
    const places = [...desk.decisions.values()].map((decision) => 'decode' in decision ? decision.decode : '')
    expect(places.toSorted()).toEqual(['d1', 'd1', 'd2', 'd2'])
  })

  test('a burst above the memory of all runners waits, and is refused when it can no longer be on time', () => {
    const desk = fixture([prefill('p'), decode('d1'), decode('d2')])
    for (let request = 0; request < 40; request += 1) {
      desk.ask(`q${request}`)
      readPrompts(desk)
    }
    const placed = desk.decisions.size
    expect(placed).toBeGreaterThan(15)
    expect(placed).toBeLessThan(30)
    expect(desk.desk.waitingCount).toBe(40 - placed)
    desk.clock.ms = 651
    desk.desk.tick()
    const refused = [...desk.decisions.values()].filter((decision) => 'refusal' in decision)
    expect(refused).toHaveLength(40 - placed)
    expect(refused[0]).toMatchObject({ refusal: PlacementRefusal.NoMemory })
  })

  test('starts no more prompts than a prefill runner reads soon, so that the order stays with the desk', () => {
    const desk = fixture([prefill('p'), decode('d1'), decode('d2')])
    for (const id of ['a', 'b', 'c', 'd', 'e']) desk.ask(id)
    expect(desk.decisions.size).toBeLessThan(5)
    desk.clock.ms += 10
    desk.desk.recordPrefillDone('a', 50)
    expect(desk.decisions.size).toBeGreaterThan(2)
  })

  test('a request that can still be on time goes before one that is late already', () => {
    const desk = fixture([prefill('p'), decode('d1')])
    desk.desk.warmUpFor(100)
    desk.ask('late', { objectiveLeftMs: -500, patienceMs: 1500 })
    desk.ask('fresh')
    desk.clock.ms = 101
    desk.desk.tick()
    expect([...desk.decisions.keys()][0]).toBe('fresh')
  })

  test('a caller that returns after a refusal is late, whatever its new id and its time limit, and goes behind a new one', () => {
    const desk = fixture([prefill('p')])
    desk.backends.put(decode('d1'))
    desk.desk.warmUpFor(100)
    desk.ask('first', { promptId: 'p1', patienceMs: 50 })
    desk.clock.ms = 60
    desk.desk.tick()
    expect(desk.decisions.get('first')).toMatchObject({ refusal: PlacementRefusal.NoMemory })
    desk.clock.ms = 1500
    desk.desk.warmUpFor(100)
    desk.ask('returned', { promptId: 'p1' })
    desk.ask('new', { promptId: 'p2' })
    desk.clock.ms = 1601
    desk.desk.tick()
    expect([...desk.decisions.keys()].slice(1)).toEqual(['new', 'returned'])
  })

  test('does not take the stalled runs of a failing runner for the usual speed, which decides on roles', () => {
    const desk = fixture([prefill('p'), decode('d1')])
    desk.ask('a')
    const report = (madeTokens: number): void => desk.desk.recordProgress([{ id: 'a', service: 'model', decode: 'd1', promptTokens: 5000, output: { estimateTokens: 5000, maxTokens: 9000 }, madeTokens }])
    report(73)
    const before = desk.desk.mix('model')?.msPerToken ?? 0
    for (let made = 74; made < 94; made += 1) {
      desk.clock.ms += 300
      report(made)
    }
    expect((desk.desk.mix('model')?.msPerToken ?? 0) / before).toBeLessThan(1.1)
  })

  test('says whether decode memory or prefill was short', () => {
    const desk = fixture([prefill('p'), decode('d1')])
    for (let request = 0; request < 6; request += 1) desk.ask(`r${request}`, { patienceMs: 10 })
    desk.clock.ms = 20
    desk.desk.tick()
    expect(desk.decisions.get('r5')).toMatchObject({ refusal: PlacementRefusal.PrefillBusy })
  })

  test('frees memory when a run ends, when nobody reports it any more, and when its runner is gone', () => {
    const desk = fixture([decode('d1')])
    desk.ask('a')
    desk.ask('b')
    desk.desk.release('a')
    expect(desk.desk.runCount).toBe(1)
    desk.clock.ms = 3000
    desk.desk.tick()
    expect(desk.desk.runCount).toBe(0)
    desk.ask('c')
    desk.desk.forgetRunner(decode('d1'))
    expect(desk.desk.runCount).toBe(0)
  })

  test('learns the runs that another desk placed before it places anything', () => {
    const desk = fixture([prefill('p'), decode('d1'), decode('d2')])
    desk.desk.warmUpFor(400)
    desk.desk.recordProgress(Array.from({ length: 8 }, (_, index) => ({ id: `old${index}`, service: 'model', decode: 'd1', promptTokens: 5000, output: { estimateTokens: 5000, maxTokens: 9000 }, madeTokens: 1000 })))
    desk.ask('new')
    expect(desk.decisions.size).toBe(0)
    desk.clock.ms = 401
    desk.desk.tick()
    expect(desk.decisions.get('new')).toMatchObject({ decode: 'd2' })
  })

  test('passes over a runner that has just failed, while there is another', () => {
    const desk = fixture([decode('d1'), decode('d2')])
    desk.desk.recordRunnerFailure('d1')
    desk.ask('a')
    desk.ask('b')
    expect([...desk.decisions.values()].map((decision) => 'decode' in decision && decision.decode)).toEqual(['d2', 'd2'])
  })

  test('refuses at once what no runner can ever hold, and when there is none', () => {
    const desk = fixture([decode('d1')])
    desk.ask('large', { promptTokens: 100_001 })
    expect(desk.decisions.get('large')).toMatchObject({ refusal: PlacementRefusal.TooLarge })
    const none = fixture([])
    none.ask('a')
    expect(none.decisions.get('a')).toMatchObject({ refusal: PlacementRefusal.NoRunner })
  })
})

describe('PlacementScheduler under a burst on a large service', () => {
  test('looks at the list of servers a few times each pass, however many requests wait', () => {
    const servers = Array.from({ length: 30 }, (_, index) => index < 10 ? prefill(`p${index}`) : decode(`d${index}`))
    const desk = fixture(servers)
    for (let request = 0; request < 600; request += 1) {
      desk.ask(`q${request}`, { patienceMs: 2000 })
      readPrompts(desk)
    }
    expect(desk.desk.waitingCount).toBeGreaterThan(200)
    let looks = 0
    const ready = desk.backends.ready.bind(desk.backends)
    desk.backends.ready = (service, stage) => {
      looks += 1
      return ready(service, stage)
    }
    for (const id of [...desk.decisions.keys()].slice(0, 100)) {
      desk.clock.ms += 1
      desk.desk.release(id)
    }
    // Two looks for each of the passes, which are at least ten milliseconds apart.
    expect(looks).toBeLessThanOrEqual(2 * 11)
  })
})
