import { beforeEach, expect, test } from '@jest/globals'
import { MemberState } from '../../src/board/member.js'
import { CallActionKind } from '../../src/calls/call-action.js'
import { CallEventKind, CallOutcome } from '../../src/calls/call-event.js'
import { issueKey } from '../../src/calls/key-issue.js'
import type { Action } from '../../src/core/action.js'
import { CallFleet } from './call-fleet.js'

let fleet: CallFleet
let key: string

beforeEach(() => {
  fleet = new CallFleet(['a', 'b'])
  key = issueKey(fleet.board('a'), 'shop', fleet.nowMs)
})

function ask (id: string, options: { key?: string, organisation?: string, forwardedBy?: string | null } = {}): Action[] {
  const { key: asked = key, organisation = 'shop', forwardedBy = null } = options
  const context = { nowMs: fleet.nowMs, random: () => 0, nextId: () => 'n' }
  return fleet.instances.get(id)!.core.step({ kind: CallEventKind.OutcomeQueried, query: 'q', organisation, key: asked, forwardedBy }, context)
}

test('the issuer tells each outcome of its key', () => {
  expect(ask('a')).toMatchObject([{ outcome: 'not_run' }])
  fleet.arrive('a', 'c1', { key })
  expect(ask('a')).toMatchObject([{ outcome: 'in_flight' }])
  fleet.finish('a', 'c1', 500)
  expect(ask('a')).toMatchObject([{ outcome: 'failed' }])
})

test('another instance asks the issuer, and answers unknown when it is gone or silent', () => {
  expect(ask('b')).toMatchObject([
    { kind: CallActionKind.ForwardOutcomeQuery, instance: 'a', incarnation: 'a-inc' },
    { event: { kind: CallEventKind.OutcomeFound, query: 'q', outcome: 'unknown' } }
  ])
  fleet.board('b').members.get('a')!.state = MemberState.Dead
  expect(ask('b')).toMatchObject([{ outcome: 'unknown' }])
})

test.each([
  ['another organisation asks for', { organisation: 'other' }],
  ['is malformed', { key: 'db1.%E0.x' }]
])('a key that %s tells nothing', (_name, options) => {
  fleet.arrive('a', 'c1', { key })
  fleet.finish('a', 'c1')
  expect(ask('a', options)).toMatchObject([{ refusal: 'key_malformed' }])
})

test('an own key that is not known here is read from its record, whose holder knows the newest outcome', () => {
  expect(ask('b', { key: 'mine' })).toMatchObject([{ kind: CallActionKind.FindOutcome, organisation: 'shop', key: 'mine' }])
  const read = (outcome: CallOutcome, instance: string): Action[] => fleet.instances.get('b')!.core.step(
    { kind: CallEventKind.OutcomeRecordRead, query: 'q', organisation: 'shop', key: 'mine', instance, incarnation: 'x', outcome },
    { nowMs: 0, random: () => 0, nextId: () => 'n' })
  expect(read(CallOutcome.Succeeded, 'z')).toMatchObject([{ outcome: 'succeeded' }])
  expect(read(CallOutcome.InFlight, 'a')[0]).toMatchObject({ kind: CallActionKind.ForwardOutcomeQuery, instance: 'a' })
  expect(read(CallOutcome.InFlight, 'z')).toMatchObject([{ outcome: 'unknown' }])
})

test('a holder asked for a key it does not know says unknown and passes the question no further', () => {
  expect(ask('a', { key: 'mine', forwardedBy: 'b' })).toMatchObject([{ outcome: 'unknown' }])
  expect(ask('b', { forwardedBy: 'a' })).toMatchObject([{ outcome: 'unknown' }])
})
