import { describe, expect, test } from '@jest/globals'
import { peakMemory } from '../../src/gateway/memory-forecast.js'
import { expectedRemaining } from '../../src/gateway/output-length.js'

describe('peakMemory', () => {
  test('is the highest total just before the end of one of the runs', () => {
    expect(peakMemory([])).toBe(0)
    expect(peakMemory([{ heldTokens: 100, remainingTokens: 50 }])).toBe(150)
    // Just before the run of 10 remaining tokens ends, the runs hold 110 + 210; before the other one ends, it holds 230 alone.
    expect(peakMemory([{ heldTokens: 200, remainingTokens: 30 }, { heldTokens: 100, remainingTokens: 10 }])).toBe(320)
  })

  test('is lower for runs that end at different times than for runs that end together', () => {
    const spread = [1000, 2000, 3000, 4000].map((remainingTokens) => ({ heldTokens: 5000, remainingTokens }))
    const together = spread.map(() => ({ heldTokens: 5000, remainingTokens: 4000 }))
    expect(peakMemory(spread)).toBeLessThan(peakMemory(together))
  })
})

describe('expectedRemaining', () => {
  test('never exceeds the maximum and never grows as tokens are produced', () => {
    const output = { estimateTokens: 5000, maxTokens: 9000 }
    const remaining = [0, 2000, 5000, 8000, 8900, 9500].map((madeTokens) => Math.round(expectedRemaining(output, madeTokens)))
    expect(remaining).toEqual(remaining.toSorted((a, b) => b - a))
    expect(remaining.every((tokens, index) => tokens <= Math.max(0, 9000 - ([0, 2000, 5000, 8000, 8900, 9500][index] ?? 0)))).toBe(true)
  })
})
