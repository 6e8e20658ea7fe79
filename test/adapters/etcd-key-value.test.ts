import { afterEach, beforeEach, expect, test } from '@jest/globals'
import type { Server } from 'node:http'
import { EtcdKeyValue } from '../../src/adapters/etcd-key-value.js'
import { createJsonServer, listen } from '../../src/standin/json-server.js'
import { KeyValueStandin } from '../../src/standin/key-value-service.js'

let server: Server
let service: EtcdKeyValue
let baseUrl: string

beforeEach(async () => {
  server = createJsonServer(new KeyValueStandin().handlers)
  baseUrl = `http://127.0.0.1:${await listen(server, '127.0.0.1', 0)}`
  service = new EtcdKeyValue({ baseUrl })
})

afterEach(() => {
  server.closeAllConnections()
  server.close()
})

async function injectFaults (body: unknown): Promise<void> {
  await fetch(`${baseUrl}/standin/faults`, { method: 'POST', body: JSON.stringify(body) })
}

function put (key: string, value = 'v'): { key: string, value: Buffer } {
  return { key, value: Buffer.from(value) }
}

test('a transaction with one outdated key writes and deletes nothing', async () => {
  expect((await service.transact({ expected: [{ key: 'a', revision: 0 }], puts: [put('a'), put('b')] })).unwrap()).toBe(true)
  const revision = (await service.get('a')).unwrap()?.modRevision ?? 0
  const refused = await service.transact({ expected: [{ key: 'a', revision }, { key: 'b', revision: 0 }], puts: [put('c')], deletes: ['a'] })
  expect(refused.unwrap()).toBe(false)
  expect((await service.getEach(['a', 'c'])).unwrap().map((item) => item?.key)).toEqual(['a', undefined])
  expect((await service.transact({ expected: [{ key: 'a', revision }], puts: [], deletes: ['a'] })).unwrap()).toBe(true)
  expect((await service.get('a')).unwrap()).toBeNull()
})

test('300 keys are read in three calls, and more keys than fit on a page are listed completely and in order', async () => {
  const keys = Array.from({ length: 2100 }, (_, index) => `p/${String(index).padStart(4, '0')}`)
  for (let from = 0; from < keys.length; from += 100) await service.transact({ expected: [], puts: keys.slice(from, from + 100).map((key) => put(key)) })
  const before = service.calls
  expect((await service.getEach(keys.slice(0, 300))).unwrap().filter((item) => item !== null)).toHaveLength(300)
  expect(service.calls - before).toBe(3)
  expect((await service.listRevisions('p/')).unwrap().map(({ key }) => key)).toEqual(keys)
})

test('a write whose reply is lost returns an unknown effect although it was made', async () => {
  await injectFaults({ lostReplies: 1 })
  const lost = await service.transact({ expected: [], puts: [put('a')] })
  expect(lost.val).toMatchObject({ effect: 'unknown' })
  expect((await service.get('a')).unwrap()?.key).toBe('a')
})

test('a watch reports a change made between the read and the watch, and ends with an error in an outage', async () => {
  await service.transact({ expected: [], puts: [put('head', 'one')] })
  const revision = (await service.get('head')).unwrap()?.modRevision ?? 0
  await service.transact({ expected: [], puts: [put('head', 'two')] })
  const seen: string[] = []
  const ended = service.watch('head', ({ value }) => {
    seen.push(Buffer.from(value).toString())
    if (seen.length === 1) service.transact({ expected: [], puts: [put('head', 'three')] })
    else injectFaults({ down: true })
  }, new AbortController().signal, revision + 1)
  expect((await ended).err).toBe(true)
  expect(seen).toEqual(['two', 'three'])
})

test('an unchanged key is read without its value', async () => {
  await service.transact({ expected: [], puts: [put('head')] })
  const { modRevision = 0 } = (await service.get('head')).unwrap() ?? {}
  expect((await service.getIfChanged('head', modRevision)).unwrap()).toEqual({ changed: false, item: null })
  await service.transact({ expected: [], puts: [put('head', 'next')] })
  expect((await service.getIfChanged('head', modRevision)).unwrap()).toMatchObject({ changed: true, item: { key: 'head' } })
})
