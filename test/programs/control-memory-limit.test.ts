import { afterEach, describe, expect, test } from '@jest/globals'
import { once } from 'node:events'
import { createServer, type Server, type Socket } from 'node:net'
import { gzipSync } from 'node:zlib'
import { encodeLivenessDigest } from '../../src/gateway/liveness-digest.js'
import { PeerDatagramKind } from '../../src/gateway/peer-datagram.js'
import { PeerSocket } from '../../src/gateway/peer-socket.js'
import { LinkState } from '../../src/soak/faulty-link.js'
import { recordingLog } from '../gateway/gateway-fixtures.js'
import { delay, LimitedGateway, MEMORY_MB, type RawAnswer } from './limited-gateway.js'

const NET = '78.5'
const PEER_IP = `127.${NET}.30`
const PEER_PORT = 7104
const STORE_PORT = 7106

/** Time for which the store or the peer sends what it sends, in milliseconds. */
const ATTACK_MS = 8000

const MB = 1024 * 1024

let gateway: LimitedGateway
const cleanups: Array<() => void> = []

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) cleanup()
  await gateway.stop()
})

const JSON_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n'

function whole (socket: Socket, head: string, body: string | Buffer): void {
  socket.write(`${head}Content-Length: ${body.length}\r\n\r\n`)
  socket.write(body)
}

function endless (start: string, repeated: string): RawAnswer {
  return (socket) => {
    const bytes = Buffer.from(repeated)
    const pump = (): void => {
      while (!socket.destroyed && socket.write(bytes));
    }
    socket.on('drain', pump)
    socket.write(start)
    pump()
  }
}

const storeAnswers: Record<string, RawAnswer> = {
  'chunks of one byte': endless(`${JSON_HEAD}Transfer-Encoding: chunked\r\n\r\n`, '1\r\n \r\n'.repeat(10_000)),
  'many values': (socket) => whole(socket, JSON_HEAD, `{"HasMore":false,"At":1000,"items":[${'[],'.repeat(10 * MB)}1],"events":[]}`)
}

const SNAPSHOT_HEAD = 'HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n'

const snapshots: Record<string, RawAnswer> = {
  'chunks of one byte': endless(`${SNAPSHOT_HEAD}Transfer-Encoding: chunked\r\n\r\n`, '1\r\na\r\n'.repeat(10_000)),
  // A list of 30 million empty lists.
  'many values': (socket) => whole(socket, SNAPSHOT_HEAD, gzipSync(Buffer.concat([Buffer.from('9a01e00000', 'hex'), Buffer.alloc(0x01e00000, 0x80)])))
}

/** Answers each request on a connection of the address. */
async function serveRaw (ip: string, port: number, answer: RawAnswer): Promise<void> {
  const sockets = new Set<Socket>()
  const server: Server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', (chunk: Buffer) => answer(socket, chunk.toString('latin1')))
  })
  server.listen(port, ip)
  await once(server, 'listening')
  cleanups.push(() => {
    server.close()
    for (const socket of sockets) socket.destroy()
  })
}

async function start (): Promise<void> {
  gateway = new LimitedGateway({ net: NET, answers: {} })
  await gateway.start()
}

/** What the other caller gets while the store or the peer sends. */
async function outcome (): Promise<object> {
  gateway.startSteadyCaller()
  await delay(ATTACK_MS)
  const steady = await gateway.steadyStatuses()
  return { killed: gateway.killed, steady: Object.keys(steady) }
}

const SOUND = { killed: false, steady: ['200'] }

describe('a gateway process with the memory of the smallest instance', () => {
  // Guards against instances that run out of memory because of what the store answers.
  test.each(Object.keys(storeAnswers))('survives a store that sends %s, and serves other callers meanwhile', async (kind) => {
    await start()
    const [instance] = gateway.fleet.instances
    if (instance === undefined) throw new Error('no instance')
    instance.link.enter(LinkState.Reset)
    instance.link.server.close()
    await serveRaw(instance.ip, STORE_PORT, storeAnswers[kind] ?? (() => {}))
    expect(await outcome()).toEqual(SOUND)
    expect(gateway.peakMb).toBeLessThan(MEMORY_MB)
  }, 40_000)

  // Guards against instances that run out of memory because of the snapshot of a peer.
  test.each(Object.keys(snapshots))('survives a peer whose snapshot has %s, and serves other callers meanwhile', async (kind) => {
    await start()
    const [instance] = gateway.fleet.instances
    if (instance === undefined) throw new Error('no instance')
    await serveRaw(PEER_IP, PEER_PORT, snapshots[kind] ?? (() => {}))
    const peer = new PeerSocket({ ip: PEER_IP, port: PEER_PORT, log: recordingLog(), onDatagram: () => {} })
    const status = { ip: PEER_IP, failureDomain: 'a', callers: `${PEER_IP}:7101`, ready: true, configurationVersion: 1_000_000, storeEra: 1, storeRevision: 1_000_000, reachesStore: true, processorShare: 1 }
    const timer = setInterval(() => peer.send([instance.ip], { kind: PeerDatagramKind.Heartbeat, status, known: [], sightings: encodeLivenessDigest([]) }), 200)
    cleanups.push(() => {
      clearInterval(timer)
      peer.close()
    })
    expect(await outcome()).toEqual(SOUND)
    expect(gateway.peakMb).toBeLessThan(MEMORY_MB)
  }, 40_000)
})
