import { describe, expect, test } from '@jest/globals'
import { percentile, type PlainLoad, PlainLoadModel, type PlainResult, type Policy } from './plain-load-model.js'

/** Largest 99th percentile of the time to an answer, as a multiple of that with perfect knowledge. */
const MAX_RATIO_TO_PERFECT = 1.3

const patterns: Array<{ name: string } & Pick<PlainLoad, 'load' | 'speed'>> = [
  { name: 'steady demand', load: () => 0.6 },
  { name: 'a server at half speed', load: () => 0.6, speed: (server) => server === 0 ? 0.5 : 1 },
  { name: 'a server that slows down for 600 ms', load: () => 0.6, speed: (server, nowMs) => server === 0 && nowMs % 4000 < 600 ? 0.4 : 1 },
  { name: 'bursts of 2.2 times the usual demand', load: (second) => second % 5 === 2 ? 0.88 : 0.4 }
]

const fleets = [
  { instances: 9, servers: 3 },
  { instances: 84, servers: 3 },
  { instances: 300, servers: 3 },
  { instances: 300, servers: 30, seconds: 6 }
]

function play (load: Partial<PlainLoad>, policy: Policy = 'places'): PlainResult {
  return new PlainLoadModel({ instances: 84, servers: 3, seconds: 12, load: () => 0.6, ...load }, policy, 1).run()
}

function p99 ({ answeredMs }: PlainResult): number {
  return percentile(answeredMs, 0.99)
}

describe('many instances before few plain servers', () => {
  // Guards against instances that send by figures of their own, which say nothing of a server that they rarely see.
  test.each(fleets.flatMap((fleet) => patterns.map((pattern) => ({ ...fleet, ...pattern }))))('$instances instances before $servers servers, $name: callers wait hardly longer than with perfect knowledge', (load) => {
    const places = play(load)
    expect(places.refused).toBe(0)
    expect(p99(places)).toBeLessThanOrEqual(MAX_RATIO_TO_PERFECT * p99(play(load, 'perfect')))
  }, 60_000)

  // Guards against a cost that grows with requests times instances.
  test('takes three messages for each request, however many instances there are', () => {
    for (const instances of [9, 300]) {
      const { messages, answeredMs } = play({ instances })
      expect(messages / answeredMs.length).toBeCloseTo(3, 1)
    }
  })
})

describe('more demand than the plain servers can take', () => {
  // Guards against a queue in which all requests wait until each is just too late.
  test('serves most answers in time and refuses the rest soon', () => {
    const { answeredMs, refused } = play({ load: () => 1.5 })
    const onTime = answeredMs.filter((ms) => ms <= 197).length
    expect(onTime / (answeredMs.length + refused)).toBeGreaterThan(0.6)
  })
})
