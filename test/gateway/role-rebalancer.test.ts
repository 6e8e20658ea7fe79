import { describe, expect, test } from '@jest/globals'
import { type BackendServer, RunnerRole } from '../../src/gateway/backend.js'
import { BackendTable } from '../../src/gateway/backend-table.js'
import { OrderTokenIssuer, type OrderRecord } from '../../src/gateway/order-token-issuer.js'
import { type PlatformStore, StoreErrorKind } from '../../src/gateway/platform-store.js'
import { RoleRebalancer } from '../../src/gateway/role-rebalancer.js'
import { backend, recordingLog, ScriptedBackendClient } from './gateway-fixtures.js'

const mix = { promptTokens: 5200, outputTokens: 5100, prefillTokensPerMs: 50, msPerToken: 0.85, memoryTokens: 95_000, slots: 64 }
const TURN_MS = 3000

/** Base of the fencing tokens of an era. */
const ERA_TOKENS = 2 ** 36

/** A store with one record; each write advances the caller's clock by `delayMs` before it is answered. */
class RecordStore {
  record: OrderRecord | null = null
  delayMs = 0
  era = 1
  revision = 40

  /** Returns from a copy that was made at the revision, with the record of that time. */
  restore (record: OrderRecord | null, revision: number): void {
    Object.assign(this, { record, revision, era: this.era + 1 })
  }

  recordOrderWith (clock: { ms: number }): PlatformStore['recordOrder'] {
    return (_service, order, expectedRevision) => {
      clock.ms += this.delayMs
      if ((this.record?.revision ?? 0) !== expectedRevision) return Promise.resolve({ kind: StoreErrorKind.Conflict, detail: 'changed' })
      this.revision += 1
      this.record = { ...order, revision: this.revision }
      return Promise.resolve({ era: this.era, revision: this.revision })
    }
  }
}

interface Fixture {
  rebalancer: RoleRebalancer
  tokenIssuer: OrderTokenIssuer
  backendClient: ScriptedBackendClient
  clock: { ms: number }
  backends: BackendTable
  /** Advances the clock by this many milliseconds and calls `rebalance` every half second. */
  advance: (ms: number) => Promise<void>
}

function createInstance (holder: string, store: RecordStore): Fixture {
  const clock = { ms: 0 }
  const nowMs = (): number => clock.ms
  const log = recordingLog()
  const backends = new BackendTable({ nowMs })
  const runner = (id: string, stage: RunnerRole): BackendServer => backend({ id, service: 'model', stage })
  for (const id of ['p1', 'p2', 'p3']) backends.put(runner(id, RunnerRole.Prefill))
  for (const id of ['d1', 'd2', 'd3']) backends.put(runner(id, RunnerRole.Decode))
  const backendClient = new ScriptedBackendClient(() => 'silent')
  const tokenIssuer = new OrderTokenIssuer({ store: { recordOrder: store.recordOrderWith(clock) } as PlatformStore, holder, turnMs: () => TURN_MS, log, nowMs })
  tokenIssuer.observeEra(store.era)
  const rebalancer = new RoleRebalancer({ backends, backendClient, tokenIssuer, holder, requestMix: () => mix, load: () => 0, log, nowMs })
  const advance = async (ms: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 500) {
      clock.ms += 500
      await rebalancer.rebalance('model')
    }
  }
  return { rebalancer, tokenIssuer, backendClient, clock, backends, advance }
}

