import { afterEach, describe, expect, test } from '@jest/globals'
import { once } from 'node:events'
import { createServer, get } from 'node:http'
import type { AddressInfo } from 'node:net'
import { decode, encode } from 'cbor-x'
import { createPeerListener } from '../../src/gateway/peer-listener.js'
import { fetchSnapshot, type PeerSnapshot } from '../../src/gateway/peer-snapshot.js'
import type { Configuration } from '../../src/gateway/configuration.js'
import type { StorePosition } from '../../src/gateway/store-position.js'
import { ThrottledLink } from '../platform/throttled-link.js'
import { backend, configuration, route, unboundedBuffers } from './gateway-fixtures.js'

/** Part of a link of 10 Mbit/s that is left beside other traffic, in bytes per second. */
const BUSY_LINK_BYTES_PER_S = 100_000

const cleanups: Array<() => void> = []

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup()
})

function largeConfiguration (version: number): Configuration {
  return configuration({ version, routes: Array.from({ length: 1250 }, (_, index) => route({ name: `r-${(index * 7919).toString(36)}`, pathPrefix: `/${(index * 104729).toString(36)}/` })) })
}

async function serveSnapshots (current: () => Configuration, storePosition: () => StorePosition = () => ({ era: 1, revision: 12 })): Promise<number> {
  let backends = [backend()]
  const listener = createPeerListener({
    get storePosition () { return storePosition() },
    get configuration () { return current() },
    backends: { present: () => backends, missing: () => [], departed: () => [], get changeCount () { return backends.length } }
  })
  listener.listen(0, '127.0.0.1')
  await once(listener, 'listening')
  cleanups.push(() => {
    backends = []
    listener.closeAllConnections()
    listener.close()
  })
  return (listener.address() as AddressInfo).port
}

describe('fetchSnapshot', () => {
  // Guards against an instance that stays behind because each snapshot of a large configuration is given up midway.
  test('receives the snapshot of a large configuration over a busy link', async () => {
    const port = await serveSnapshots(() => largeConfiguration(9))
    const link = new ThrottledLink({ port, bytesPerS: BUSY_LINK_BYTES_PER_S })
    cleanups.push(() => link.close())
    const [host, linkPort] = (await link.open()).split(':')
    const { snapshot, transfer } = await fetchSnapshot({ ip: host ?? '', port: Number(linkPort), buffers: unboundedBuffers() })
    expect(snapshot).toMatchObject({ revision: 12, configuration: { version: 9 }, backends: [{ id: 'b1' }] })
    expect(snapshot.configuration?.routes).toHaveLength(1250)
    expect(transfer.totalMs).toBeLessThan(700)
  })

  test('receives each new configuration of the peer', async () => {
    let version = 1
    const current = (): Configuration => configuration({ version })
    const configurations = new Map([1, 2].map((number) => [number, configuration({ version: number })]))
    const port = await serveSnapshots(() => configurations.get(version) ?? current())
    const versions: Array<number | undefined> = []
    for (const next of [1, 1, 2]) {
      version = next
      versions.push((await fetchSnapshot({ ip: '127.0.0.1', port, buffers: unboundedBuffers() })).snapshot.configuration?.version)
    }
    expect(versions).toEqual([1, 1, 2])
  })

  // Guards against a cached snapshot of the lost history that is sent as that of a store that has returned from a copy and reached the same revision again.
  test('receives a new snapshot when the store reaches the same revision in a newer era', async () => {
    const only = configuration()
    let era = 1
    const port = await serveSnapshots(() => only, () => ({ era, revision: 12 }))
    const eras: Array<number | undefined> = []
    for (const next of [1, 2]) {
      era = next
      eras.push((await fetchSnapshot({ ip: '127.0.0.1', port, buffers: unboundedBuffers() })).snapshot.era)
    }
    expect(eras).toEqual([1, 2])
  })

  async function fetchOnce (bytes: Buffer): Promise<PeerSnapshot> {
    const server = createServer((_request, response) => { response.end(bytes) })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    cleanups.push(() => server.close())
    return (await fetchSnapshot({ ip: '127.0.0.1', port: (server.address() as AddressInfo).port, buffers: unboundedBuffers() })).snapshot
  }

  const plain = { revision: 12, configuration: null, backends: [backend()] }

  // Guards against an instance whose state is replaced by something that it can't use, because a peer sent an odd snapshot.
  test.each([
    ['nothing', undefined],
    ['a text', 'odd'],
    ['a list', [1]],
    ['no revision', { ...plain, revision: undefined }],
    ['a revision that no store reaches', { ...plain, revision: 1e300 }],
    ['an era of the wrong type', { ...plain, era: '1' }],
    ['servers of the wrong type', { ...plain, backends: 'b1' }],
    ['an odd route', { ...plain, configuration: configuration({ routes: [route({ services: null as never })] }) }],
    ['no limits', { ...plain, configuration: { ...configuration(), limits: undefined } }]
  ])('rejects a snapshot with %s', async (_name, value) => {
    await expect(fetchOnce(encode(value))).rejects.toThrow()
  })

  // Guards against an odd server in a snapshot that hides the others or is connected to.
  test('takes the sound servers of a snapshot beside odd ones', async () => {
    const odd = [null, 'b2', { id: 'b3' }, backend({ id: 'b4', address: '10.0.0.1:99999' }), backend({ id: 'b5', address: 'host:80' }), backend({ id: 'b 6' }), backend({ id: 'b7', state: 'odd' as never }), backend({ id: 'b8', slots: NaN })]
    const { backends, missing, departed } = await fetchOnce(encode({ ...plain, backends: [...odd, backend({ id: 'b9' })], missing: [null, { id: 'b1', ageMs: 'x' }, { id: 'b2', ageMs: 5 }], departed: [{}] }))
    expect([backends.map(({ id }) => id), missing, departed]).toEqual([['b9'], [{ id: 'b2', ageMs: 5 }], []])
  })

  test('takes snapshots of older and newer versions, which lack fields or have more', async () => {
    const { longestPauseMs: _newer, ...older } = route()
    const taken = await fetchOnce(encode({ ...plain, configuration: configuration({ routes: [older as never] }), backends: [{ ...backend(), more: 1 }], more: [1] }))
    expect(taken).toMatchObject({ revision: 12, backends: [backend()], configuration: { routes: [{ ...older, longestPauseMs: 0 }] } })
    expect('more' in taken).toBe(false)
  })

  test('is uncompressed for instances of older versions, which ask for no encoding', async () => {
    const port = await serveSnapshots(() => configuration({ version: 4 }))
    const bytes = await new Promise<Buffer>((resolve, reject) => {
      get(`http://127.0.0.1:${port}/snapshot`, (response) => {
        const chunks: Buffer[] = []
        response.on('data', (chunk: Buffer) => chunks.push(chunk))
        response.on('end', () => resolve(Buffer.concat(chunks)))
      }).on('error', reject)
    })
    expect(decode(bytes)).toMatchObject({ revision: 12, configuration: { version: 4 } })
  })
})
