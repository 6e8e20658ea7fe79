import { describe, expect, test } from '@jest/globals'
import { DepartedServers } from '../../src/gateway/departed-servers.js'
import { backend } from './gateway-fixtures.js'

describe('DepartedServers', () => {
  // Guards against memory that grows with every server that ever ran.
  test('remembers a bounded number of servers for a bounded time', () => {
    const clock = { ms: 0 }
    const departed = new DepartedServers({ nowMs: () => clock.ms })
    for (let number = 0; number < 3000; number += 1) departed.record(backend({ id: `b${number}` }), clock.ms)
    expect([departed.all().length, departed.hadGoneBefore(backend({ id: 'b0' }), 1), departed.hadGoneBefore(backend({ id: 'b2999' }), 1)]).toEqual([2000, false, true])
    clock.ms = 61_000
    departed.expire()
    expect(departed.all()).toEqual([])
  })

  // Guards against a server that is used again because its departure was overwritten by a poorer record of it.
  test('keeps the newest incarnation, and that it had said to leave', () => {
    const departed = new DepartedServers({ nowMs: () => 10_000 })
    departed.merge([{ id: 'b1', startedAtMs: 2, leaving: true, ageMs: 6000 }])
    departed.record(backend({ startedAtMs: 2 }), 9000)
    departed.merge([{ id: 'b1', startedAtMs: 1, leaving: false, ageMs: 500 }])
    expect(departed.all()).toEqual([{ id: 'b1', startedAtMs: 2, leaving: true, ageMs: 6000 }])
    departed.merge([{ id: 'b1', startedAtMs: 3, leaving: false, ageMs: 7000 }])
    expect(departed.all()).toEqual([{ id: 'b1', startedAtMs: 3, leaving: false, ageMs: 7000 }])
  })
})
