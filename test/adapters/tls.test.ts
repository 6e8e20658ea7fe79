import { afterEach, expect, test } from '@jest/globals'
import { copyFileSync, mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { createServer, type Server } from 'node:http'
import { get } from 'node:https'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { TLSSocket } from 'node:tls'
import { PeerMessageKind } from '../../src/adapters/peer-message.js'
import { PeerTransport } from '../../src/adapters/peer-transport.js'
import { TlsFiles } from '../../src/adapters/tls-files.js'
import { tlsServer } from '../../src/adapters/tls-server.js'
import { listen } from '../../src/standin/json-server.js'

const FIXTURES = 'test/fixtures/tls'
const fixture = (name: string): string => join(FIXTURES, name)

function files (name: string, authority = true): TlsFiles {
  const settings = { certificateFile: fixture(`${name}.pem`), keyFile: fixture(`${name}.key`), ...(authority ? { caFile: fixture('authority.pem') } : {}) }
  return new TlsFiles({ settings })
}

const openResources: Array<{ close: () => void }> = []
afterEach(() => { for (const item of openResources.splice(0)) item.close() })

interface Peer {
  transport: PeerTransport
  received: string[]
  errors: string[]
}

async function peer (id: string, tls: TlsFiles | undefined, addressOf: (id: string) => string | undefined): Promise<Peer & { address: string }> {
  const received: string[] = []
  const errors: string[] = []
  const transport = new PeerTransport({ id, incarnation: 'i', addressOf, onMessage: ({ from }) => received.push(from), onError: (detail) => errors.push(detail), tls })
  const port = await transport.listen('127.0.0.1', 0)
  openResources.push(transport)
  return { transport, received, errors, address: `127.0.0.1:${port}` }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  for (let wait = 0; wait < 500 && !condition(); wait += 1) await new Promise((resolve) => { setTimeout(resolve, 10) })
  expect(condition()).toBe(true)
}

test('guards against peers, on either side, whose certificate is missing, is not signed by the authority or names another instance', async () => {
  const addresses = new Map<string, string>()
  const addressOf = (id: string): string | undefined => addresses.get(id)
  const first = await peer('entry-0', files('entry-0'), addressOf)
  const second = await peer('entry-1', files('entry-1'), addressOf)
  const stranger = await peer('stranger', files('stranger'), addressOf)
  const plain = await peer('plain', undefined, addressOf)
  for (const [id, { address }] of Object.entries({ 'entry-0': first, 'entry-1': second, stranger, plain })) addresses.set(id, address)
  const message = { kind: PeerMessageKind.ReservationRelease, work: 'w', server: 's' } as const
  first.transport.send('entry-1', message)
  await waitUntil(() => second.received.length === 1)
  stranger.transport.send('entry-1', message)
  plain.transport.send('entry-1', message)
  await waitUntil(() => second.errors.length === 2)
  // A peer with a good certificate that claims to be another one.
  const impostor = await peer('entry-0', files('entry-1'), addressOf)
  impostor.transport.send('entry-1', message)
  await waitUntil(() => second.errors.length === 3)
  // The stranger's certificate names entry-1, but another authority signed it.
  addresses.set('entry-1', stranger.address)
  second.transport.send('entry-0', message)
  first.transport.send('entry-1', message)
  await waitUntil(() => first.errors.length === 1)
  addresses.set('other', second.address)
  first.transport.send('other', message)
  await waitUntil(() => first.errors.length === 2)
  expect([first.received, second.received, stranger.received]).toEqual([['entry-1'], ['entry-0'], []])
})

function certificateOf (server: Server): Promise<string> {
  const address = server.address()
  const requestOptions = { host: '127.0.0.1', port: typeof address === 'object' ? address?.port : 0, rejectUnauthorized: false, agent: false as const }
  return new Promise((resolve, reject) => {
    get(requestOptions, (response) => {
      const name = (response.socket as TLSSocket).getPeerCertificate().subject.CN
      response.resume().on('end', () => resolve(`${response.statusCode} ${String(name)}`))
    }).on('error', reject)
  })
}

test('guards against serving the old certificate after a renewal, and against a renewal that has replaced only one of the two files', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'daisybarrow-tls-'))
  const settings = { certificateFile: join(folder, 'certificate.pem'), keyFile: join(folder, 'key.pem') }
  const put = (name: string, to: string): void => copyFileSync(fixture(name), to)
  put('entry-0.pem', settings.certificateFile)
  put('entry-0.key', settings.keyFile)
  const errors: string[] = []
  const current = new TlsFiles({ settings, onError: (file) => errors.push(file) })
  const server = tlsServer(createServer((_request, response) => response.end('ok')), current)
  openResources.push(server, { close: () => rmSync(folder, { recursive: true }) })
  await listen(server, '127.0.0.1', 0)
  expect(await certificateOf(server)).toBe('200 entry-0')
  put('renewed.pem', settings.certificateFile)
  current.reload()
  current.reload()
  expect(errors).toEqual([settings.certificateFile])
  expect(current.context.cert).toBe(readFileSync(fixture('entry-0.pem'), 'utf8'))
  expect(await certificateOf(server)).toBe('200 entry-0')
  put('renewed.key', settings.keyFile)
  current.reload()
  expect(await certificateOf(server)).toBe('200 renewed')
})

test('guards against callers without a certificate where the settings require one, and against plain text on a TLS listener', async () => {
  const server = tlsServer(createServer((_request, response) => response.end('ok')), files('entry-0'))
  openResources.push(server)
  const port = await listen(server, '127.0.0.1', 0)
  await expect(certificateOf(server)).rejects.toThrow()
  const answer = await new Promise<string>((resolve) => {
    let text = ''
    const socket = connect(port, '127.0.0.1', () => socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n'))
    socket.on('data', (chunk) => { text += String(chunk) }).on('error', () => undefined).on('close', () => resolve(text))
  })
  expect(answer).not.toContain('ok')
})

test('guards against a start with a private key that does not match the certificate', () => {
  expect(() => new TlsFiles({ settings: { certificateFile: fixture('entry-0.pem'), keyFile: fixture('entry-1.key') } })).toThrow('belong together')
})
