import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { toleranceOf, toleranceShare } from '../../../src/gateway/quota-bounds.js'
import { QuotaLedger } from '../../../src/gateway/quota-ledger.js'
import { bounds, type Demand, QuotaFleet, skewedOrganisations } from '../quota-fleet.js'

const SETTLE_MS = 6000
const LOAD_MS = 10_000
const DIGEST_MS = 2000
const HOT = 'o1'

type Design = (fleet: QuotaFleet) => void

/** Every instance gives out its equal share of each quota. */
const equalShares: Design = (fleet) => {
  const ledgers = new Map<string, QuotaLedger>()
  fleet.decide = ({ ip }, limit, cost) => {
    const ledger = ledgers.get(ip) ?? ledgerWithShare(fleet, 1 / fleet.instances.length)
    ledgers.set(ip, ledger)
    return ledger.take(limit, cost).granted
  }
}

/** Every instance knows its own use at once, and that of all others as of the last digest. */
const usageDigests: Design = (fleet) => {
  const ledgers = new Map<string, QuotaLedger>()
  let untold: Array<{ ip: string, run: (ledger: QuotaLedger) => void }> = []
  let toldMs = fleet.nowMs
  fleet.decide = ({ ip }, limit, cost) => {
    for (const instance of fleet.instances) if (!ledgers.has(instance.ip)) ledgers.set(instance.ip, ledgerWithShare(fleet, 1))
    if (fleet.nowMs - toldMs >= DIGEST_MS) {
      for (const use of untold) for (const [other, ledger] of ledgers) if (other !== use.ip && !fleet.loses(use.ip, other)) use.run(ledger)
      untold = []
      toldMs = fleet.nowMs
    }
    const granted = ledgers.get(ip)?.take(limit, cost).granted ?? false
    if (granted) untold.push({ ip, run: (ledger) => { ledger.charge(limit, cost) } })
    return granted
  }
}

function ledgerWithShare (fleet: QuotaFleet, share: number): QuotaLedger {
  const capacity = (limit: { perS: number, burst: number }): number => share * (limit.burst + toleranceOf(limit, bounds) * toleranceShare.advance)
  return new QuotaLedger({ nowMs: () => fleet.nowMs, bounds, capacity, startLevel: capacity, rateShare: () => share, grantsOversized: true })
}

const faults: Record<string, (fleet: QuotaFleet) => void> = {
  none: () => {},
  'the coordinator is lost': (fleet) => fleet.kill(fleet.coordinatorOf(HOT)),
  'a third is cut off': (fleet) => { fleet.loses = (from, to) => isInThird(from) !== isInThird(to) }
}

function isInThird (ip: string): boolean {
  return Number(ip.split('.').at(-1)) % 3 === 0
}

interface Figures {
  /** Share of the requests of all other organisations that were not granted, all of them within their quotas. */
  refusedShare: number
  /** Most units in a window, as a share of what the bounds allow. */
  largestUse: number
  messagesPerRequest: number
  farBytesPerRequest: number
}

async function play ({ instances, organisations: count, design, fault }: { instances: number, organisations: number, design: Design | null, fault: string }): Promise<Figures> {
  const { organisations, demands } = skewedOrganisations({ count, skew: 1.2, modelPerS: 28, plainPerS: 137 })
  const fleet = new QuotaFleet({ instances, organisations })
  design?.(fleet)
  await fleet.run(SETTLE_MS)
  await fleet.run(SETTLE_MS, demands)
  const sentBefore = { messages: fleet.messages, farBytes: fleet.farBytes, decisions: fleet.decisions.length }
  const load: Demand[] = demands.map(({ organisation, modelPerS, plainPerS }) => organisation === HOT ? { organisation, modelPerS: 7 * modelPerS, plainPerS: 7 * plainPerS } : { organisation, modelPerS, plainPerS })
  await fleet.run(LOAD_MS / 2, load)
  faults[fault]?.(fleet)
  await fleet.run(LOAD_MS / 2, load)
  expect(fleet.errors).toEqual([])
  const requests = fleet.decisions.length - sentBefore.decisions
  return {
    refusedShare: fleet.refusedShare((organisation) => organisation !== HOT),
    largestUse: fleet.largestUse(),
    messagesPerRequest: (fleet.messages - sentBefore.messages) / requests,
    farBytesPerRequest: (fleet.farBytes - sentBefore.farBytes) / requests
  }
}

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

describe('one organisation at seven times its usual use beside calm ones', () => {
  test.each([[8, 16, 'none'], [65, 16, 'none'], [65, 16, 'the coordinator is lost'], [65, 16, 'a third is cut off']])('%i instances keep the quotas of %i organisations and refuse nearly nothing within them; fault: %s', async (instances, organisations, fault) => {
    const { refusedShare, largestUse, messagesPerRequest } = await play({ instances, organisations, fault, design: null })
    expect(largestUse).toBeLessThanOrEqual(1)
    expect(refusedShare).toBeLessThanOrEqual(0.02)
    // A request and its answer, and what instances tell each other besides.
    expect(messagesPerRequest).toBeLessThanOrEqual(3)
  })

  // Guards against a return to designs that were weighed: they refuse callers within their quota, or let an organisation use more than the bounds.
  test('equal shares refuse more within the quota', async () => {
    const { refusedShare } = await play({ instances: 65, organisations: 16, design: equalShares, fault: 'none' })
    expect(refusedShare).toBeGreaterThan(0.05)
  })

  test('usage digests exceed the bounds', async () => {
    const { largestUse } = await play({ instances: 65, organisations: 16, design: usageDigests, fault: 'none' })
    expect(largestUse).toBeGreaterThan(1)
  })
})
