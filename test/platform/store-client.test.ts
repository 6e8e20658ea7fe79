import { afterEach, describe, expect, test } from '@jest/globals'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { StoreWatcher } from '../../src/gateway/store-watcher.js'
import { StoreChangeKind, StoreErrorKind } from '../../src/gateway/platform-store.js'
import { createJsonServer, listen } from '../../src/standin/json-server.js'
import { configurationKey, platformConfiguration, platformServer } from '../../src/standin/platform-entries.js'
import { RunnerStage } from '../../src/standin/platform-runner-standin.js'
import { PlatformStoreStandIn } from '../../src/standin/platform-store-standin.js'
import { StoreClient } from '../../platform/store-client.js'
import { recordingLog, unboundedBuffers } from '../gateway/gateway-fixtures.js'
import { ThrottledLink } from './throttled-link.js'

/** Rate of the link, in bytes per second: 10 Mbit/s. */
const LINK_BYTES_PER_S = 1_250_000

/** Rate of the slowest link of an instance, in bytes per second: 7 Mbit/s. */
const SLOWEST_LINK_BYTES_PER_S = 875_000

/** Routes of a configuration near the largest value that the store accepts, 1 MiB; its item has about 1.3 megabytes. */
const LARGEST_ROUTES = 4400

/** Routes of a large configuration; its item in the store has about 370 kilobytes. */
const LARGE_ROUTES = 1250

/** Time within which a configuration must be in force, in milliseconds. */
const APPLY_MS = 2000

/** Time after an outage from which the newest configuration must be in force again, in milliseconds. */
const CONTACT_MS = 3000

const cleanups: Array<() => void> = []

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup()
})

/** A store, a slow link to it, and a watcher behind the link that records the newest version it has read. */
async function watchOverSlowLink (bytesPerS = LINK_BYTES_PER_S): Promise<{ store: PlatformStoreStandIn, link: ThrottledLink, newest: () => number, write: (version: number, routes?: number) => void }> {
  const store = new PlatformStoreStandIn()
  store.server.listen(0, '127.0.0.1')
  await once(store.server, 'listening')
  const link = new ThrottledLink({ port: (store.server.address() as AddressInfo).port, bytesPerS })
  let version = 0
  const watcher = new StoreWatcher({
    store: new StoreClient({ address: await link.open(), buffers: unboundedBuffers() }),
    ip: '10.0.0.1',
    log: recordingLog(),
    random: () => 0.5,
    nowMs: () => performance.now(),
    onListing: ({ changes }) => { for (const change of changes) if (change.kind === StoreChangeKind.Configuration) version = change.configuration.version },
    onChange: (change) => { if (change.kind === StoreChangeKind.Configuration) version = change.configuration.version },
    onReachability: () => {}
  })
  cleanups.push(() => {
    watcher.stop()
    link.close()
    store.server.closeAllConnections()
    store.server.close()
  })
  const write = (next: number, routes = LARGE_ROUTES): void => {
    const addedPaths = Array.from({ length: routes }, (_, index) => `/added-path-of-a-usual-length-${next}-${index}/`)
    store.put(configurationKey, platformConfiguration({ version: next, addedPaths }))
  }
  write(1)
  watcher.run().catch((error: unknown) => { throw error })
  return { store, link, newest: () => version, write }
}

