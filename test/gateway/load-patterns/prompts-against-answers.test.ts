import { describe, expect, test } from '@jest/globals'
import { LoadModel, type ModelFleet, type ModelLoad, type ModelResult } from './load-model.js'

/** Six runners whose answers take four seconds, of which two should prefill. */
const slowTokens: ModelFleet = { prefillRunners: 3, decodeRunners: 3, memoryTokens: 65_000, slots: 64, roleChangeMs: 6000, promptMs: 1, promptLatencyMs: 90, promptTokensPerMs: 55, tokenMs: 4.55, tokenMsPerRun: 0.18 }
const fastTokens: ModelFleet = { ...slowTokens, memoryTokens: 107_000, promptLatencyMs: 0, tokenMs: 0.63, tokenMsPerRun: 0.002 }

/** A load below the capacity of the best split, with a burst slightly above it. */
function burstOf (usualPerS: number, options: Partial<ModelLoad> = {}): ModelLoad {
  return { seconds: 60, requestsPerS: (second) => second >= 20 && second < 25 ? 1.8 * usualPerS : usualPerS, promptTokens: 5200, outputTokens: 590, ...options }
}

/** Fleets with their load and the number of role changes to their best split. */
const fleets: Array<[string, ModelFleet, ModelLoad, number]> = [
  ['answers of few, slow tokens', slowTokens, burstOf(7), 1],
  ['answers of many, fast tokens', fastTokens, burstOf(6, { outputTokens: 5100 }), 1],
  ['runners ten times as slow', { ...slowTokens, promptMs: 10, promptLatencyMs: 900, promptTokensPerMs: 5.5, tokenMs: 45, tokenMsPerRun: 1.8 }, burstOf(0.7), 1],
  ['runners ten times as fast', { ...slowTokens, promptMs: 0, promptLatencyMs: 9, promptTokensPerMs: 550, tokenMs: 0.45, tokenMsPerRun: 0.018 }, burstOf(70), 1],
  ['few slots', { ...fastTokens, slots: 4 }, burstOf(3.5, { outputTokens: 3000 }), 2],
  ['long prompts and short answers', { ...fastTokens, prefillRunners: 2, decodeRunners: 4 }, burstOf(12, { promptTokens: 9000, outputTokens: 400 }), 3]
]

const play = (fleet: ModelFleet, load: ModelLoad, mayOrder = true): Promise<ModelResult> => new LoadModel({ fleet, load, seed: 7, mayOrder }).run()

async function bestFixedSplit (fleet: ModelFleet, load: ModelLoad): Promise<number> {
  const total = fleet.prefillRunners + fleet.decodeRunners
  const results = await Promise.all(Array.from({ length: total - 1 }, (_, index) => play({ ...fleet, prefillRunners: index + 1, decodeRunners: total - index - 1 }, load, false)))
  return Math.max(...results.map(({ onTime }) => onTime))
}

describe('prompts and answers out of balance', () => {
  // Guards against role changes that are decided on assumed requests and speeds, cost more than they bring, or undo each other.
  test.each(fleets)('%s: no more orders than lead to the best split, none before the speeds are measured, and no fewer requests on time than without orders', async (_name, fleet, load, steps) => {
    const result = await play(fleet, load)
    const withoutOrders = await play(fleet, load, false)
    expect(result.orders.length).toBeLessThanOrEqual(steps)
    expect(result.orders.every(({ atS }) => atS >= 1)).toBe(true)
    expect(new Set(result.orders.map(({ role }) => role)).size).toBeLessThanOrEqual(1)
    expect(result.onTime).toBeGreaterThanOrEqual(0.98 * withoutOrders.onTime)
    expect(result.onTime).toBeGreaterThanOrEqual(0.85 * await bestFixedSplit(fleet, load))
  })

  // Guards against a role change at each restart of all instances, which forget the speeds that they measured.
  test('a restart of all instances in a balanced fleet is followed by no order', async () => {
    const balanced = { ...slowTokens, prefillRunners: 2, decodeRunners: 4 }
    const { orders } = await play(balanced, burstOf(7, { restartS: 35 }))
    expect(orders).toEqual([])
  })
})
