import { describe, expect, test } from '@jest/globals'
import { MemoryForecast, type RunMemory } from '../../src/gateway/memory-forecast.js'
import { expectedRemaining } from '../../src/gateway/output-length.js'

const peakMemory = (runs: RunMemory[]): number => new MemoryForecast({ runs }).peakTokens()

describe('MemoryForecast', () => {
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

  // Guards against a placement that is judged by another peak than the one that the runner has afterwards.
  test('has the same peak with an added run as a forecast that contains it', () => {
    const runs = [3, 1, 4, 1, 5, 9, 2, 6].map((tokens, index) => ({ heldTokens: 1000 + 100 * index, remainingTokens: 500 * tokens }))
    for (const added of runs) {
      const others = runs.filter((run) => run !== added)
      expect(new MemoryForecast({ runs: others }).peakTokens(added)).toBe(peakMemory(runs))
    }
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
