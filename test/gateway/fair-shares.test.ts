import { describe, expect, test } from '@jest/globals'
import { FairShares } from '../../src/gateway/fair-shares.js'

interface Fixture {
  shares: FairShares
  /** Each organisation asks for and gets so many requests of 100 tokens a second, for some seconds. */
  serve: (seconds: number, ratesPerS: Record<string, number>, priority?: number, placedPart?: number) => void
}

function fixture (): Fixture {
  const clock = { ms: 0 }
  const shares = new FairShares({ nowMs: () => clock.ms })
  const serve = (seconds: number, ratesPerS: Record<string, number>, priority = 0, placedPart = 1): void => {
    for (let step = 0; step < seconds * 10; step += 1, clock.ms += 100) {
      for (const [organisation, perS] of Object.entries(ratesPerS)) {
        shares.recordDemand({ service: 'model', organisation, priority, tokens: perS * 10 })
        for (let request = 0; request < Math.round(perS / 10 * placedPart); request += 1) shares.recordPlacement({ service: 'model', organisation, priority, tokens: 100 })
      }
    }
  }
  return { shares, serve }
}

describe('FairShares', () => {
  test('knows no difference without a second organisation', () => {
    const { shares, serve } = fixture()
    serve(5, { '': 100 })
    expect([shares.useOf('model', ''), shares.useOf('other', 'a')]).toEqual([0, 0])
  })

  // Guards against a burst that becomes the share of the organisation that sends it.
  test('an organisation that gets seven times its usual demand has had its share, a calm one has not', () => {
    const { shares, serve } = fixture()
    serve(20, { calm: 100, hot: 100 })
    expect(shares.useOf('model', 'hot')).toBe(shares.useOf('model', 'calm'))
    serve(10, { calm: 100, hot: 700 })
    expect(shares.useOf('model', 'hot')).toBeGreaterThanOrEqual(4)
    expect(shares.useOf('model', 'calm')).toBeLessThan(4)
  })

  test('a priority of which much less is placed than of all is underserved', () => {
    const { shares, serve } = fixture()
    serve(2, { a: 200 }, 0)
    serve(2, { a: 200 }, 2, 0.3)
    expect([shares.isUnderserved('model', 0), shares.isUnderserved('model', 2)]).toEqual([false, true])
  })
})
