import { describe, expect, test } from '@jest/globals'
import { UsualValue } from '../../src/gateway/usual-value.js'

describe('UsualValue', () => {
  test('is the one that nine of ten of the newest do not exceed, once there are enough', () => {
    const values = new UsualValue()
    for (let ms = 1; ms < 10; ms += 1) values.record('r', ms)
    expect(values.of('r')).toBe(Infinity)
    values.record('r', 500)
    expect(values.of('r')).toBe(9)
    for (let count = 0; count < 50; count += 1) values.record('r', 30)
    expect(values.of('r')).toBe(30)
    values.retain(new Set())
    expect(values.of('r')).toBe(Infinity)
  })
})
