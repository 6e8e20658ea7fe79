import { beforeEach, expect, test } from '@jest/globals'
import { type ClaimOutcome, KeyRecorder } from '../../src/adapters/key-recorder.js'
import { CallOutcome } from '../../src/calls/call-event.js'
import type { KeyValueService } from '../../src/ports/key-value.js'
import { FakeKeyValue, WriteFault } from './fake-key-value.js'

let keyValue: FakeKeyValue
let nowMs: number

beforeEach(() => {
  keyValue = new FakeKeyValue()
  nowMs = 0
})

function recorder (id: string): KeyRecorder {
  return new KeyRecorder({
    self: { id, incarnation: `${id}-inc` },
    keyValue: keyValue as unknown as KeyValueService,
    nowMs: () => nowMs,
    pause: async (ms) => { nowMs += ms }
  })
}

const claim = { organisation: 'shop', key: 'k', bodyHash: 'h', nonce: 'n1', abandoned: [] as string[] }

async function resultOf (claimed: Promise<ClaimOutcome>): Promise<string> {
  return (await claimed).result
}

test('if two instances claim a key at the same time, one records it and the other receives the record of the first', async () => {
  const claims = await Promise.all([recorder('a').claim(claim), recorder('b').claim({ ...claim, nonce: 'n2' })])
  expect(claims).toMatchObject([{ result: 'recorded' }, { result: 'taken', record: { instance: 'a', incarnation: 'a-inc', bodyHash: 'h' } }])
})

test.each([
  ['took effect', [WriteFault.ReplyLost]],
  ['had no effect', [WriteFault.Dropped]]
])('a write without a reply that %s is resolved by reading the record', async (_name, faults) => {
  keyValue.faults = faults
  expect(await resultOf(recorder('a').claim(claim))).toBe('recorded')
  expect(keyValue.records()).toMatchObject([{ nonce: 'n1', instance: 'a', organisation: 'shop', bodyHash: 'h' }])
})

test('a claim whose reply was lost does not mistake an earlier record of another instance for its own', async () => {
  await recorder('b').claim({ ...claim, nonce: 'n0' })
  keyValue.faults = [WriteFault.ReplyLost]
  expect(await resultOf(recorder('a').claim(claim))).toBe('taken')
})

test('an abandoned claim whose write takes effect late is replaced only by a retry of the same incarnation', async () => {
  keyValue.faults = [WriteFault.Late]
  keyValue.readable = false
  expect(await resultOf(recorder('a').claim(claim))).toBe('unrecorded')
  keyValue.readable = true
  keyValue.applyLateWrites()
  expect(await resultOf(recorder('b').claim({ ...claim, nonce: 'n2', abandoned: ['n1'] }))).toBe('taken')
  expect(await resultOf(recorder('a').claim({ ...claim, nonce: 'n3', abandoned: ['n1'] }))).toBe('recorded')
  expect(keyValue.records()).toMatchObject([{ nonce: 'n3', incarnation: 'a-inc' }])
})

test('a write that takes effect late never replaces a claim recorded meanwhile', async () => {
  keyValue.faults = [WriteFault.Late]
  expect(await resultOf(recorder('a').claim(claim))).toBe('recorded')
  await recorder('a').recordOutcome(claim, CallOutcome.Succeeded)
  keyValue.applyLateWrites()
  expect(keyValue.records()).toMatchObject([{ outcome: 'succeeded' }])
})

test('an outcome is written despite lost replies, and never over the claim of another instance', async () => {
  const first = recorder('a')
  await first.claim(claim)
  keyValue.faults = [WriteFault.Dropped, WriteFault.ReplyLost]
  expect(await first.recordOutcome(claim, CallOutcome.NotRun)).toBe(true)
  expect(await resultOf(recorder('b').claim({ ...claim, nonce: 'n2' }))).toBe('recorded')
  expect(await first.recordOutcome(claim, CallOutcome.Succeeded)).toBe(false)
  expect(keyValue.records()).toMatchObject([{ nonce: 'n2', outcome: 'in_flight' }])
})

test('keys recorded within a lease period share a lease, and a later key gets a new one that outlasts its key lifetime', async () => {
  const sharedRecorder = recorder('a')
  for (let number = 0; number < 50; number += 1) {
    await sharedRecorder.claim({ ...claim, key: `k${number}` })
    nowMs += 1000
  }
  expect(keyValue.leases).toBe(1)
  nowMs += 20_000
  await sharedRecorder.claim({ ...claim, key: 'later' })
  expect(keyValue.leases).toBe(2)
})
