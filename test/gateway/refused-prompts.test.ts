import { describe, expect, test } from '@jest/globals'
import { RefusedPrompts } from '../../src/gateway/refused-prompts.js'

describe('RefusedPrompts', () => {
  test('keeps the first time of a prompt that is refused again, and forgets it when its caller has given up', () => {
    let nowMs = 1000
    const prompts = new RefusedPrompts({ nowMs: () => nowMs })
    prompts.add('a', 400)
    prompts.add(null, 500)
    expect(prompts.firstAskedMs('a')).toBe(400)
    expect(prompts.firstAskedMs('b')).toBeNull()
    expect(prompts.firstAskedMs(null)).toBeNull()
    nowMs += 10_000
    prompts.add('b', 10_900)
    nowMs += 6000
    expect(prompts.firstAskedMs('a')).toBeNull()
    expect(prompts.firstAskedMs('b')).toBe(10_900)
  })
})
