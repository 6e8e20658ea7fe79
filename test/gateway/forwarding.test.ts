import { describe, expect, test } from '@jest/globals'
import { refuseAtTimeout } from '../../src/gateway/forwarding.js'
import { PendingRequest } from '../../src/gateway/pending-request.js'
import { GatewayRefusal } from '../../src/gateway/refusal.js'
import { callerRequest, RecordingResponder, route } from './gateway-fixtures.js'

function refusalOf (prepare: (pending: PendingRequest) => void, ageMs: number): string | null {
  let nowMs = 0
  const responder = new RecordingResponder()
  const pending = new PendingRequest({ request: callerRequest({ arrivedMs: 0 }), route: route({ timeoutMs: 1000 }), service: 'plain', responder, nowMs: () => nowMs })
  prepare(pending)
  nowMs = ageMs
  refuseAtTimeout(pending, true, GatewayRefusal.Stopping)
  return responder.refusal
}

describe('a request that ends while it is being sent', () => {
  // Guards against callers that can't repeat a charge which no server has received.
  test.each([[500, 'stopping'], [2000, 'timed-out-before-run']])('has not run if no connection was established, %i ms after its arrival', (ageMs, refusal) => {
    expect(refusalOf(() => {}, ageMs)).toBe(refusal)
  })

  // Guards against a charge that is taken twice.
  test.each([[500, 'outcome-unknown'], [2000, 'timed-out']])('may have run once it was written, %i ms after its arrival', (ageMs, refusal) => {
    expect(refusalOf((pending) => { pending.openSends = 1 }, ageMs)).toBe(refusal)
    expect(refusalOf((pending) => { pending.mayHaveRun = true }, ageMs)).toBe(refusal)
  })
})
