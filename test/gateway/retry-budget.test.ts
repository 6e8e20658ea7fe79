import { describe, expect, test } from '@jest/globals'
import { RetryBudget } from '../../src/gateway/retry-budget.js'

function takeAll (budget: RetryBudget): number {
  let taken = 0
  while (budget.takeRetry('s')) taken += 1
  return taken
}

describe('RetryBudget', () => {
  test('all instances together take no more than the allowed retries in a window', () => {
    const instances = 9
    const budgets = Array.from({ length: instances }, () => new RetryBudget({ nowMs: () => 0, allowance: () => ({ ratio: 0.2, slack: 58, windowS: 10 }), instances: () => instances }))
    for (const budget of budgets) for (let request = 0; request < 50; request += 1) budget.addRequest('s')
    const taken = budgets.reduce((sum, budget) => sum + takeAll(budget), 0)
    expect(taken).toBeGreaterThan(50)
    expect(taken).toBeLessThanOrEqual(0.2 * 450 + 58)
  })

  test('allows retries again once the window has passed', () => {
    let nowMs = 0
    const budget = new RetryBudget({ nowMs: () => nowMs, allowance: () => ({ ratio: 0, slack: 10, windowS: 1 }), instances: () => 1 })
    const taken = takeAll(budget)
    expect(taken).toBe(7)
    nowMs = 1001
    expect(takeAll(budget)).toBe(taken)
  })
})
