import { describe, expect, test } from '@jest/globals'
import { lostCalls } from '../../src/soak/lost-calls.js'
import { SoakLedger } from '../../src/soak/soak-ledger.js'
import { CallKind, type CallEnd, type CallProgress } from '../../src/standin/platform-call.js'

interface Case {
  status?: number | null
  ran?: boolean
  brokenOff?: boolean
  cuts?: Array<{ fromMs: number, toMs: number }>
  evictions?: number
  progress?: Partial<CallProgress>
}

function judged ({ status = null, ran = true, brokenOff = false, cuts = [], evictions = 0, progress = {} }: Case): string[] {
  const ledger = new SoakLedger()
  if (ran) ledger.ran('q')
  if (brokenOff) ledger.brokenOff.add('q')
  const end: CallEnd = { id: 'q', address: '10.0.0.1:1', kind: CallKind.Order, status, fault: null, progress: { startedMs: 1000, sentMs: 1500, endedMs: 1900, complete: false, deadlineMs: 4000, answerBytes: 100, ...progress } }
  ledger.ends.push(end)
  return lostCalls({ ledger, instances: [{ ip: '10.0.0.1', cuts }], lowestTimeoutMs: 3000, evictions: () => evictions })
}

describe('lostCalls', () => {
  // Guards against a soak that does not notice requests that end without an answer.
  test.each<[string, Case]>([
    ['no answer although the request ran', {}],
    ['no answer although the request had been received for a while', { ran: false }],
    ['an answer that is cut', { status: 200 }],
    ['a cut beside a kill of the instance before the call', { cuts: [{ fromMs: 800, toMs: 900 }] }],
    ['a small answer that is cut when buffers are full', { status: 200, evictions: 1 }],
    ['a large answer that is cut with buffers free', { status: 200, progress: { answerBytes: 1e6 } }]
  ])('reports %s', (_name, one) => {
    expect(judged(one)).toEqual([expect.stringMatching(/^q \(order\): LOST at 10\.0\.0\.1, .* 400 ms after its last byte and 900 ms after its start/)])
  })

  test.each<[string, Case]>([
    ['a complete answer', { status: 502, progress: { complete: true } }],
    ['a request that was not sent completely', { progress: { sentMs: null } }],
    ['a request that crosses the close of its connection', { ran: false, progress: { sentMs: 1850 } }],
    ['a call whose time has run out', { progress: { endedMs: 4000 } }],
    ['an answer that its server breaks off', { status: 200, brokenOff: true }],
    ['a call on an instance that is killed', { cuts: [{ fromMs: 1900, toMs: 1900 }] }],
    ['a call on an instance that is paused', { cuts: [{ fromMs: 1200, toMs: 1400 }] }],
    ['a large answer that gives way when buffers are full', { status: 200, evictions: 1, progress: { answerBytes: 1e6 } }]
  ])('excuses %s', (_name, one) => {
    expect(judged(one)).toEqual([])
  })
})
