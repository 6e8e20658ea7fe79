import { beforeEach, expect, test } from '@jest/globals'
import { CallEventKind, CallOutcome } from '../../src/calls/call-event.js'
import { RefusalKind } from '../../src/errors/refusal.js'
import { CallFleet } from './call-fleet.js'

let fleet: CallFleet

beforeEach(() => { fleet = new CallFleet(['a', 'b']) })

const key = 'order-17'

function lastNonce (): string {
  return fleet.claims.at(-1)!.nonce
}

function reportClaimed (id: string, nonce = lastNonce()): void {
  fleet.step(id, { kind: CallEventKind.KeyClaimed, organisation: 'shop', key, nonce })
}

function reportAlreadyClaimed (id: string, holder: string, bodyHash = 'body', incarnation = `${holder}-inc`): void {
  fleet.step(id, { kind: CallEventKind.KeyAlreadyClaimed, organisation: 'shop', key, nonce: lastNonce(), instance: holder, incarnation, bodyHash, outcome: CallOutcome.InFlight })
}

function reportClaimFailed (id: string): void {
  fleet.step(id, { kind: CallEventKind.KeyClaimFailed, organisation: 'shop', key, nonce: lastNonce(), refusal: RefusalKind.KeyStoreUnavailable })
}

test('a call with a caller\'s own key is dispatched only after the key is claimed, and its outcome is written to the record', () => {
  fleet.arrive('a', 'c1', { key })
  expect(fleet.sent).toEqual([])
  reportClaimed('a')
  fleet.finish('a', 'c1')
  expect(fleet.replies).toEqual({ c1: ['answer of c1'] })
  expect(fleet.outcomes).toMatchObject([{ nonce: lastNonce(), outcome: 'succeeded' }])
})

test('calls with the same caller\'s own key that arrive at two instances at the same time lead to one run and one answer', () => {
  fleet.arrive('a', 'c1', { key })
  const first = lastNonce()
  fleet.arrive('b', 'c2', { key })
  reportAlreadyClaimed('b', 'a')
  reportClaimed('a', first)
  fleet.finish('a', 'c1')
  expect(fleet.replies).toEqual({ c1: ['superseded'], c2: ['answer of c1'] })
  expect(fleet.sent).toHaveLength(1)
  expect([fleet.board('a').calls.size, fleet.board('b').calls.size, fleet.board('b').issuedKeys.records.size]).toEqual([0, 0, 0])
})

test('a call is refused if its key was claimed with another body, and gets outcome_unknown if the key is held by an incarnation that has ended', () => {
  fleet.arrive('b', 'c1', { key })
  reportAlreadyClaimed('b', 'a', 'another body')
  fleet.arrive('b', 'c2', { key })
  reportAlreadyClaimed('b', 'z')
  fleet.arrive('b', 'c3', { key })
  reportAlreadyClaimed('b', 'b', 'body', 'b-0')
  expect(fleet.replies).toEqual({ c1: ['key_reused'], c2: ['outcome_unknown'], c3: ['outcome_unknown'] })
  expect(fleet.sent).toEqual([])
})

test('a call refused because its key could not be claimed is never dispatched, and its retry through another instance runs at the instance that may hold the key', () => {
  fleet.arrive('a', 'c1', { key })
  const first = lastNonce()
  reportClaimFailed('a')
  reportClaimed('a', first)
  expect(fleet.replies).toEqual({ c1: ['key_store_unavailable'] })
  expect(fleet.sent).toEqual([])
  // The write of the first claim took effect late, so the retry finds it.
  fleet.arrive('b', 'c2', { key })
  reportAlreadyClaimed('b', 'a')
  expect(fleet.claims.at(-1)).toMatchObject({ abandoned: [first] })
  reportClaimed('a', first)
  expect(fleet.sent).toEqual([])
  reportClaimed('a')
  fleet.finish('a', 'c2')
  expect(fleet.replies.c2).toEqual(['answer of c2'])
})

test('a forwarded call is not claimed again if the holder of its key no longer has the record', () => {
  fleet.arrive('b', 'c1', { key })
  reportAlreadyClaimed('b', 'a')
  expect(fleet.replies).toEqual({ c1: ['outcome_unknown'] })
  expect(fleet.claims).toHaveLength(1)
})

test.each([
  ['its caller disconnected', () => fleet.step('a', { kind: CallEventKind.CallerDisconnected, call: 'c1' })],
  ['its holder was paused past the deadline', () => fleet.advance(3000)]
])('a call whose key was claimed is not dispatched if %s', (_name, interrupt) => {
  fleet.arrive('a', 'c1', { key })
  interrupt()
  reportClaimed('a')
  expect(fleet.sent).toEqual([])
  expect(fleet.outcomes).toMatchObject([{ outcome: 'not_run' }])
  expect(fleet.board('a').calls.size).toBe(0)
})

test('the same key chosen by callers of two organisations identifies two different calls', () => {
  fleet.arrive('a', 'c1', { key })
  fleet.arrive('a', 'c2', { key, organisation: 'other', body: 'changed' })
  expect(fleet.claims).toHaveLength(2)
  expect(fleet.replies).toEqual({})
})
