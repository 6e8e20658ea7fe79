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

function queryOutcome (id: string, options: { key?: string, organisation?: string, forwardedBy?: string | null } = {}): Action[] {
  const { key: queriedKey = key, organisation = 'shop', forwardedBy = null } = options
  const context = { nowMs: fleet.nowMs, random: () => 0, nextId: () => 'n' }
  return fleet.instances.get(id)!.core.step({ kind: CallEventKind.OutcomeQueried, query: 'q', organisation, key: queriedKey, forwardedBy }, context)
}

test('the issuer of a key answers with the current outcome of its call', () => {
  expect(queryOutcome('a')).toMatchObject([{ outcome: 'not_run' }])
  fleet.arrive('a', 'c1', { key })
  expect(queryOutcome('a')).toMatchObject([{ outcome: 'in_flight' }])
  fleet.finish('a', 'c1', 500)
  expect(queryOutcome('a')).toMatchObject([{ outcome: 'failed' }])
})

test('another instance forwards the query to the issuer, and answers unknown if the issuer is dead or does not answer', () => {
  expect(queryOutcome('b')).toMatchObject([
    { kind: CallActionKind.ForwardOutcomeQuery, instance: 'a', incarnation: 'a-inc' },
    { event: { kind: CallEventKind.OutcomeQueryAnswered, query: 'q', outcome: 'unknown' } }
  ])
  fleet.board('b').members.get('a')!.state = MemberState.Dead
  expect(queryOutcome('b')).toMatchObject([{ outcome: 'unknown' }])
})

test.each([
  ['another organisation queries', { organisation: 'other' }],
  ['is malformed', { key: 'db1.%E0.x' }]
])('the query for a key that %s is refused and reveals no outcome', (_name, options) => {
  fleet.arrive('a', 'c1', { key })
  fleet.finish('a', 'c1')
  expect(queryOutcome('a', options)).toMatchObject([{ refusal: 'key_malformed' }])
})

test('a caller\'s own key without a record on this instance is read from the key-value service, and its holder is queried while the call is in flight', () => {
  expect(queryOutcome('b', { key: 'mine' })).toMatchObject([{ kind: CallActionKind.ReadOutcomeRecord, organisation: 'shop', key: 'mine' }])
  const stepRecordRead = (outcome: CallOutcome, instance: string): Action[] => fleet.instances.get('b')!.core.step(
    { kind: CallEventKind.OutcomeRecordRead, query: 'q', organisation: 'shop', key: 'mine', instance, incarnation: 'x', outcome },
    { nowMs: 0, random: () => 0, nextId: () => 'n' })
  expect(stepRecordRead(CallOutcome.Succeeded, 'z')).toMatchObject([{ outcome: 'succeeded' }])
  expect(stepRecordRead(CallOutcome.InFlight, 'a')[0]).toMatchObject({ kind: CallActionKind.ForwardOutcomeQuery, instance: 'a' })
  expect(stepRecordRead(CallOutcome.InFlight, 'z')).toMatchObject([{ outcome: 'unknown' }])
})

test('a forwarded query for a key without a record is answered with unknown and not forwarded again', () => {
  expect(queryOutcome('a', { key: 'mine', forwardedBy: 'b' })).toMatchObject([{ outcome: 'unknown' }])
  expect(queryOutcome('b', { forwardedBy: 'a' })).toMatchObject([{ outcome: 'unknown' }])
})
