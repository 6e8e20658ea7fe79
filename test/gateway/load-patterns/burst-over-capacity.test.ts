import { describe, expect, test } from '@jest/globals'
import { LoadModel, PATIENCE_MS, type ModelFleet, type ModelResult } from './load-model.js'

const fleet: ModelFleet = { prefillRunners: 2, decodeRunners: 3, memoryTokens: 65_000, slots: 64, roleChangeMs: 6000, promptMs: 1, promptLatencyMs: 90, promptTokensPerMs: 55, tokenMs: 4.55, tokenMsPerRun: 0.18 }

function playBurst (burstPerS: number, seed: number): Promise<ModelResult> {
  return new LoadModel({ fleet, load: { seconds: 45, requestsPerS: (second) => second >= 15 && second < 20 ? burstPerS : 6, promptTokens: 5200, outputTokens: 590 }, seed, mayOrder: false }).run()
}

/** Requests a second that the runners serve: eleven runs on each of three, of 3.9 s. */
const CAPACITY_PER_S = 8.5

/** Time from the begin of the burst until the last caller of it has returned and waited, in seconds. */
const LAST_RETURN_S = 13

describe('a burst over the memory of all runners', () => {
  // Guards against callers that wait until their time is up although too many others go before them, and against returns into the same burst.
  test.each([1, 2, 3])('refuses soon what cannot be served, and serves about as many callers as the runners can, seed %i', async (seed) => {
    const { askedInS, refused, refusalsMs } = await playBurst(18, seed)
    const askedInTime = askedInS.slice(15, 15 + LAST_RETURN_S).reduce((sum, asked) => sum + asked, 0)
    const unavoidable = Math.max(0, askedInTime - CAPACITY_PER_S * LAST_RETURN_S)
    expect(refusalsMs.toSorted((a, b) => a - b)[refusalsMs.length >> 1]).toBeLessThan(PATIENCE_MS)
    expect(refused).toBeLessThanOrEqual(unavoidable + 0.1 * askedInTime)
  })

  test.each([4, 5, 6])('serves all callers of a burst that the runners can serve, seed %i', async (seed) => {
    const { refused } = await playBurst(8, seed)
    expect(refused).toBe(0)
  })
})
