import { describe, expect, test } from '@jest/globals'
import { UsualDuration } from '../../src/gateway/usual-duration.js'

describe('UsualDuration', () => {
  test('is the time within which nine of ten of the newest requests have ended, once there are enough', () => {
    const durations = new UsualDuration()
    for (let ms = 1; ms < 10; ms += 1) durations.record('r', ms)
    expect(durations.of('r')).toBe(Infinity)
    durations.record('r', 500)
    expect(durations.of('r')).toBe(9)
    for (let count = 0; count < 50; count += 1) durations.record('r', 30)
    expect(durations.of('r')).toBe(30)
    durations.retain(new Set())
    expect(durations.of('r')).toBe(Infinity)
  })
})
