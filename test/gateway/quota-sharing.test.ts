import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { QuotaVerdict } from '../../src/gateway/quota-client.js'
import { configuration } from './gateway-fixtures.js'
import { type Demand, type FleetInstance, MODEL_TOKENS, organisationOf, PLAIN_TOKENS, QuotaFleet } from './quota-fleet.js'

const SETTLE_MS = 12_000
const LARGE_PER_S = 100_000

/** Usual use of the large organisation: its rate is 1.8 times as much. */
const usual = { organisation: 'large', modelPerS: 5, plainPerS: 28 }
const sevenfold = { organisation: 'large', modelPerS: 35, plainPerS: 196 }

const organisations = [organisationOf('large', LARGE_PER_S), organisationOf('small', 6000)]
const inFirstHalf = (ip: string): boolean => Number(ip.split('.').at(-1)) <= 6

async function startedFleet (instances = 12): Promise<QuotaFleet> {
  const fleet = new QuotaFleet({ instances, organisations })
  await fleet.run(SETTLE_MS)
  return fleet
}

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

const faults: Array<[string, (fleet: QuotaFleet, demands: Demand[]) => Promise<void>]> = [
  ['all instances run', async () => {}],
  ['the coordinator is killed', async (fleet) => fleet.kill(fleet.coordinatorOf('large'))],
  ['the coordinator is frozen and thawed', async (fleet) => { fleet.coordinatorOf('large').pausedUntilMs = fleet.nowMs + 4000 }],
  ['another instance is frozen and thawed', async (fleet) => { (fleet.instances.find((instance) => instance !== fleet.coordinatorOf('large')) as FleetInstance).pausedUntilMs = fleet.nowMs + 4000 }],
  ['half of the instances are cut off', async (fleet, demands) => {
    fleet.loses = (from, to) => inFirstHalf(from) !== inFirstHalf(to)
    await fleet.run(9000, demands)
    fleet.loses = () => false
  }],
  ['the coordinator is cut off from all', async (fleet) => {
    const { ip } = fleet.coordinatorOf('large')
    fleet.loses = (from, to) => from === ip || to === ip
  }],
  ['a third of the datagrams are lost', async (fleet) => {
    let sent = 0
    fleet.loses = () => (sent += 1) % 3 === 0
  }],
  ['all instances restart at once', async (fleet) => {
    const ips = fleet.instances.map(({ ip }) => ip)
    for (const instance of [...fleet.instances]) fleet.kill(instance)
    for (const ip of ips) fleet.join(ip)
  }],
  ['instances restart in turn', async (fleet, demands) => {
    for (const { ip } of [...fleet.instances]) {
      fleet.kill(fleet.instances[0] as FleetInstance)
      await fleet.run(700, demands)
      fleet.join(ip)
    }
  }]
]

describe('QuotaSharing under one organisation at seven times its usual use', () => {
  // Guards against a burst that is spent twice, or a rate that is given out twice, when the instance that decides changes.
  test.each(faults)('keeps the bounds of the quota while %s', async (_name, fault) => {
    const fleet = await startedFleet()
    await fleet.run(3000, [sevenfold])
    await fault(fleet, [sevenfold])
    await fleet.run(10_000, [sevenfold])
    expect(fleet.errors).toEqual([])
    expect(fleet.largestUse()).toBeLessThanOrEqual(1)
    // The organisation still gets most of its rate.
    const granted = fleet.decisions.filter(({ ms, verdict }) => ms > fleet.nowMs - 5000 && verdict === QuotaVerdict.Granted).reduce((sum, { cost }) => sum + cost, 0)
    expect(granted).toBeGreaterThan(0.5 * 5 * LARGE_PER_S)
  })
})

describe('QuotaSharing under usual use', () => {
  // Guards against callers that are refused within their quota because the instance that decides has changed.
  test.each(faults.filter(([name]) => !name.includes('half')))('refuses nearly nothing within the quota while %s', async (name, fault) => {
    const fleet = await startedFleet()
    await fleet.run(3000, [usual])
    await fault(fleet, [usual])
    await fleet.run(10_000, [usual])
    expect(fleet.refusedShare(() => true)).toBeLessThanOrEqual(name === 'all instances run' ? 0.002 : 0.02)
  })

  test('lets two model requests of a small organisation through that come together', async () => {
    const fleet = await startedFleet()
    const [first, second] = fleet.instances as [FleetInstance, FleetInstance]
    const admissions = [await fleet.request(first, 'small', MODEL_TOKENS), await fleet.request(second, 'small', MODEL_TOKENS)]
    expect(admissions.map(({ verdict }) => verdict)).toEqual([QuotaVerdict.Granted, QuotaVerdict.Granted])
  })

  test('decides about a cheap request without waiting for another instance', async () => {
    const fleet = await startedFleet()
    const admissions = fleet.instances.map(({ sharing }) => sharing.client.acquire({ organisation: 'large', perS: LARGE_PER_S, burst: LARGE_PER_S, version: 1 }, PLAIN_TOKENS))
    expect(admissions.some((admission) => admission instanceof Promise)).toBe(false)
  })
})

describe('QuotaSharing', () => {
  test('holds a lowered rate as soon as the new version is applied, also before the coordinator has it', async () => {
    const fleet = await startedFleet()
    await fleet.run(8000, [sevenfold])
    const lowered = configuration({ version: 2, organisations: [organisationOf('large', LARGE_PER_S / 4)] })
    const coordinator = fleet.coordinatorOf('large')
    const before = coordinator.configuration
    fleet.applyConfiguration(lowered)
    coordinator.configuration = before
    const sinceMs = fleet.nowMs
    await fleet.run(8000, [sevenfold])
    const granted = fleet.decisions.filter(({ ms, verdict }) => ms > sinceMs && verdict === QuotaVerdict.Granted).reduce((sum, { cost }) => sum + cost, 0)
    expect(granted).toBeLessThanOrEqual((9 * LARGE_PER_S / 4) * 1.1 + 73_000)
    expect(granted).toBeGreaterThan(8 * LARGE_PER_S / 4 * 0.8)
  })

  // Guards against callers that come back on Retry-After and are refused again.
  test('names a time at which the organisation has units again', async () => {
    const fleet = await startedFleet()
    const [instance] = fleet.instances as [FleetInstance]
    let admission = await fleet.request(instance, 'small', MODEL_TOKENS)
    while (admission.verdict === QuotaVerdict.Granted) admission = await fleet.request(instance, 'small', MODEL_TOKENS)
    await fleet.run(Math.ceil((admission.waitMs ?? NaN) / 10) * 10)
    expect((await fleet.request(instance, 'small', MODEL_TOKENS)).verdict).toBe(QuotaVerdict.Granted)
  })

  test('lets the units of requests that have not run be used again', async () => {
    const fleet = await startedFleet()
    const [instance] = fleet.instances as [FleetInstance]
    const limit = { organisation: 'small', perS: 6000, burst: 6000, version: 1 }
    const verdicts: QuotaVerdict[] = []
    for (let index = 0; index < 20; index += 1) {
      const admission = await fleet.request(instance, 'small', MODEL_TOKENS)
      verdicts.push(admission.verdict)
      instance.sharing.client.release(limit, admission)
    }
    expect(new Set(verdicts)).toEqual(new Set([QuotaVerdict.Granted]))
  })

  test('sends nothing without organisations', async () => {
    const fleet = new QuotaFleet({ instances: 3, organisations: [] })
    await fleet.run(3000)
    expect(fleet.messages).toBe(0)
  })
})
