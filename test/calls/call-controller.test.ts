import { beforeEach, expect, test } from '@jest/globals'
import { MemberState } from '../../src/board/member.js'
import { CallEventKind, CallOutcome } from '../../src/calls/call-event.js'
import { issueKey, KEY_LIFETIME_MS } from '../../src/calls/key-issue.js'
import { findRecord, MAX_STORED_ANSWER_BYTES } from '../../src/calls/key-records.js'
import { MemberEventKind } from '../../src/members/member-event.js'
import { CallFleet } from './call-fleet.js'

let fleet: CallFleet
let key: string

beforeEach(() => {
  fleet = new CallFleet(['a', 'b'])
  key = issueKey(fleet.board('a'), 'shop', fleet.nowMs)
})

test('a call that arrives at an instance that did not issue its key is dispatched only by the issuer and answered on its own connection', () => {
  fleet.arrive('b', 'c1', { key })
  fleet.finish('a', 'c1')
  expect(fleet.sent).toHaveLength(1)
  expect(fleet.replies).toEqual({ c1: ['answer of c1'] })
  expect([fleet.board('a').calls.size, fleet.board('b').calls.size]).toEqual([0, 0])
})

test.each([
  ['is declared dead while it handles the call', () => fleet.step('b', { kind: MemberEventKind.MemberChanged, id: 'a', incarnation: 'a-inc', state: MemberState.Dead })],
  ['is replaced while it handles the call', () => fleet.step('b', { kind: MemberEventKind.MemberChanged, id: 'a', incarnation: 'a-2', state: MemberState.Alive })],
  ['does not answer in time', () => fleet.advance(2500)]
])('if the issuer %s, the caller gets outcome_unknown once and no other instance dispatches the call', (_name, loseIssuer) => {
  fleet.unresponsive.add('a')
  fleet.arrive('b', 'c1', { key })
  expect(fleet.replies).toEqual({})
  loseIssuer()
  expect(fleet.replies).toEqual({ c1: ['outcome_unknown'] })
  fleet.advance(10_000)
  expect(fleet.replies).toEqual({ c1: ['outcome_unknown'] })
  expect([fleet.sent.length, fleet.board('b').calls.size]).toEqual([0, 0])
})

test('a call is never dispatched if the issuer of its key is dead, unknown or an earlier incarnation of this instance', () => {
  fleet.board('b').members.get('a')!.state = MemberState.Dead
  fleet.arrive('b', 'c1', { key })
  fleet.board('b').members.clear()
  fleet.arrive('b', 'c2', { key })
  fleet.arrive('a', 'c3', { key: key.replace('a-inc', 'a-0') })
  expect(Object.values(fleet.replies).flat()).toEqual(['outcome_unknown', 'outcome_unknown', 'outcome_unknown'])
  expect(fleet.sent).toEqual([])
})

test('duplicates of a call through two instances run once; the newest connection gets the answer, the older ones get superseded', () => {
  fleet.arrive('a', 'c1', { key })
  fleet.arrive('b', 'c2', { key })
  fleet.arrive('a', 'c3', { key })
  fleet.finish('a', 'c1')
  expect(fleet.replies).toEqual({ c1: ['superseded'], c2: ['superseded'], c3: ['answer of c1'] })
  fleet.arrive('b', 'c4', { key })
  expect(fleet.replies.c4).toEqual(['answer of c1'])
  expect(fleet.sent).toHaveLength(1)
  expect([fleet.board('a').calls.size, fleet.board('b').calls.size]).toEqual([0, 0])
})

test.each([
  ['another body', () => ({ key, body: 'changed' }), 'key_reused'],
  ['a number that was not issued', () => ({ key: key.replace('.1.', '.2.') }), 'key_malformed'],
  ['a key of another organisation', () => ({ key, organisation: 'other' }), 'key_malformed'],
  ['a percent escape that does not decode', () => ({ key: 'db1.%E0.a-inc.1.00' }), 'key_malformed'],
  ['another spelling of an issued key', () => ({ key: key.replace('db1.a.', 'db1.%61.') }), 'key_malformed'],
  ['no key', () => ({ key: null }), 'key_missing']
])('a call with %s is refused as not run and not dispatched', (_name, createOptions, refusal) => {
  fleet.arrive('a', 'c1', { key })
  fleet.finish('a', 'c1')
  fleet.arrive('a', 'c2', createOptions())
  expect(fleet.replies.c2).toEqual([refusal])
  expect(fleet.sent).toHaveLength(1)
  expect(fleet.board('a').calls.size).toBe(0)
})

