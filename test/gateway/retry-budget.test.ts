import { describe, expect, test } from '@jest/globals'
import { RetryBudget } from '../../src/gateway/retry-budget.js'

function consumeAll (budget: RetryBudget): number {
  let consumed = 0
  while (budget.tryConsume('s')) consumed += 1
  return consumed
}

describe('RetryBudget', () => {
  test('limits the retries of all instances together to the allowed number in a window', () => {
    const instanceCount = 9
    const budgets = Array.from({ length: instanceCount }, () => new RetryBudget({ nowMs: () => 0, allowance: () => ({ ratio: 0.2, slack: 58, windowS: 10 }), instanceCount: () => instanceCount }))
    for (const budget of budgets) for (let request = 0; request < 50; request += 1) budget.recordRequest('s')
    const consumed = budgets.reduce((sum, budget) => sum + consumeAll(budget), 0)
    expect(consumed).toBeGreaterThan(50)
    expect(consumed).toBeLessThanOrEqual(0.2 * 450 + 58)
  })

  test('allows retries again once the window has passed', () => {
    let nowMs = 0
    const budget = new RetryBudget({ nowMs: () => nowMs, allowance: () => ({ ratio: 0, slack: 10, windowS: 1 }), instanceCount: () => 1 })
    const consumed = consumeAll(budget)
    expect(consumed).toBe(7)
    nowMs = 1001
    expect(consumeAll(budget)).toBe(consumed)
  })
})
