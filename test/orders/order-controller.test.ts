import { expect, test } from '@jest/globals'
import { RunnerRole } from '../../src/board/backend-server.js'
import { OrderActionKind } from '../../src/orders/order-action.js'
import { OrderEventKind } from '../../src/orders/order-event.js'
import { bundleWith, OrderModel } from './order-model.js'

const staleOrder = (server: string, fence: number, leaseEndMs: number): Parameters<OrderModel['perform']>[1] =>
  ({ kind: OrderActionKind.SendOrder, server, fence, leaseEndMs, role: RunnerRole.Prefill, models: [{ model: 'm', version: '1', adapters: [] }] })

test('guards against two planners whose orders together take a model below its minimum: only the lease holder sends orders', () => {
  const model = new OrderModel(['e1', 'e2'])
  model.applyBundle(1, bundleWith('2'), ['e1'])
  model.applyBundle(2, bundleWith('3'), ['e2'])
  model.run(120)
  expect(new Set(model.sent.map(({ holder }) => holder)).size).toBe(1)
  expect(model.fewestServing).toBeGreaterThanOrEqual(4)
  expect(['222222', '333333']).toContain(model.versions())
})

test('guards against orders of a holder that was paused past the end of its lease', () => {
  const model = new OrderModel(['e1', 'e2'])
  model.run(5, ['e1'])
  model.applyBundle(1, bundleWith('1'))
  model.run(5, ['e1'])
  model.applyBundle(2, bundleWith('2'))
  model.run(120, ['e2'])
  expect(model.versions()).toBe('222222')
  model.applyBundle(3, bundleWith('3'), ['e1'])
  const before = model.sent.length
  model.run(10, ['e1'])
  expect(model.sent.length).toBe(before)
  expect(model.lease.holder).toBe('e2')
})

test.each([true, false])('guards against a late order of an earlier lease holder; the runner checks the fencing token: %s', (checksFence) => {
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

test('guards against a second order because of a reading that was in progress when the first one was sent', () => {
  const model = new OrderModel(['e1'])
  model.applyBundle(1, bundleWith('2'))
  const before = structuredClone(model.runners.get('r0')?.state)
  while (model.sent.length === 0) model.run(1)
  if (before === undefined) throw new Error('no runner')
  model.nowMs += 500
  model.step('e1', { kind: OrderEventKind.RunnerStateRead, server: 'r0', state: before })
  model.step('e1', { kind: OrderEventKind.OrderTick })
  expect(model.sent.filter(({ server }) => server === 'r0').length).toBe(1)
})

test('guards against a rollout that goes on after runners fail, and one that cannot be rolled back', () => {
  const model = new OrderModel(['e1'])
  model.failingVersion = '2'
  model.applyBundle(1, bundleWith('2'))
  model.run(120)
  expect([...model.runners.values()].filter(({ state }) => state.failed).length).toBeLessThanOrEqual(2)
  expect(model.logs.filter((name) => name === 'rollout_stopped').length).toBe(1)
  expect(model.board('e1').orderPools.get('s')?.stopped).toMatchObject({ version: 1 })
  const before = model.sent.length
  model.run(60)
  expect(model.sent.length).toBe(before)
  model.applyBundle(2, bundleWith('1'))
  model.run(60)
  expect(model.versions()).toBe('111111')
})

test('guards against orders without a lease during an outage of the key-value service, and against simultaneous lease requests', () => {
  const ids = Array.from({ length: 40 }, (_, index) => `e${index}`)
  const model = new OrderModel(ids)
  model.applyBundle(1, bundleWith('1'))
  model.run(5)
  model.keyValueDown = true
  model.applyBundle(2, bundleWith('2'))
  const fromMs = model.nowMs
  model.run(20)
  const before = model.sent.length
  model.run(300)
  expect(model.sent.length).toBe(before)
  const late = model.acquisitions.filter(({ atMs }) => atMs > fromMs + 60000).map(({ atMs }) => atMs)
  const perSecond = Math.max(...late.map((second) => late.filter((atMs) => atMs === second).length))
  expect(perSecond).toBeLessThan(ids.length / 4)
  model.keyValueDown = false
  model.run(120)
  expect(model.versions()).toBe('222222')
})
