import { describe, expect, test } from '@jest/globals'
import { compareClaims, type WaitingClaim } from '../../src/gateway/service-order.js'

const claim: WaitingClaim = { onTime: true, priority: 1, isUnderserved: false, shareUse: 0, objectiveMs: 900, firstRequestedMs: 0 }

describe('compareClaims', () => {
  // Guards against late requests that make new ones late, and against a criterion that goes before a weightier one.
  test('orders by lateness, priority, share and objective, late ones by arrival', () => {
    const claims: Record<string, WaitingClaim> = {
      'late and urgent, later arrival': { ...claim, onTime: false, priority: 0, firstRequestedMs: 5, objectiveMs: 1 },
      'late and urgent': { ...claim, onTime: false, priority: 0, firstRequestedMs: 1, objectiveMs: 2 },
      'beyond its share, earlier objective': { ...claim, shareUse: 5, objectiveMs: 100 },
      'later objective': { ...claim, objectiveMs: 950 },
      usual: claim,
      urgent: { ...claim, priority: 0, shareUse: 5, objectiveMs: 990 },
      'less urgent': { ...claim, priority: 2, objectiveMs: 50 },
      'underserved priority': { ...claim, priority: 2, isUnderserved: true }
    }
    expect(Object.entries(claims).sort(([, a], [, b]) => compareClaims(a, b)).map(([name]) => name)).toMatchInlineSnapshot(`
[
  "underserved priority",
  "urgent",
  "usual",
  "later objective",
  "beyond its share, earlier objective",
  "less urgent",
  "late and urgent",
  "late and urgent, later arrival",
]
`)
  })
})
