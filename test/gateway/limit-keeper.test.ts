import { describe, expect, test } from '@jest/globals'
import { LimitKeeper } from '../../src/gateway/limit-keeper.js'
import { ServerLimits } from '../../src/gateway/server-limits.js'
import { backend, recordingLog } from './gateway-fixtures.js'

const server = backend()

function createKeeper (limitPerS: number, fleetShare = 1): { keeper: LimitKeeper, limits: ServerLimits, clock: { ms: number } } {
  const clock = { ms: 1000 }
  const limits = new ServerLimits({ nowMs: () => clock.ms, log: recordingLog() })
  limits.observe(server, limitPerS, 900)
  return { keeper: new LimitKeeper({ nowMs: () => clock.ms, limits, fleetShare: () => fleetShare }), limits, clock }
}

/** Largest number of permits taken in any four seconds, if one is asked for every ten milliseconds. */
function mostInFourSeconds (keeper: LimitKeeper, clock: { ms: number }, durationMs: number): number {
  const takenMs: number[] = []
  for (let ms = 0; ms < durationMs; ms += 10) {
    clock.ms += 10
    if (keeper.tryTake(server)) takenMs.push(clock.ms)
  }
  return Math.max(0, ...takenMs.map((startMs) => takenMs.filter((ms) => ms >= startMs && ms < startMs + 4000).length))
}

describe('LimitKeeper', () => {
  test.each([0.5, 1, 4, 30])('gives out no more permits in four seconds than the limit of %d a second allows, and nearly as many', (limitPerS) => {
    const { keeper, clock } = createKeeper(limitPerS)
    const most = mostInFourSeconds(keeper, clock, 20_000)
    expect(most).toBeLessThanOrEqual(4 * limitPerS + 1 + limitPerS / 2)
    expect(most).toBeGreaterThanOrEqual(Math.floor(4 * limitPerS * 0.9))
  })

  test('accumulates few permits while none are taken', () => {
    const { keeper, clock } = createKeeper(4)
    keeper.tryTake(server)
    clock.ms += 60_000
    expect(mostInFourSeconds(keeper, clock, 100)).toBeLessThanOrEqual(3)
  })

  // Guards against two groups of instances, cut off from each other, that both use the whole limit.
  test('gives out only the part of the limit that belongs to the instances it reaches', () => {
    const { keeper, clock } = createKeeper(9, 1 / 3)
    expect(mostInFourSeconds(keeper, clock, 20_000)).toBeLessThanOrEqual(14)
  })

  test('tells when the next permit is available', () => {
    const { keeper, clock } = createKeeper(2)
    expect(keeper.tryTake(server)).toBe(false)
    const waitMs = keeper.waitMs(server)
    clock.ms += waitMs - 1
    expect(keeper.isAvailable(server)).toBe(false)
    clock.ms += 1
    expect(keeper.tryTake(server)).toBe(true)
  })

  test('gives out permits without a bound once the limit has ended', () => {
    const { keeper, limits, clock } = createKeeper(1)
    clock.ms += 100
    limits.observe(server, null, clock.ms)
    expect(Array.from({ length: 50 }, () => keeper.tryTake(server)).every(Boolean)).toBe(true)
  })
})
