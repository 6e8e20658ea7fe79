import { beforeEach, expect, test } from '@jest/globals'
import { CallEventKind, CallOutcome } from '../../src/calls/call-event.js'
import { RefusalKind } from '../../src/errors/refusal.js'
import { CallFleet } from './call-fleet.js'

let fleet: CallFleet

beforeEach(() => { fleet = new CallFleet(['a', 'b']) })

const key = 'order-17'

function nonce (): string {
  return fleet.claims.at(-1)!.nonce
}

function recorded (id: string, claim = nonce()): void {
  fleet.step(id, { kind: CallEventKind.KeyRecorded, organisation: 'shop', key, nonce: claim })
}

function taken (id: string, holder: string, bodyHash = 'body', incarnation = `${holder}-inc`): void {
  fleet.step(id, { kind: CallEventKind.KeyTaken, organisation: 'shop', key, nonce: nonce(), instance: holder, incarnation, bodyHash, outcome: CallOutcome.InFlight })
}

function unrecorded (id: string): void {
  fleet.step(id, { kind: CallEventKind.KeyRecordFailed, organisation: 'shop', key, nonce: nonce(), refusal: RefusalKind.KeyStoreUnavailable })
}

test('an own key is dispatched only when it is recorded, and its outcome is written back', () => {
  fleet.arrive('a', 'c1', { key })
  expect(fleet.sent).toEqual([])
  recorded('a')
  fleet.finish('a', 'c1')
  expect(fleet.replies).toEqual({ c1: ['answer of c1'] })
  expect(fleet.outcomes).toMatchObject([{ nonce: nonce(), outcome: 'succeeded' }])
})

test('the same own key at two instances at once gives one run and one answer', () => {
  fleet.arrive('a', 'c1', { key })
  const first = nonce()
  fleet.arrive('b', 'c2', { key })
  taken('b', 'a')
  recorded('a', first)
  fleet.finish('a', 'c1')
  expect(fleet.replies).toEqual({ c1: ['superseded'], c2: ['answer of c1'] })
  expect(fleet.sent).toHaveLength(1)
  expect([fleet.board('a').calls.size, fleet.board('b').calls.size, fleet.board('b').issuedKeys.records.size]).toEqual([0, 0, 0])
})

test('a key recorded with another body is refused, one held by a gone incarnation is outcome_unknown', () => {
  fleet.arrive('b', 'c1', { key })
  taken('b', 'a', 'another body')
  fleet.arrive('b', 'c2', { key })
  taken('b', 'z')
  fleet.arrive('b', 'c3', { key })
  taken('b', 'b', 'body', 'b-0')
  expect(fleet.replies).toEqual({ c1: ['key_reused'], c2: ['outcome_unknown'], c3: ['outcome_unknown'] })
  expect(fleet.sent).toEqual([])
})

test('a claim that was refused as not run is never dispatched, and a retry elsewhere still runs at the instance that may hold it', () => {
  fleet.arrive('a', 'c1', { key })
  const first = nonce()
  unrecorded('a')
  recorded('a', first)
  expect(fleet.replies).toEqual({ c1: ['key_store_unavailable'] })
  expect(fleet.sent).toEqual([])
  // The write of the first claim took effect late, so the retry finds it.
  fleet.arrive('b', 'c2', { key })
  taken('b', 'a')
  expect(fleet.claims.at(-1)).toMatchObject({ abandoned: [first] })
  recorded('a', first)
  expect(fleet.sent).toEqual([])
  recorded('a')
  fleet.finish('a', 'c2')
  expect(fleet.replies.c2).toEqual(['answer of c2'])
})

test('a forwarded own key that its holder no longer knows is not claimed again', () => {
  fleet.arrive('b', 'c1', { key })
  taken('b', 'a')
  expect(fleet.replies).toEqual({ c1: ['outcome_unknown'] })
  expect(fleet.claims).toHaveLength(1)
})

test.each([
  ['its caller has gone', () => fleet.step('a', { kind: CallEventKind.CallerDisconnected, call: 'c1' })],
  ['its holder was paused past the deadline', () => fleet.advance(3000)]
])('a recorded key is not dispatched when %s', (_name, act) => {
  fleet.arrive('a', 'c1', { key })
  act()
  recorded('a')
  expect(fleet.sent).toEqual([])
  expect(fleet.outcomes).toMatchObject([{ outcome: 'not_run' }])
  expect(fleet.board('a').calls.size).toBe(0)
})

test('an own key of one organisation is another key for another', () => {
  fleet.arrive('a', 'c1', { key })
  fleet.arrive('a', 'c2', { key, organisation: 'other', body: 'changed' })
  expect(fleet.claims).toHaveLength(2)
  expect(fleet.replies).toEqual({})
})