function delay (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

describe('StoreClient and StoreWatcher of a store that returns from a copy', () => {
  // Guards against an instance that new ones never learn of, and against changes that it never learns of, after the store has lost what it acknowledged.
  test.each([
    ['has fewer revisions than before', 0],
    ['has given out its revisions again', 8]
  ])('write the entry of the instance again and read what the operator writes, when the store %s', async (_name, rewrites) => {
    const { store, newest, write } = await watchOverSlowLink()
    const copy = store.copy()
    while (newest() < 1 || !store.has('daisybarrow/instances/10.0.0.1')) await delay(20)
    write(2, 1)
    while (newest() < 2) await delay(20)
    store.restore(copy)
    for (let index = 0; index < rewrites; index += 1) store.put(`servers/other${index}`, {})
    write(3, 1)
    await delay(APPLY_MS)
    expect([newest(), store.has('daisybarrow/instances/10.0.0.1')]).toEqual([3, true])
  })
})

describe('StoreClient', () => {
  // Guards against a listing whose first entries are of a lost history and whose others are not.
  test('returns no listing whose pages are of different eras', async () => {
    let calls = 0
    const server = createJsonServer({
      'GET /v1/kv-range': ({ query, response }) => {
        calls += 1
        const isFirstPage = query.get('after') === null
        response.setHeader('store-era', calls === 1 ? 7 : 8)
        return { items: [{ Key: `daisybarrow/instances/${isFirstPage ? '10.0.0.1' : '10.0.0.2'}`, Value: '', Revision: 1 }], HasMore: isFirstPage, At: calls === 1 ? 60 : 30 }
      }
    })
    cleanups.push(() => {
      server.closeAllConnections()
      server.close()
    })
    const client = new StoreClient({ address: `127.0.0.1:${await listen(server, '127.0.0.1', 0)}`, buffers: unboundedBuffers() })
    expect(await client.list()).toEqual({ kind: StoreErrorKind.Unreachable, detail: 'era 8 after a page of era 7', era: 8 })
    expect(await client.list()).toMatchObject({ era: 8, revision: 30, changes: [{ ip: '10.0.0.1' }, { ip: '10.0.0.2' }] })
  })
})

describe('StoreClient and StoreWatcher behind a slow link', () => {
  // Guards against an instance that never catches up after an outage, because the changes that it missed outgrow the timeout of a watch call.
  test('have the newest configuration soon after an outage during which many were written', async () => {
    const { link, newest, write } = await watchOverSlowLink()
    while (newest() < 1) await delay(20)
    link.cut = true
    link.reset()
    for (let version = 2; version <= 13; version += 1) {
      write(version)
      await delay(300)
    }
    link.cut = false
    await delay(APPLY_MS)
    expect(newest()).toBe(13)
  }, 20_000)

  // Guards against a configuration that is never read because its transfer alone exceeds the timeout of a call.
  test('read the largest possible configuration over the slowest link', async () => {
    const { link, newest, write } = await watchOverSlowLink(SLOWEST_LINK_BYTES_PER_S)
    while (newest() < 1) await delay(20)
    link.cut = true
    link.reset()
    write(2, LARGEST_ROUTES)
    await delay(2500)
    link.cut = false
    await delay(CONTACT_MS)
    expect(newest()).toBe(2)
  }, 20_000)

  // Guards against a growing backlog: each watch call returned all versions written during the one before.
  test('keep up with configurations that are written faster than the link can transfer them', async () => {
    const { newest, write } = await watchOverSlowLink()
    const lags: number[] = []
    for (let version = 2; version <= 40; version += 1) {
      write(version)
      await delay(150)
      lags.push(version - newest())
    }
    expect(Math.max(...lags) * 150).toBeLessThan(APPLY_MS)
  }, 20_000)
})

describe('StoreClient', () => {
  /** A server whose every response holds the given items, as a listing and as the events of a watch. */
  function storeWith (items: unknown[]): Promise<StoreClient> {
    return storeSending(() => ({ items, events: items, HasMore: false, At: 40 }))
  }

  async function storeSending (answer: () => object): Promise<StoreClient> {
    const server = createServer((request, response) => {
      request.resume()
      response.end(JSON.stringify(answer()))
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    cleanups.push(() => {
      server.closeAllConnections()
      server.close()
    })
    return new StoreClient({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, buffers: unboundedBuffers() })
  }

  // Guards against an instance that follows the store no longer, because one odd item makes it reject every listing or every watch call.
  test.each([
    ['without a revision', { Key: 'servers/i-odd', Value: '' }, 'servers/i-odd'],
    ['with a revision of the wrong type', { Key: 'servers/i-odd', Value: '', Revision: '7' }, 'servers/i-odd'],
    ['with a revision that is no whole number', { Key: 'servers/i-odd', Value: '', Revision: 0.5 }, 'servers/i-odd'],
    ['with a revision too large', { Key: 'servers/i-odd', Value: '', Revision: 1e308 }, 'servers/i-odd'],
    ['with a value of the wrong type', { Key: 'servers/i-odd', Value: null, Revision: 7 }, 'servers/i-odd'],
    ['with a value that is not base64', { Key: 'servers/i-odd', Value: '%%%', Revision: 7 }, 'servers/i-odd'],
    ['without a key', { Value: '', Revision: 7 }, ''],
    ['that is null', null, ''],
    ['that is a text', 'odd', '']
  ])('reads the items beside one %s', async (_name, odd, key) => {
    const value = Buffer.from(JSON.stringify(platformServer({ service: 'plain', address: '10.0.0.9:80', stage: RunnerStage.Plain }))).toString('base64')
    const client = await storeWith([odd, { Key: 'servers/i-1', Value: value, Revision: 8 }, { Key: 'servers/i-2', Revision: 9, Deleted: true }])
    for (const result of [await client.list(), await client.watch(3, 1000)]) {
      expect(result).toMatchObject({ revision: 40, changes: [{ kind: StoreChangeKind.Unreadable, key }, { kind: StoreChangeKind.Backend, backend: { id: 'i-1' } }, { kind: StoreChangeKind.BackendRemoved, id: 'i-2' }] })
    }
  })

  // Guards against an instance that keeps the items of pages without end.
  test('give up a listing whose pages do not end', async () => {
    let nextKey = 0
    const client = await storeSending(() => ({ items: [{ Key: `servers/${nextKey++}`, Value: '', Revision: 1 }], HasMore: true, At: 40 }))
    expect(await client.list()).toMatchObject({ kind: StoreErrorKind.Unreachable, detail: expect.stringContaining('a listing of more than') })
  })

  // Guards against an instance that watches from the same revision again and again, though the changes since then are too large for it.
  test('list the items again when the changes of a watch are too large', async () => {
    const client = await storeSending(() => ({ events: Array.from({ length: 5 }, () => ({ Key: 'op/config', Value: 'a'.repeat(1_000_000), Revision: 1 })), At: 40 }))
    expect(await client.watch(3, 1000)).toMatchObject({ kind: StoreErrorKind.HistoryLost })
  })
})
