import { describe, expect, test } from '@jest/globals'
import { RelativeSpeed } from '../../src/gateway/relative-speed.js'

function fixture (): { speed: RelativeSpeed, work: (seconds: number, factor: number) => void, pass: (ms: number) => void } {
  const clock = { ms: 0 }
  const speed = new RelativeSpeed({ nowMs: () => clock.ms })
  const work = (seconds: number, factor: number): void => {
    for (let report = 0; report < seconds * 10; report += 1, clock.ms += 100) speed.record({ expectedMs: 300 * factor, takenMs: 300 })
  }
  return { speed, work, pass: (ms) => { clock.ms += ms } }
}

describe('RelativeSpeed', () => {
  test('is usual before any measurement', () => {
    expect(fixture().speed.value).toBe(1)
  })

  test('keeps the lasting speed of a slow runner that has had no work for a while', () => {
    const { speed, work, pass } = fixture()
    work(10, 0.55)
    pass(5000)
    expect(speed.value).toBeCloseTo(0.55, 1)
  })

  // Guards against requests that are sent to a runner while it is slow for a moment, and against avoiding it afterwards.
  test('falls while a runner is slow for a moment, and soon returns', () => {
    const { speed, work } = fixture()
    work(20, 1)
    work(0.6, 0.2)
    expect(speed.value).toBeLessThan(0.8)
    work(5, 1)
    expect(speed.value).toBeGreaterThan(0.9)
  })

  test('one report that is off by an event changes little', () => {
    const { speed } = fixture()
    speed.record({ expectedMs: 250, takenMs: 300 })
    expect(speed.value).toBeGreaterThan(0.9)
  })
})
