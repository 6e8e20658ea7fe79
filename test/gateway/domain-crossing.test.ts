import { describe, expect, test } from '@jest/globals'
import { crossingCostMs, DEFAULT_CROSSING_PRICE, DomainCrossing } from '../../src/gateway/domain-crossing.js'

const BYTES = 800
const COST_MS = crossingCostMs(DEFAULT_CROSSING_PRICE, BYTES)
const WORK_MS = 40
const PLACES = 6

/** Plays demand of each domain, in requests per step of 10 ms, before the places of each domain; returns the share of requests that left and how often the direction changed. */
function play (demand: (domain: string, step: number) => number, places: (domain: string, step: number) => number, steps = 400): { leftShare: Record<string, number>, longestWaitMs: number, changes: number } {
  let nowMs = 0
  const crossing = new DomainCrossing({ nowMs: () => nowMs, price: () => DEFAULT_CROSSING_PRICE })
  const domains = ['a', 'b']
  const queued: Record<string, number> = { a: 0, b: 0 }
  const sent: Record<string, number> = { a: 0, b: 0 }
  const left: Record<string, number> = { a: 0, b: 0 }
  let longestWaitMs = 0
  let changes = 0
  let leftLast = false
  for (let step = 0; step < steps; step += 1, nowMs += 10) {
    for (const domain of domains) queued[domain] = Math.max(0, (queued[domain] ?? 0) - places(domain, step) * 10 / WORK_MS)
    for (const domain of domains) {
      for (let count = 0; count < demand(domain, step); count += 1) {
        const candidates = domains.map((failureDomain) => ({ failureDomain, doneAfterMs: places(failureDomain, step) === 0 ? Infinity : WORK_MS * Math.max(1, ((queued[failureDomain] ?? 0) + 1) / places(failureDomain, step)) }))
        const chosen = crossing.choose({ failureDomain: domain, bytes: BYTES, objectiveLeftMs: 3 * WORK_MS }, candidates)
        if (chosen === undefined) continue
        longestWaitMs = Math.max(longestWaitMs, chosen.doneAfterMs)
        queued[chosen.failureDomain] = (queued[chosen.failureDomain] ?? 0) + 1
        sent[domain] = (sent[domain] ?? 0) + 1
        const leaves = chosen.failureDomain !== domain
        if (leaves) left[domain] = (left[domain] ?? 0) + 1
        if (domain === 'a') {
          if (leaves !== leftLast) changes += 1
          leftLast = leaves
        }
      }
    }
  }
  return { leftShare: Object.fromEntries(domains.map((domain) => [domain, (left[domain] ?? 0) / Math.max(1, sent[domain] ?? 0)])), longestWaitMs, changes }
}

const equalPlaces = (): number => PLACES

describe('DomainCrossing', () => {
  test('keeps demand at home that the own domain can take', () => {
    expect(play(() => 1, equalPlaces).leftShare).toEqual({ a: 0, b: 0 })
  })

  // Guards against callers of one domain that wait while the servers of the other one are idle, and against their return in the other phase.
  test('demand in opposite phase: what is too much for one domain goes to the other one, and comes back', () => {
    const { leftShare, longestWaitMs } = play((domain, step) => (domain === 'a') === (Math.floor(step / 100) % 2 === 0) ? 2 : 0.5, equalPlaces)
    expect(leftShare.a).toBeGreaterThan(0)
    expect(leftShare.a).toBeLessThan(0.5)
    expect(longestWaitMs).toBeLessThan(3 * WORK_MS)
  })

  test('a domain that loses its servers sends all, and nothing once they have returned', () => {
    const lost = play((domain) => domain === 'a' ? 1 : 0, (domain) => domain === 'a' ? 0 : PLACES)
    const returned = play((domain) => domain === 'a' ? 1 : 0, (domain, step) => domain === 'a' && step < 100 ? 0 : PLACES)
    expect(lost.leftShare.a).toBe(1)
    expect(returned.leftShare.a).toBeCloseTo(0.25, 1)
  })

  // Guards against half of the demand that changes its direction with each request.
  test('a domain with twice the demand sends what it cannot take, in runs and not by turns', () => {
    const { leftShare, changes } = play((domain) => domain === 'a' ? 2 : 0, equalPlaces)
    expect(leftShare.a).toBeGreaterThan(0.15)
    expect(leftShare.a).toBeLessThan(0.55)
    expect(changes).toBeLessThan(400)
  })

  test('leaves sooner when the objective is missed at home, and never for less than the crossing costs', () => {
    const choose = (nearMs: number, objectiveLeftMs: number): string | undefined => new DomainCrossing({ nowMs: () => 0, price: () => DEFAULT_CROSSING_PRICE })
      .choose({ failureDomain: 'a', bytes: BYTES, objectiveLeftMs }, [{ failureDomain: 'a', doneAfterMs: nearMs }, { failureDomain: 'b', doneAfterMs: WORK_MS }])?.failureDomain
    expect(choose(WORK_MS + COST_MS, 0)).toBe('a')
    expect(choose(WORK_MS + 2 * COST_MS, 0)).toBe('b')
    expect(choose(WORK_MS + 2 * COST_MS, 200)).toBe('a')
    expect(choose(WORK_MS + 5 * COST_MS, 200)).toBe('b')
  })
})
