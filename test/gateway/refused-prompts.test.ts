import { describe, expect, test } from '@jest/globals'
import { RefusedPrompts } from '../../src/gateway/refused-prompts.js'

describe('RefusedPrompts', () => {
  test('returns when a refused prompt was first requested, and evicts it when its caller has given up', () => {
    let nowMs = 1000
    const prompts = new RefusedPrompts({ nowMs: () => nowMs })
    prompts.add('a', 400)
    prompts.add(null, 500)
    expect(prompts.firstRequestedMs('a')).toBe(400)
    expect(prompts.firstRequestedMs('b')).toBeNull()
    expect(prompts.firstRequestedMs(null)).toBeNull()
    nowMs += 10_000
    prompts.add('b', 10_900)
    nowMs += 6000
    expect(prompts.firstRequestedMs('a')).toBeNull()
    expect(prompts.firstRequestedMs('b')).toBe(10_900)
  })
})