describe('RoleRebalancer', () => {
  test('sends one order when the runners have been unchanged for a while, and no other one before it has taken effect', async () => {
    const { backendClient, advance, rebalancer, backends } = createInstance('a', new RecordStore())
    await advance(2500)
    expect(backendClient.orders).toEqual([])
    await advance(6000)
    expect(backendClient.orders).toMatchObject([{ backend: { id: 'p1' }, role: 'decode', holder: 'a', fencingToken: ERA_TOKENS + 41 }])
    expect(rebalancer.isChanging('p1')).toBe(true)
    backends.put(backend({ id: 'p1', service: 'model', stage: RunnerRole.Decode }))
    await advance(8000)
    expect(rebalancer.isChanging('p1')).toBe(false)
    expect(backendClient.orders).toHaveLength(1)
  })

  test('marks a runner as changing from an order of another instance until the server list shows its new role', async () => {
    const { rebalancer, backends, advance } = createInstance('b', new RecordStore())
    rebalancer.recordPeerOrder('p1')
    expect(rebalancer.isChanging('p1')).toBe(true)
    backends.put(backend({ id: 'p1', service: 'model', stage: RunnerRole.Decode }))
    await advance(500)
    expect(rebalancer.isChanging('p1')).toBe(false)
  })

  test('sends another order with a higher fencing token after one without an answer', async () => {
    const { backendClient, advance } = createInstance('a', new RecordStore())
    backendClient.orderOutcome = 'unknown'
    await advance(15_000)
    expect(backendClient.orders.length).toBeGreaterThan(1)
    const tokens = backendClient.orders.map(({ fencingToken }) => fencingToken)
    expect(tokens).toEqual(tokens.toSorted((a, b) => a - b))
    expect(new Set(tokens).size).toBe(tokens.length)
  })

  test('another instance sends no order while the first may still send one, and then sends one with a higher fencing token', async () => {
    const store = new RecordStore()
    const first = createInstance('a', store)
    const second = createInstance('b', store)
    await first.advance(5000)
    second.tokenIssuer.observe('model', { holder: 'a', server: 'p1', revision: 41 }, 1)
    await second.advance(4000)
    expect(second.backendClient.orders).toEqual([])
    await second.advance(3000)
    expect(second.backendClient.orders).toMatchObject([{ holder: 'b', fencingToken: ERA_TOKENS + 42 }])
  })

  test('an instance that has not seen the newest record acquires no fencing token', async () => {
    const store = new RecordStore()
    await createInstance('a', store).advance(5000)
    const stale = createInstance('b', store)
    await stale.advance(6000)
    expect(stale.backendClient.orders).toEqual([])
  })

  test('an instance whose token acquisition took too long sends no order with the token', async () => {
    const store = new RecordStore()
    store.delayMs = 900
    const { backendClient, advance } = createInstance('a', store)
    await advance(5000)
    expect(backendClient.orders).toEqual([])
  })

  // Guards against two orders with one fencing token, or a lower one after a higher one: the store gives its revisions out again.
  test.each([
    ['has the record of that time', { holder: 'a', server: 'p1', revision: 41 }],
    ['has no record yet', null]
  ])('fencing tokens rise when the store returns from a copy that %s', async (_name, record) => {
    const store = new RecordStore()
    const { tokenIssuer, clock } = createInstance('a', store)
    clock.ms += 5000
    const tokens = [await tokenIssuer.acquire('model', 'p1'), await tokenIssuer.acquire('model', 'p2'), await tokenIssuer.acquire('model', 'p1')]
    store.restore(record, 41)
    tokenIssuer.observeEra(2)
    if (record !== null) tokenIssuer.observe('model', record, 2)
    clock.ms += 5000
    tokens.push(await tokenIssuer.acquire('model', 'p2'))
    expect(tokens).toEqual([ERA_TOKENS + 41, ERA_TOKENS + 42, ERA_TOKENS + 43, 2 * ERA_TOKENS + 42])
  })

  // Guards against orders of two holders in turn: the store had lost the record of the first one's order.
  test('an instance acquires no fencing token until the turn of a holder whose record was lost has passed', async () => {
    const store = new RecordStore()
    const first = createInstance('a', store)
    const second = createInstance('b', store)
    for (const { clock } of [first, second]) clock.ms += 5000
    expect(await first.tokenIssuer.acquire('model', 'p1')).not.toBeNull()
    store.restore(null, 40)
    second.tokenIssuer.observeEra(2)
    expect(await second.tokenIssuer.acquire('model', 'p1')).toBeNull()
    second.clock.ms += TURN_MS + 1400
    expect(await second.tokenIssuer.acquire('model', 'p1')).toBeNull()
    second.clock.ms += 200
    expect(await second.tokenIssuer.acquire('model', 'p1')).toBe(2 * ERA_TOKENS + 41)
  })

  // Guards against orders of two holders in turn: the copy had the first one's older record, so that its write succeeded before it learned of the new era.
  test('an instance sends no order with a token that was granted in an era that it has not seen', async () => {
    const store = new RecordStore()
    const { tokenIssuer, clock } = createInstance('a', store)
    clock.ms += 5000
    await tokenIssuer.acquire('model', 'p1')
    store.restore({ holder: 'a', server: 'p1', revision: 41 }, 41)
    expect(await tokenIssuer.acquire('model', 'p2')).toBeNull()
    expect(tokenIssuer.mayAcquire('model')).toBe(false)
    clock.ms += 5000
    expect(await tokenIssuer.acquire('model', 'p2')).toBe(2 * ERA_TOKENS + 43)
  })

  // Guards against a token that is rounded to that of another order.
  test('an instance sends no order with a token that is no safe integer', async () => {
    const store = new RecordStore()
    store.era = 2 ** 18
    const { tokenIssuer, clock } = createInstance('a', store)
    clock.ms += 5000
    expect(await tokenIssuer.acquire('model', 'p1')).toBeNull()
  })
})
