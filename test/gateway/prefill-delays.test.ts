import { describe, expect, test } from '@jest/globals'
import { PrefillDelays } from '../../src/gateway/prefill-delays.js'

describe('PrefillDelays', () => {
  // Guards against requests that are placed just in time and are all late because prefills take longer than usual.
  test('expects the delay of most recent prefills, and forgets it when they are on time again', () => {
    const delays = new PrefillDelays()
    expect(delays.expectedMs('model')).toBe(0)
    for (let prefill = 0; prefill < 30; prefill += 1) delays.record('model', 10 * prefill)
    expect(delays.expectedMs('model')).toBe(240)
    for (let prefill = 0; prefill < 30; prefill += 1) delays.record('model', -5)
    expect(delays.expectedMs('model')).toBe(0)
  })
})
