import { describe, expect, test } from '@jest/globals'
import { QuotaUnit } from '../../src/gateway/configuration.js'
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js'
import { PendingRequest } from '../../src/gateway/pending-request.js'
import { QuotaCheck } from '../../src/gateway/quota-check.js'
import { type QuotaAdmission, QuotaVerdict } from '../../src/gateway/quota-client.js'
import { quotaCost } from '../../src/gateway/quota-cost.js'
import type { OrganisationLimit } from '../../src/gateway/quota-ledger.js'
import { GatewayRefusal, refusalStatus } from '../../src/gateway/refusal.js'
import { callerRequest, recordingLog, RecordingResponder, route } from './gateway-fixtures.js'

const quota = { unit: QuotaUnit.Tokens, perS: 1000, burst: 1000, plainTokens: 200 }
const generationParameters = { promptTokens: 5000, maxOutputTokens: 4000, estimatedOutputTokens: null, promptId: null, sharedParts: [] }

function grant (cost: number): QuotaAdmission {
  return { verdict: QuotaVerdict.Granted, cost, waitMs: 0, decidedBy: '10.0.0.2' }
}

class Setup {
  readonly responder = new RecordingResponder()
  readonly released: number[] = []
  readonly log = recordingLog()
  readonly pending: PendingRequest
  forwarded = 0
  decide: (admission: QuotaAdmission) => void = () => {}
  readonly #check: QuotaCheck

  constructor (admission?: QuotaAdmission, limit: typeof quota | null = quota) {
    this.pending = new PendingRequest({ request: callerRequest(), route: route(), service: 'plain', organisation: { name: 'org', keyHashes: ['secret-hash'], priority: null, quota: limit }, responder: this.responder, nowMs: () => 0 })
    const client = {
      acquire: () => admission ?? new Promise<QuotaAdmission>((resolve) => { this.decide = resolve }),
      release: (_limit: OrganisationLimit, { cost }: QuotaAdmission) => { this.released.push(cost) }
    }
    this.#check = new QuotaCheck({ client, version: () => 1, log: this.log, metrics: new GatewayMetrics() })
  }

  serve (): this {
    this.#check.whenAdmitted(this.pending, () => { this.forwarded += 1 })
    return this
  }

  async settle (admission: QuotaAdmission): Promise<void> {
    this.decide(admission)
    await new Promise((resolve) => setImmediate(resolve))
  }
}

describe('QuotaCheck', () => {
  test('forwards at once without a quota, and when the decision needs no other instance', () => {
    for (const setup of [new Setup(undefined, null).serve(), new Setup(grant(200)).serve()]) {
      expect(setup.forwarded).toBe(1)
      setup.pending.complete()
    }
  })

  test('refuses what is over the quota with the time at which there are units again, and logs no key', () => {
    const { responder, forwarded, log } = new Setup({ verdict: QuotaVerdict.Refused, cost: 200, waitMs: 1500, decidedBy: '10.0.0.2' }).serve()
    expect([forwarded, responder.refusal, responder.retryAfterMs]).toEqual([0, GatewayRefusal.OverQuota, 1500])
    expect(refusalStatus[GatewayRefusal.OverQuota]).toBe(429)
    expect(log.lines.join()).not.toContain('secret')
  })

  test('says that a request has not run if nobody decided', () => {
    const { responder } = new Setup({ verdict: QuotaVerdict.Undecided, cost: 200, waitMs: null, decidedBy: null }).serve()
    expect(refusalStatus[responder.refusal ?? GatewayRefusal.OutcomeUnknown]).toBe(503)
  })

  // Guards against requests that run although nobody waits for them any more.
  test('forwards no request whose caller has left meanwhile, and returns its units', async () => {
    const setup = new Setup().serve()
    setup.responder.disconnect()
    await setup.settle(grant(200))
    expect([setup.forwarded, setup.released]).toEqual([0, [200]])
  })

  test('refuses a request whose time runs out while it waits, and returns its units', async () => {
    const setup = new Setup().serve()
    setup.pending.onTimeout(GatewayRefusal.TimedOutBeforeRun)
    await setup.settle(grant(200))
    expect([setup.forwarded, setup.released, setup.responder.refusal]).toEqual([0, [200], GatewayRefusal.TimedOutBeforeRun])
  })

  // Guards against units that are returned for a request that a server may have run.
  test.each([[false, [200]], [true, []]])('returns the units at the end if a send has begun: %s', (sendStarted, released) => {
    const setup = new Setup(grant(200)).serve()
    setup.pending.sendStarted = sendStarted
    setup.pending.refuse(GatewayRefusal.Overloaded)
    expect(setup.released).toEqual(released)
  })

  test.each([
    ['tokens of a model request', callerRequest({ generationParameters }), quota, 9000],
    ['the fixed number of tokens without counts', callerRequest(), quota, 200],
    ['one request', callerRequest({ generationParameters }), { ...quota, unit: QuotaUnit.Requests }, 1]
  ])('counts %s', (_name, request, limit, expected) => {
    expect(quotaCost(request, limit)).toBe(expected)
  })
})
