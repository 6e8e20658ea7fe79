import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import type { CallerRequest, Responder } from '../../src/gateway/caller-request.js'
import { StartupQueue } from '../../src/gateway/startup-queue.js'
import { callerRequest, RecordingResponder } from './gateway-fixtures.js'

interface Fixture {
  queue: StartupQueue
  served: string[]
  refused: string[]
  state: { isServedElsewhere: boolean }
}

function createQueue (): Fixture {
  const served: string[] = []
  const refused: string[] = []
  const state = { isServedElsewhere: false }
  const queue = new StartupQueue({
    isServedElsewhere: () => state.isServedElsewhere,
    serve: ({ id }: CallerRequest) => { served.push(id) },
    refuse: ({ id }: CallerRequest, _responder: Responder) => { refused.push(id) }
  })
  return { queue, served, refused, state }
}

// The pattern: all instances restart in load, and callers reach them before the first configuration.
describe('StartupQueue', () => {
  beforeEach(() => { jest.useFakeTimers() })
  afterEach(() => { jest.useRealTimers() })

  // Guards against callers that use up their attempts on instances of which none has a configuration yet.
  test('serves in the order of arrival what arrived before the configuration', () => {
    const { queue, served, refused } = createQueue()
    for (const id of ['a', 'b']) queue.add(callerRequest({ id }), new RecordingResponder())
    jest.advanceTimersByTime(300)
    queue.release()
    jest.advanceTimersByTime(5000)
    expect([served, refused, queue.size]).toEqual([['a', 'b'], [], 0])
  })

  // Guards against requests that are held until their time is up while the store is down.
  test('refuses what has waited in vain, and at once what another instance can serve', () => {
    const { queue, served, refused, state } = createQueue()
    queue.add(callerRequest({ id: 'a' }), new RecordingResponder())
    jest.advanceTimersByTime(1000)
    state.isServedElsewhere = true
    queue.add(callerRequest({ id: 'b' }), new RecordingResponder())
    expect([served, refused]).toEqual([[], ['a', 'b']])
  })

  test('drops the request of a caller that has left, and refuses the others at the exit', () => {
    const { queue, served, refused } = createQueue()
    const responder = new RecordingResponder()
    queue.add(callerRequest({ id: 'a' }), responder)
    queue.add(callerRequest({ id: 'b' }), new RecordingResponder())
    responder.disconnect()
    queue.refuseAll()
    queue.release()
    expect([served, refused]).toEqual([[], ['b']])
  })

  // Guards against requests that run, or are refused again, after they gave up their buffers and were refused with 503.
  test('refuses a request that has to give up its buffers, and does not serve it afterwards', () => {
    const { queue, served, refused } = createQueue()
    const responder = new RecordingResponder()
    queue.add(callerRequest({ id: 'a' }), responder)
    responder.buffers.evict()
    queue.release()
    jest.advanceTimersByTime(1000)
    expect([served, refused, queue.size]).toEqual([[], ['a'], 0])
  })

  // Guards against memory that grows with the callers of an outage of the store.
  test('refuses at once beyond its limit', () => {
    const { queue, refused } = createQueue()
    for (let index = 0; index < 1000; index += 1) queue.add(callerRequest({ id: `q${index}` }), new RecordingResponder())
    expect(queue.size + refused.length).toBe(1000)
    expect(queue.size).toBeLessThan(500)
  })
})