test('the outcome of a call is stored in the record of its key even if its caller has disconnected', () => {
  fleet.arrive('a', 'c1', { key })
  fleet.step('a', { kind: CallEventKind.CallerDisconnected, call: 'c1' })
  expect(fleet.board('a').calls.size).toBe(1)
  fleet.finish('a', 'c1', 500)
  expect(fleet.replies).toEqual({})
  expect(findRecord(fleet.board('a'), 'shop', key)?.outcome).toBe(CallOutcome.Failed)
  fleet.arrive('a', 'c2', { key })
  expect(fleet.replies).toEqual({ c2: ['answer of c1'] })
})

test('a call whose connection to the backend server broke after the first byte stays outcome_unknown and is not sent again', () => {
  fleet.arrive('a', 'c1', { key })
  fleet.fail('a', 'c1', true)
  fleet.arrive('a', 'c2', { key })
  expect(fleet.replies).toEqual({ c1: ['outcome_unknown'], c2: ['outcome_unknown'] })
  expect(fleet.sent).toHaveLength(1)
})

test('a call whose connection is refused by a backend server is tried on every other one, then refused as not run, and its key may be used again', () => {
  fleet.arrive('a', 'c1', { key })
  for (let tries = 0; tries < 3; tries += 1) fleet.fail('a', 'c1', false)
  expect(new Set(fleet.sent.map(({ server }) => server))).toEqual(new Set(['s1', 's2', 's3']))
  expect(fleet.replies).toEqual({ c1: ['no_server'] })
  fleet.arrive('a', 'c2', { key })
  fleet.finish('a', 'c2')
  expect(fleet.replies.c2).toEqual(['answer of c2'])
})

test('a call whose second try broke after the connection of the first was refused is not reported as not run', () => {
  fleet.arrive('a', 'c1', { key })
  fleet.fail('a', 'c1', false)
  fleet.fail('a', 'c1', true)
  expect(fleet.replies).toEqual({ c1: ['outcome_unknown'] })
  expect(fleet.sent).toHaveLength(2)
})

test('calls with expired keys are never run, whether the keys were used or not, and their records and answers are freed', () => {
  const unused = issueKey(fleet.board('a'), 'shop', fleet.nowMs)
  fleet.arrive('a', 'c1', { key })
  fleet.finish('a', 'c1')
  fleet.advance(KEY_LIFETIME_MS + 10_000)
  fleet.step('a', { kind: CallEventKind.CallTick })
  fleet.arrive('a', 'c2', { key })
  fleet.arrive('a', 'c3', { key: unused })
  expect(fleet.replies).toMatchObject({ c2: ['key_expired'], c3: ['key_expired'] })
  expect(fleet.sent).toHaveLength(1)
  const { records, answers, answerBytes } = fleet.board('a').issuedKeys
  expect([records.size, answers.size, answerBytes, fleet.storedAnswers.size]).toEqual([0, 0, 0, 0])
})

test('answers beyond the byte limit are dropped, oldest first, but calls with their keys are not run again', () => {
  const second = issueKey(fleet.board('a'), 'shop', fleet.nowMs)
  fleet.arrive('a', 'c1', { key })
  fleet.finish('a', 'c1')
  fleet.arrive('a', 'c2', { key: second })
  fleet.step('a', { kind: CallEventKind.CallFinished, call: 'c2', server: 's1', status: 200, succeeded: true, bytes: MAX_STORED_ANSWER_BYTES })
  expect([...fleet.storedAnswers]).toEqual(['c2'])
  fleet.arrive('a', 'c3', { key })
  expect(fleet.replies.c3).toEqual(['outcome_unknown'])
  expect(fleet.sent).toHaveLength(2)
})
