import { afterEach, describe, expect, jest, test } from '@jest/globals'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { type AddressInfo, connect, type Server } from 'node:net'
import fc from 'fast-check'
import { decodeDatagram, encodeDatagram, type PeerDatagram, PeerDatagramKind } from '../../src/gateway/peer-datagram.js'
import { ListenerName } from '../../src/gateway/connection-limits.js'
import { PeerSocket } from '../../src/gateway/peer-socket.js'
import { createDirectoryListener, createReadinessListener } from '../../platform/service-listeners.js'
import { callerRequest, recordingLog, RecordingResponder, usualConnectionLimits } from '../gateway/gateway-fixtures.js'
import { SocketGateway } from './socket-gateway.js'

/** Number of generated inputs; set MALFORMED_INPUTS for a longer run by hand. */
const INPUTS = Number(process.env.MALFORMED_INPUTS ?? 2000)

const servers: Server[] = []

afterEach(() => {
  for (const server of servers.splice(0)) server.close()
})

async function listen (server: Server): Promise<number> {
  servers.push(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return (server.address() as AddressInfo).port
}

/** First line of the answer to a request with this target. */
async function answerTo (port: number, target: string): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  socket.on('error', () => {})
  socket.write(`GET ${target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n`)
  let answer = ''
  socket.on('data', (chunk) => { answer += String(chunk) })
  await once(socket, 'close')
  return answer.split('\r\n', 1)[0] ?? ''
}

const oddTargets: Array<[string, string]> = [['two slashes', '//'], ['an open bracket', '//['], ['an odd host', 'http://['], ['an odd escape', '/%'], ['an odd zone', '/v1/resolution?Zone=%E0%A4%A'], ['no zone', '/v1/resolution?Zone'], ['an odd query', '/v1/readiness?%'], ['an asterisk', '*'], ['backslashes', '/\\\\'], ['a long path', `/${'a'.repeat(9000)}`]]

describe('a malformed request', () => {
  // Guards against a process that is taken down by one request to the directory or to the readiness check.
  test.each(oddTargets)('with %s ends no listener', async (_name, target) => {
    const { gateway } = new SocketGateway()
    const options = { log: recordingLog(), nowMs: () => performance.now() }
    const directory = createDirectoryListener(gateway, { ...options, limits: usualConnectionLimits(ListenerName.Directory), addressLifetimeS: () => 1, random: () => 0 })
    const readiness = createReadinessListener(gateway, { ...options, limits: usualConnectionLimits(ListenerName.Readiness) })
    const ports = [await listen(directory.server), await listen(readiness.server)]
    for (const port of ports) expect(await answerTo(port, target)).toMatch(/^HTTP\/1\.1 (200|400|404|503) /)
    expect(await answerTo(ports[0] ?? 0, '/v1/resolution?Zone=a&Name=x')).toMatch(/^HTTP\/1\.1 (200|503) /)
  })
})

