import { describe, expect, test } from '@jest/globals'
import { ServerLimits } from '../../src/gateway/server-limits.js'
import { backend, recordingLog } from './gateway-fixtures.js'

function createLimits (): { limits: ServerLimits, clock: { ms: number }, changes: { count: number }, lines: string[] } {
  const clock = { ms: 1000 }
  const changes = { count: 0 }
  const log = recordingLog()
  return { limits: new ServerLimits({ nowMs: () => clock.ms, log, onChange: () => { changes.count += 1 } }), clock, changes, lines: log.lines }
}

const server = backend()

describe('ServerLimits', () => {
  test('knows a limit from the answer that names it until a later request is answered without one', () => {
    const { limits, clock, lines } = createLimits()
    limits.observe(server, 4, 900)
    expect([limits.limitOf(server), limits.size]).toEqual([4, 1])
    clock.ms += 500
    limits.observe(server, null, 1400)
    expect([limits.limitOf(server), limits.size]).toEqual([null, 0])
    expect(lines).toEqual(['limit.named server=b1@1@10.0.0.1:80 limitPerS=4 beforePerS=none from=answer', 'limit.ended server=b1@1@10.0.0.1:80 beforePerS=4 from=answer'])
  })

  // Guards against a limit that is lifted by the late answer to a request sent before it was named.
  test('keeps a limit when a request that was sent before it was named is answered without one', () => {
    const { limits, clock } = createLimits()
    limits.observe(server, 4, 900)
    clock.ms += 500
    limits.observe(server, null, 950)
    expect(limits.limitOf(server)).toBe(4)
  })

  test.each([
    ['zero still allows a request now and then', 0, 0.5],
    ['one so large that it limits nothing is none', 1e12, null]
  ])('bounds the limit: %s', (_name, stated, enforced) => {
    const { limits } = createLimits()
    limits.observe(server, stated, 900)
    expect(limits.limitOf(server)).toBe(enforced)
  })

  test('has no limit for another incarnation of the server', () => {
    const { limits } = createLimits()
    limits.observe(server, 4, 900)
    expect(limits.limitOf(backend({ startedAtMs: 2 }))).toBeNull()
  })

  test('takes the newer of two observations, whichever instance made it, and does not bring back a limit that has ended', () => {
    const { limits: own, clock } = createLimits()
    const other = createLimits()
    own.observe(server, 4, 900)
    const older = own.reports()
    clock.ms += 300
    own.observe(server, null, 1100)
    own.merge('10.0.0.2', older.map((report) => ({ ...report, ageMs: 300 })))
    expect(own.limitOf(server)).toBeNull()
    other.limits.merge('10.0.0.1', older)
    expect(other.limits.limitOf(server)).toBe(4)
    other.clock.ms += 300
    other.limits.merge('10.0.0.1', own.reports())
    expect(other.limits.limitOf(server)).toBeNull()
  })

  test('reports the start, the end and clear changes of a limit, not each answer', () => {
    const { limits, changes } = createLimits()
    for (const limitPerS of [4, 4, 4.1, 5, 5.2]) limits.observe(server, limitPerS, 900)
    expect(changes.count).toBe(2)
  })

  test('forgets servers that are gone', () => {
    const { limits } = createLimits()
    limits.observe(server, 4, 900)
    limits.retain(new Set())
    expect(limits.reports()).toEqual([])
  })
})
