import { describe, expect, test } from '@jest/globals'
import { peakMemory } from '../../src/gateway/memory-forecast.js'
import { expectedRemaining } from '../../src/gateway/output-length.js'

describe('peakMemory', () => {
  test('is the memory just before the end of the run at which it is highest', () => {
    expect(peakMemory([])).toBe(0)
    expect(peakMemory([{ heldTokens: 100, remainingTokens: 50 }])).toBe(150)
    // At the end of the first run: 110 + 210; at the end of the second: 230 alone.
    expect(peakMemory([{ heldTokens: 200, remainingTokens: 30 }, { heldTokens: 100, remainingTokens: 10 }])).toBe(320)
  })

  test('counts less for runs that end at different times than for runs that end together', () => {
    const spread = [1000, 2000, 3000, 4000].map((remainingTokens) => ({ heldTokens: 5000, remainingTokens }))
    const together = spread.map(() => ({ heldTokens: 5000, remainingTokens: 4000 }))
    expect(peakMemory(spread)).toBeLessThan(peakMemory(together))
  })
})

describe('expectedRemaining', () => {
  test('never exceeds the maximum and shrinks as tokens are made', () => {
    const output = { estimateTokens: 5000, maxTokens: 9000 }
    const left = [0, 2000, 5000, 8000, 8900, 9500].map((made) => Math.round(expectedRemaining(output, made)))
    expect(left).toEqual(left.toSorted((a, b) => b - a))
    expect(left.every((tokens, index) => tokens <= Math.max(0, 9000 - ([0, 2000, 5000, 8000, 8900, 9500][index] ?? 0)))).toBe(true)
  })
})
