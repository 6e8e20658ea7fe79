import { describe, expect, test } from '@jest/globals'
import { RunnerRole } from '../../../src/gateway/backend.js'
import { BackendTable } from '../../../src/gateway/backend-table.js'
import { MEMORY_FILL_SHARE, PlacementScheduler } from '../../../src/gateway/placement-scheduler.js'
import { seededRandom } from '../../../src/runtime/random.js'
import { backend } from '../gateway-fixtures.js'

const MEMORY_TOKENS = 65_000
const PROMPT_TOKENS = 5000

/** Runs on each decode runner after instances that know nothing of each other have placed their requests. */
function placeBlindly (instances: number, decodeRunners: number, requestsPerInstance: number): number[] {
  const random = seededRandom(9)
  const backends = new BackendTable({ nowMs: () => 0 })
  for (let index = 0; index < decodeRunners; index += 1) backends.put(backend({ id: `d${index}`, service: 'model', stage: RunnerRole.Decode }))
  const runs = new Map<string, number>()
  for (let instance = 0; instance < instances; instance += 1) {
    const scheduler = new PlacementScheduler({
      nowMs: () => 0,
      random,
      backends,
      engine: () => ({ slots: 64, memoryTokens: MEMORY_TOKENS, tokensPerEvent: 8, roleChangeMs: 6000 }),
      memoryFillShare: () => MEMORY_FILL_SHARE / instances,
      placesBlindly: () => true
    })
    for (let index = 0; index < requestsPerInstance; index += 1) {
      scheduler.submit({ id: `q${instance}-${index}`, service: 'model', failureDomain: 'a', organisation: '', priority: 0, longestReturnMs: null, promptTokens: PROMPT_TOKENS, output: { estimateTokens: 600, maxTokens: 1200 }, promptId: null, objectiveLeftMs: 900, patienceMs: 2300, pauses: [] }, (decision) => {
        if ('decode' in decision) runs.set(decision.decode, (runs.get(decision.decode) ?? 0) + 1)
      })
    }
  }
  return backends.all().map(({ id }) => runs.get(id) ?? 0)
}

describe('all instances restarted in load', () => {
  // Guards against runners that are filled several times over by instances that each take themselves for the coordinator: then nothing is served for seconds.
  test.each([[6, 1, 8], [6, 4, 8], [9, 3, 20]])('%i instances fill none of %i decode runners beyond its memory', (instances, decodeRunners, requests) => {
    for (const runs of placeBlindly(instances, decodeRunners, requests)) expect(runs * PROMPT_TOKENS).toBeLessThanOrEqual(MEMORY_TOKENS)
  })

  // Guards against instances that all begin with the same runner.
  test('195 instances with a request each spread them over 17 decode runners', () => {
    const runs = placeBlindly(195, 17, 1)
    expect(Math.max(...runs)).toBeLessThanOrEqual(2 * 195 / 17)
    expect(Math.min(...runs)).toBeGreaterThan(0)
  })
})
