import { expect, test } from '@jest/globals'
import { ServerHealth } from '../../src/gateway/server-health.js'

// Guards against retries that are spent on requests that fail everywhere, and against none at all once that has passed.
test('takes retries of a service for useless after four failed ones, and tries them again a while later', () => {
  let nowMs = 0
  const health = new ServerHealth({ nowMs: () => nowMs })
  const retry = (failed: boolean): boolean => {
    health.recordRetry('s', { failed })
    return health.retryMayHelp('s')
  }
  expect([true, true, true, true].map(retry)).toEqual([true, true, true, false])
  expect(health.retryMayHelp('other')).toBe(true)
  expect(retry(false)).toBe(true)
  expect([retry(true), retry(true)]).toEqual([false, false])
  nowMs = 3000
  expect(health.retryMayHelp('s')).toBe(true)
})
