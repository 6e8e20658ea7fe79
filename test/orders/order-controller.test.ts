import { expect, test } from '@jest/globals'
import { RunnerRole } from '../../src/board/backend-server.js'
import { OrderActionKind } from '../../src/orders/order-action.js'
import { OrderEventKind } from '../../src/orders/order-event.js'
import { bundleWith, OrderModel } from './order-model.js'

const staleOrder = (server: string, fence: number, leaseEndMs: number): Parameters<OrderModel['perform']>[1] =>
  ({ kind: OrderActionKind.SendOrder, server, fence, leaseEndMs, role: RunnerRole.Prefill, models: [{ model: 'm', version: '1', adapters: [] }] })

test('of two planners with different bundles only the lease holder sends orders, so that together they never take a model below its minimum', () => {
  const model = new OrderModel(['e1', 'e2'])
  model.applyBundle(1, bundleWith('2'), ['e1'])
  model.applyBundle(2, bundleWith('3'), ['e2'])
  model.run(120)
  expect(new Set(model.sent.map(({ holder }) => holder)).size).toBe(1)
  expect(model.fewestServing).toBeGreaterThanOrEqual(4)
  expect(['222222', '333333']).toContain(model.versions())
})

test('an instance that was paused past the end of its lease sends no orders', () => {
  const model = new OrderModel(['e1', 'e2'])
  model.run(5, ['e1'])
  model.applyBundle(1, bundleWith('1'))
  model.run(5, ['e1'])
  model.applyBundle(2, bundleWith('2'))
  model.run(120, ['e2'])
  expect(model.versions()).toBe('222222')
  model.applyBundle(3, bundleWith('3'), ['e1'])
  const sentBefore = model.sent.length
  model.run(10, ['e1'])
  expect(model.sent.length).toBe(sentBefore)
  expect(model.lease.holder).toBe('e2')
})

test.each([true, false])('a late order of an earlier lease holder is refused or corrected; the runner checks the fencing token: %s', (checksFence) => {
  const model = new OrderModel(['e1', 'e2'])
  model.checksFence = checksFence
  model.applyBundle(1, bundleWith('1'))
  model.run(10, ['e1'])
  const { fence, endMs } = model.lease
  model.applyBundle(2, bundleWith('2'))
  model.run(120, ['e2'])
  expect(model.versions()).toBe('222222')
  model.perform('e1', staleOrder('r0', fence, endMs))
  model.run(4, [])
  expect(model.versions()).toBe(checksFence ? '222222' : '122222')
  model.run(20, ['e2'])
  expect(model.versions()).toBe('222222')
})

test('a reading that was in progress when an order was sent causes no second order', () => {
  const model = new OrderModel(['e1'])
  model.applyBundle(1, bundleWith('2'))
  const stateBefore = structuredClone(model.runners.get('r0')?.state)
  while (model.sent.length === 0) model.run(1)
  if (stateBefore === undefined) throw new Error('no runner')
  model.nowMs += 500
  model.step('e1', { kind: OrderEventKind.RunnerStateRead, server: 'r0', state: stateBefore })
  model.step('e1', { kind: OrderEventKind.OrderTick })
  expect(model.sent.filter(({ server }) => server === 'r0').length).toBe(1)
})

test('a rollout stops after runners fail, and can be rolled back', () => {
  const model = new OrderModel(['e1'])
  model.failingVersion = '2'
  model.applyBundle(1, bundleWith('2'))
  model.run(120)
  expect([...model.runners.values()].filter(({ state }) => state.failed).length).toBeLessThanOrEqual(2)
  expect(model.logs.filter((name) => name === 'rollout_stopped').length).toBe(1)
  expect(model.board('e1').orderPools.get('s')?.stopped).toMatchObject({ version: 1 })
  const sentBefore = model.sent.length
  model.run(60)
  expect(model.sent.length).toBe(sentBefore)
  model.applyBundle(2, bundleWith('1'))
  model.run(60)
  expect(model.versions()).toBe('111111')
})

test('during an outage of the key-value service no orders are sent without a lease, and instances do not request the lease simultaneously', () => {
  const ids = Array.from({ length: 40 }, (_, index) => `e${index}`)
  const model = new OrderModel(ids)
  model.applyBundle(1, bundleWith('1'))
  model.run(5)
  model.keyValueDown = true
  model.applyBundle(2, bundleWith('2'))
  const fromMs = model.nowMs
  model.run(20)
  const sentBefore = model.sent.length
  model.run(300)
  expect(model.sent.length).toBe(sentBefore)
  const lateRequestsMs = model.leaseRequests.filter(({ atMs }) => atMs > fromMs + 60000).map(({ atMs }) => atMs)
  const maxSimultaneous = Math.max(...lateRequestsMs.map((requestMs) => lateRequestsMs.filter((atMs) => atMs === requestMs).length))
  expect(maxSimultaneous).toBeLessThan(ids.length / 4)
  model.keyValueDown = false
  model.run(120)
  expect(model.versions()).toBe('222222')
})
