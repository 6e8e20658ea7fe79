import { expect, test } from '@jest/globals'
import { CallEventKind } from '../../src/calls/call-event.js'
import { CallFleet } from './call-fleet.js'

const stock = { route: 'stock' }

test('a failed try is retried on another server after a backoff, and a stalled try leaves time for that', () => {
  const fleet = new CallFleet(['a'])
  fleet.random = () => 0.5
  fleet.arrive('a', 'c1', stock)
  expect(fleet.sent[0]?.timeoutMs).toBeLessThan(1000)
  fleet.advance(fleet.sent[0]!.timeoutMs)
  fleet.fail('a', 'c1', true)
  expect(fleet.sent).toHaveLength(1)
  fleet.advance(500)
  expect(fleet.sent[1]?.server).not.toBe(fleet.sent[0]?.server)
  fleet.finish('a', 'c1')
  expect(fleet.replies).toEqual({ c1: ['answer of c1'] })
})

test('no try lasts beyond the deadline of the route', () => {
  const fleet = new CallFleet(['a'])
  fleet.arrive('a', 'c1', stock)
  const endMs = fleet.nowMs + 2000
  while (fleet.replies.c1 === undefined) {
    const { timeoutMs } = fleet.sent.at(-1)!
    expect(fleet.sentMs + timeoutMs).toBeLessThanOrEqual(endMs)
    fleet.advance(fleet.sentMs + timeoutMs - fleet.nowMs)
    const sentBefore = fleet.sent.length
    fleet.fail('a', 'c1', true)
    for (let waitedMs = 0; waitedMs < 500 && fleet.sent.length === sentBefore; waitedMs += 1) fleet.advance(1)
    if (fleet.sent.length === sentBefore) break
  }
  expect(fleet.replies).toEqual({ c1: ['outcome_unknown'] })
  expect(fleet.board('a').calls.size).toBe(0)
})

test('when every server fails, retries add less than a third to the load', () => {
  const fleet = new CallFleet(['a'], Array.from({ length: 600 }, (_, index) => `s${index}`))
  let seed = 0
  fleet.random = () => { seed = (seed * 16807 + 7) % 2147483647; return seed / 2147483647 }
  for (let call = 0; call < 200; call += 1) {
    fleet.arrive('a', `c${call}`, stock)
    for (let sentBefore = -1; sentBefore < fleet.sent.length && fleet.replies[`c${call}`] === undefined;) {
      sentBefore = fleet.sent.length
      fleet.fail('a', `c${call}`, true)
      fleet.advance(100)
    }
  }
  expect(fleet.sent.length).toBeGreaterThan(210)
  expect(fleet.sent.length).toBeLessThan(200 * 1.3)
})

test('a stalled server is not chosen again while its breaker is open', () => {
  const fleet = new CallFleet(['a'], ['s1', 's2'])
  for (let call = 0; call < 3; call += 1) {
    fleet.arrive('a', `c${call}`, stock)
    expect(fleet.serverOf(`c${call}`)).toBe('s1')
    fleet.fail('a', `c${call}`, true)
    fleet.advance(0)
    fleet.finish('a', `c${call}`)
  }
  const sentBefore = fleet.sent.length
  for (let call = 10; call < 20; call += 1) {
    fleet.arrive('a', `c${call}`, stock)
    fleet.finish('a', `c${call}`)
  }
  expect(new Set(fleet.sent.slice(sentBefore).map(({ server }) => server))).toEqual(new Set(['s2']))
})

test('a leaving server gets neither first tries nor retries', () => {
  const fleet = new CallFleet(['a'], ['s1', 's2'])
  fleet.arrive('a', 'c1', stock)
  fleet.listServers('a', ['s1', 's2'], ['s2'])
  fleet.fail('a', 'c1', true)
  fleet.advance(500)
  fleet.arrive('a', 'c2', stock)
  expect(fleet.sent.map(({ server }) => server)).toEqual(['s1', 's1', 's1'])
})

test('an error status that means an unavailable server is retried, any other is returned as the answer', () => {
  const fleet = new CallFleet(['a'])
  fleet.arrive('a', 'c1', stock)
  fleet.finish('a', 'c1', 503)
  fleet.advance(500)
  fleet.finish('a', 'c1', 404)
  expect(fleet.sent).toHaveLength(2)
  expect(fleet.replies).toEqual({ c1: ['answer of c1'] })
})

test('a call is not retried after its caller disconnected', () => {
  const fleet = new CallFleet(['a'])
  fleet.arrive('a', 'c1', stock)
  fleet.step('a', { kind: CallEventKind.CallerDisconnected, call: 'c1' })
  fleet.fail('a', 'c1', true)
  fleet.advance(5000)
  expect(fleet.sent).toHaveLength(1)
  expect(fleet.board('a').calls.size).toBe(0)
})

test('the limits on concurrency and rate of one organisation do not affect another', () => {
  const fleet = new CallFleet(['a'])
  for (let call = 0; call < 5; call += 1) fleet.arrive('a', `c${call}`, stock)
  fleet.arrive('a', 'other', { ...stock, organisation: 'other' })
  expect(fleet.replies).toEqual({ c4: ['organisation_limit'] })
  fleet.finish('a', 'c0')
  fleet.arrive('a', 'c5', stock)
  expect(fleet.sent.map(({ call }) => call)).toEqual(['c0', 'c1', 'c2', 'c3', 'other', 'c5'])
})

test('a burst beyond the requests per second is refused until the bucket has refilled', () => {
  const fleet = new CallFleet(['a'])
  const countAnswered = (calls: number): number => {
    const sentBefore = fleet.sent.length
    for (let call = 0; call < calls; call += 1) {
      fleet.arrive('a', `${fleet.nowMs}-${call}`, stock)
      if (fleet.sent.at(-1)?.call === `${fleet.nowMs}-${call}`) fleet.finish('a', `${fleet.nowMs}-${call}`)
    }
    return fleet.sent.length - sentBefore
  }
  expect(countAnswered(1500)).toBe(1000)
  fleet.advance(100)
  expect(countAnswered(500)).toBe(100)
})
