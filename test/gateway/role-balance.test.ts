import { describe, expect, test } from '@jest/globals'
import { type BackendServer, RunnerRole } from '../../src/gateway/backend.js'
import { bestRoleChange, poolCapacity } from '../../src/gateway/role-balance.js'
import { backend } from './gateway-fixtures.js'

/** Long prompts with outputs of about the same length, as in the users' traffic. */
const longOutputs = { promptTokens: 5200, outputTokens: 5100, prefillTokensPerMs: 50, msPerToken: 0.85, memoryTokens: 95_000, slots: 64 }
const longPrompts = { ...longOutputs, promptTokens: 9000, outputTokens: 500 }

function runners (prefill: number, decode: number): BackendServer[] {
  const named = (count: number, stage: RunnerRole): BackendServer[] => Array.from({ length: count }, (_, index) => backend({ id: `${stage}${index}`, stage }))
  return [...named(prefill, RunnerRole.Prefill), ...named(decode, RunnerRole.Decode)]
}

function nextChange (prefill: number, decode: number, mix = longOutputs): string {
  const change = bestRoleChange({ runners: runners(prefill, decode), mix, load: ({ id }) => id.endsWith('1') ? 0 : 1 })
  return change === null ? 'none' : `${change.backend.id} to ${change.role}`
}

describe('bestRoleChange', () => {
  test.each([
    ['equally many prefill and decode runners for long outputs', 3, 3, 'prefill1 to decode'],
    ['the split with the highest capacity', 2, 4, 'none'],
    ['a gain too small to justify seconds without a runner', 1, 4, 'none'],
    ['too few decode runners after a scale-in', 3, 1, 'prefill1 to decode'],
    ['no decode runner left', 3, 0, 'prefill1 to decode'],
    ['a single runner of each', 1, 1, 'none'],
    ['no runner at all', 0, 0, 'none']
  ])('%s', (_name, prefill, decode, expected) => {
    expect(nextChange(prefill, decode)).toBe(expected)
  })

  test('changes a decode runner to prefill when traffic shifts to long prompts', () => {
    expect(nextChange(1, 5, longPrompts)).toBe('decode1 to prefill')
  })
})

describe('bestRoleChange with runners that limit their requests', () => {
  const limitsOf = (limits: Record<string, number>) => ({ id }: BackendServer): number => limits[id] ?? Infinity
  const change = (prefill: number, decode: number, limits: Record<string, number>): string => {
    const best = bestRoleChange({ runners: runners(prefill, decode), mix: longOutputs, load: () => 0, demand: { currentPerS: 7, peakPerS: 7 }, changeMs: 10_000, limitPerS: limitsOf(limits) })
    return best === null ? 'none' : `${best.backend.id} to ${best.role}`
  }

  // Guards against prefill runners without a limit beside decode runners that accept a fraction of the requests.
  test('makes a prefill runner without a limit a decode runner when all decode runners are limited', () => {
    expect(change(3, 3, { decode0: 1, decode1: 1, decode2: 1, prefill0: 1 })).toMatch(/^prefill[12] to decode$/)
  })

  test.each([
    ['nothing when the limits are above what the runners can serve', 2, 4, { decode0: 50, prefill0: 50 }, 'none'],
    ['the prefill runner that is least missed', 2, 3, { decode0: 1, decode1: 1, decode2: 1, prefill0: 1 }, 'prefill0 to decode'],
    ['towards equal pools when every runner is limited alike, as each request needs both', 2, 4, Object.fromEntries(runners(2, 4).map(({ id }) => [id, 2])), 'decode0 to prefill'],
    ['nothing when the pools are equal then', 3, 3, Object.fromEntries(runners(3, 3).map(({ id }) => [id, 2])), 'none']
  ])('changes %s', (_name, prefill, decode, limits, expected) => {
    expect(change(prefill, decode, limits)).toBe(expected)
  })
})

describe('poolCapacity', () => {
  test('is the capacity of the decode pool while the prefill pool keeps up', () => {
    const runMs = longOutputs.outputTokens * longOutputs.msPerToken
    const perRunner = longOutputs.memoryTokens / ((longOutputs.promptTokens + longOutputs.outputTokens / 2) * runMs) * 1000
    for (const prefill of [2, 3]) expect(poolCapacity(prefill, 3, longOutputs)).toBeCloseTo(3 * perRunner, 9)
    expect(poolCapacity(6, 0, longOutputs)).toBe(0)
  })

  test('is the capacity of the prefill pool while that is the smaller one', () => {
    expect(poolCapacity(1, 5, longOutputs)).toBeCloseTo(longOutputs.prefillTokensPerMs / longOutputs.promptTokens * 1000, 9)
  })

  test('includes the time that decode runners spend on prompts when there is no prefill runner', () => {
    expect(poolCapacity(0, 5, longOutputs)).toBeLessThan(poolCapacity(2, 5, longOutputs) * 0.8)
  })
})