describe('a malformed datagram', () => {
  const valid: PeerDatagram[] = [
    { kind: PeerDatagramKind.Heartbeat, status: { ip: '10.0.0.2', failureDomain: 'a', callers: '10.0.0.2:1', ready: true, configurationVersion: 1, storeRevision: 4, reachesStore: true, processorShare: 1 }, known: ['10.0.0.3'], sightings: { ips: Uint32Array.of(167772164), ages: Uint8Array.of(1), ready: Uint8Array.of(1) } },
    { kind: PeerDatagramKind.StoreState, era: 0, revision: 9, reachesStore: true, fromRevision: 4, changes: [], graceLeftMs: 0 },
    { kind: PeerDatagramKind.Report, runs: [{ id: 'q', service: 'model', decode: 'd', promptTokens: 10, output: { estimateTokens: null, maxTokens: 10 }, madeTokens: 1 }] },
    { kind: PeerDatagramKind.Place, request: { id: 'q', service: 'model', failureDomain: 'a', organisation: '', priority: 0, longestReturnMs: null, promptTokens: 10, output: { estimateTokens: null, maxTokens: 10 }, promptId: null, objectiveLeftMs: 1, patienceMs: 1, pauses: [] } },
    { kind: PeerDatagramKind.Leaving, servers: [{ server: 'b', ageMs: 1 }] },
    { kind: PeerDatagramKind.QuotaRequest, id: 'q', organisation: 'o', cost: 10, spent: false, perS: 100, burst: 10, version: 1 },
    { kind: PeerDatagramKind.QuotaAnswer, id: 'q', granted: false, waitMs: null },
    { kind: PeerDatagramKind.QuotaUse, reports: [{ organisation: 'o', fill: 0.5, profile: [1, 2] }] }
  ]
  const mutated = fc.tuple(fc.constantFrom(...valid), fc.array(fc.tuple(fc.nat(), fc.nat(255)), { maxLength: 4 }), fc.nat(200)).map(([message, changes, cut]) => {
    const bytes = Buffer.from(encodeDatagram(message))
    for (const [position, value] of changes) bytes[position % bytes.length] = value
    return bytes.subarray(0, Math.max(1, bytes.length - (cut > 180 ? cut - 180 : 0)))
  })

  // Guards against a process that is taken down by one datagram, whatever its bytes are.
  test('is dropped or handled, and throws nothing', () => {
    const { gateway } = new SocketGateway()
    fc.assert(fc.property(fc.oneof(mutated, fc.uint8Array({ maxLength: 300 })), (bytes) => {
      const message = decodeDatagram(Buffer.from(bytes))
      if (message !== null) gateway.handleDatagram('10.0.0.2', message)
    }), { numRuns: INPUTS, seed: 11 })
    gateway.tick()
  })

  // Guards against an unexpected error in the handling of one message that ends the process.
  test('that meets an unexpected error is logged, and the next one is handled', async () => {
    const log = recordingLog()
    const handled: string[] = []
    const probe = createSocket('udp4').bind(0, '127.0.0.1')
    await once(probe, 'listening')
    const { port } = probe.address()
    probe.close()
    const socket = new PeerSocket({
      ip: '127.0.0.1',
      port,
      log,
      onDatagram: (_from, { kind }) => {
        if (kind === PeerDatagramKind.Leaving) throw new Error('unexpected')
        handled.push(kind)
      }
    })
    for (const message of [{ kind: PeerDatagramKind.Leaving, servers: [] }, { kind: PeerDatagramKind.Release, id: 'q' }] as PeerDatagram[]) socket.send(['127.0.0.1'], message)
    for (let waits = 0; handled.length === 0 && waits < 100; waits += 1) await new Promise((resolve) => setTimeout(resolve, 10))
    socket.close()
    expect(handled).toEqual([PeerDatagramKind.Release])
    expect(log.lines.filter((line) => line.startsWith('peers.fault'))).toHaveLength(1)
  })
})

describe('an unexpected error while a request is served', () => {
  // Guards against a fault in the service of one request that ends all others.
  test.each([
    ['before it is sent', (instance: SocketGateway) => { instance.backendClient.send = () => { throw new Error('unexpected') } }],
    ['in the choice of its route', (instance: SocketGateway) => { instance.gateway.backends.ready = () => { throw new Error('unexpected') } }]
  ])('%s ends that request alone', async (_name, breakIt) => {
    const instance = new SocketGateway()
    instance.add([{ address: '127.0.0.1:1' } as never])
    breakIt(instance)
    const responder = await instance.request('/plain/x')
    expect(responder.refusal).toBe('outcome-unknown')
  })

  test('is survived if the refusal fails too', async () => {
    const instance = new SocketGateway()
    instance.backendClient.send = () => { throw new Error('unexpected') }
    instance.add([{ address: '127.0.0.1:1' } as never])
    const responder = new RecordingResponder()
    const aborted = jest.spyOn(responder, 'abort')
    responder.refuse = () => { throw new Error('headers sent') }
    instance.gateway.serve(callerRequest({ id: 'q9', path: '/plain/x', target: '/plain/x', arrivedMs: performance.now() }), responder)
    await new Promise((resolve) => setTimeout(resolve, 50))
    expect(aborted).toHaveBeenCalled()
  })
})
