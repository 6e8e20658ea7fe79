import { expect, test } from '@jest/globals'
import { GroupCommit } from '../../src/adapters/group-commit.js'
import { FakeKeyValue, WriteFault } from './fake-key-value.js'

function write (key: string): { key: string, value: Uint8Array, expectedRevision: number } {
  return { key, value: Buffer.from(key), expectedRevision: 0 }
}

test('writes made at the same time share calls of at most 128 writes, with one call in flight at a time', async () => {
  const keyValue = new FakeKeyValue()
  const commit = new GroupCommit({ keyValue })
  const results = await Promise.all(Array.from({ length: 200 }, (_, index) => commit.write(write(`k${index}`))))
  expect(keyValue.batches.map((batch) => batch.length)).toEqual([128, 72])
  expect(keyValue.maxInFlight).toBe(1)
  expect(results.every((result) => result.ok && result.val.swapped)).toBe(true)
})

test('a call puts each key only once, since etcd refuses a transaction that puts a key twice', async () => {
  const keyValue = new FakeKeyValue()
  const commit = new GroupCommit({ keyValue })
  const results = await Promise.all([commit.write(write('k')), commit.write(write('other')), commit.write(write('k'))])
  expect(keyValue.batches.map((batch) => batch.map(({ key }) => key))).toEqual([['k', 'other'], ['k']])
  expect(results.map((result) => result.ok && result.val.swapped)).toEqual([true, true, false])
})

test('a write to a full queue and a write that waited too long are refused without being sent', async () => {
  const keyValue = new FakeKeyValue()
  let nowMs = 0
  const commit = new GroupCommit({ keyValue, nowMs: () => nowMs, maxQueue: 1 })
  const waiting = commit.write(write('k'))
  expect((await commit.write(write('l'))).val).toMatchObject({ effect: 'none' })
  expect((await waiting).ok).toBe(true)
  const late = commit.write(write('m'))
  nowMs = 5000
  expect((await late).val).toMatchObject({ effect: 'none' })
  expect(keyValue.batches).toHaveLength(1)
})

test('after a failed call its writes have an unknown effect and the queue continues', async () => {
  const keyValue = new FakeKeyValue()
  keyValue.faults = [WriteFault.ReplyLost]
  const commit = new GroupCommit({ keyValue })
  expect((await commit.write(write('k'))).val).toMatchObject({ effect: 'unknown' })
  expect((await commit.write(write('l'))).ok).toBe(true)
})

test('calls of one instance are spaced, so that the fleet does not exceed the rate of writes that the service handles', async () => {
  const keyValue = new FakeKeyValue()
  let nowMs = 0
  const starts: number[] = []
  const commit = new GroupCommit({ keyValue, nowMs: () => nowMs, pause: async (ms) => { nowMs += ms }, spacingMs: () => 30 })
  for (let number = 0; number < 4; number += 1) {
    await commit.write(write(`k${number}`))
    starts.push(nowMs)
  }
  expect(starts).toEqual([0, 30, 60, 90])
})
