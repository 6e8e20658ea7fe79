import { describe, expect, test } from '@jest/globals'
import { type BackendServer, RunnerRole } from '../../src/gateway/backend.js'
import { BackendTable } from '../../src/gateway/backend-table.js'
import { OrderTokenIssuer, type OrderRecord } from '../../src/gateway/order-token-issuer.js'
import { type PlatformStore, StoreErrorKind } from '../../src/gateway/platform-store.js'
import { RoleRebalancer } from '../../src/gateway/role-rebalancer.js'
import { backend, recordingLog, ScriptedCalls } from './gateway-fixtures.js'

const mix = { promptTokens: 5200, outputTokens: 5100, prefillTokensPerMs: 50, msPerToken: 0.85, memoryTokens: 95_000 }
const TURN_MS = 3000

/** A store with one record; `delayMs` passes on the caller's clock before a write is answered. */
class RecordStore {
  record: OrderRecord | null = null
  delayMs = 0

  write (clock: { ms: number }): PlatformStore['recordOrder'] {
    return (_service, order, knownRevision) => {
      clock.ms += this.delayMs
      if ((this.record?.revision ?? 0) !== knownRevision) return Promise.resolve({ kind: StoreErrorKind.Conflict, detail: 'changed' })
      this.record = { ...order, revision: (this.record?.revision ?? 40) + 1 }
      return Promise.resolve({ revision: this.record.revision })
    }
  }
}

interface Fixture {
  roles: RoleRebalancer
  authority: OrderTokenIssuer
  calls: ScriptedCalls
  clock: { ms: number }
  backends: BackendTable
  /** Lets time pass with a look every half second. */
  pass: (ms: number) => Promise<void>
}

function instance (holder: string, store: RecordStore): Fixture {
  const clock = { ms: 0 }
  const nowMs = (): number => clock.ms
  const log = recordingLog()
  const backends = new BackendTable({ nowMs })
  const runner = (id: string, stage: RunnerRole): BackendServer => backend({ id, service: 'model', stage })
  for (const id of ['p1', 'p2', 'p3']) backends.put(runner(id, RunnerRole.Prefill))
  for (const id of ['d1', 'd2', 'd3']) backends.put(runner(id, RunnerRole.Decode))
  const calls = new ScriptedCalls(() => 'silent')
  const authority = new OrderTokenIssuer({ store: { recordOrder: store.write(clock) } as PlatformStore, holder, turnMs: () => TURN_MS, log, nowMs })
  const roles = new RoleRebalancer({ backends, backendClient: calls, authority, holder, mix: () => mix, load: () => 0, log, nowMs })
  const pass = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 500) {
      clock.ms += 500
      await roles.rebalance('model')
    }
  }
  return { roles, authority, calls, clock, backends, pass }
}

describe('RoleRebalancer', () => {
  test('gives one order when the runners have been the same for a while, and no other before it has taken effect', async () => {
    const { calls, pass, roles, backends } = instance('a', new RecordStore())
    await pass(2500)
    expect(calls.orders).toEqual([])
    await pass(6000)
    expect(calls.orders).toMatchObject([{ backend: { id: 'p1' }, role: 'decode', holder: 'a', fencingToken: 41 }])
    expect(roles.isChanging('p1')).toBe(true)
    backends.put(backend({ id: 'p1', service: 'model', stage: RunnerRole.Decode }))
    await pass(8000)
    expect(roles.isChanging('p1')).toBe(false)
    expect(calls.orders).toHaveLength(1)
  })

  test('gives no work to a runner whose role another instance has ordered to change', async () => {
    const { roles, backends, pass } = instance('b', new RecordStore())
    roles.noteForeignOrder('p1')
    expect(roles.isChanging('p1')).toBe(true)
    backends.put(backend({ id: 'p1', service: 'model', stage: RunnerRole.Decode }))
    await pass(500)
    expect(roles.isChanging('p1')).toBe(false)
  })

  test('asks again some time after an order without an answer, with a higher number', async () => {
    const { calls, pass } = instance('a', new RecordStore())
    calls.orderOutcome = 'unknown'
    await pass(15_000)
    expect(calls.orders.length).toBeGreaterThan(1)
    const numbers = calls.orders.map(({ fencingToken: fencingNumber }) => fencingNumber)
    expect(numbers).toEqual(numbers.toSorted((a, b) => a - b))
    expect(new Set(numbers).size).toBe(numbers.length)
  })

  test('another instance gives no order while the first may still give one, and never one with a lower number', async () => {
    const store = new RecordStore()
    const first = instance('a', store)
    const second = instance('b', store)
    await first.pass(5000)
    second.authority.observe('model', { holder: 'a', server: 'p1', revision: 41 })
    await second.pass(4000)
    expect(second.calls.orders).toEqual([])
    await second.pass(3000)
    expect(second.calls.orders).toMatchObject([{ holder: 'b', fencingToken: 42 }])
  })

  test('an instance that has not seen the newest record gets no number', async () => {
    const store = new RecordStore()
    await instance('a', store).pass(5000)
    const stale = instance('b', store)
    await stale.pass(6000)
    expect(stale.calls.orders).toEqual([])
  })

  test('an instance that was held up after it asked gives no order with the number', async () => {
    const store = new RecordStore()
    store.delayMs = 900
    const { calls, pass } = instance('a', store)
    await pass(5000)
    expect(calls.orders).toEqual([])
  })
})
