import { afterEach, describe, expect, test } from '@jest/globals'
import { type BackendServer, RunnerRole } from '../../src/gateway/backend.js'
import { BackendTable } from '../../src/gateway/backend-table.js'
import { HttpExchangeClient } from '../../src/gateway/http-exchange.js'
import type { OrderTokenIssuer } from '../../src/gateway/order-token-issuer.js'
import { RoleRebalancer } from '../../src/gateway/role-rebalancer.js'
import { HttpBackendClient } from '../../platform/http-backend-client.js'
import { backend, recordingLog, type RecordingResponder, unboundedBuffers } from '../gateway/gateway-fixtures.js'
import { type AnswerHandler, answerTo, ByteServer, SocketGateway, STREAM_BODY } from './socket-gateway.js'

const PAUSE_S = 0.6
const PAUSE_MS = PAUSE_S * 1000

const started: ByteServer[] = []

afterEach(() => {
  for (const server of started.splice(0)) server.close()
})

async function startServer (handler: AnswerHandler): Promise<ByteServer> {
  const server = new ByteServer(handler)
  started.push(server)
  await server.listen()
  return server
}

const plain: AnswerHandler = (request) => answerTo(request)
const stream: AnswerHandler = (request) => answerTo(request, { body: STREAM_BODY })
const prefill: AnswerHandler = (request) => answerTo(request, { body: '{"Handle":"h1"}' })

/** Turns the first request away. */
const turnsAway = (answer: AnswerHandler, retryAfter: string | null = String(PAUSE_S)): AnswerHandler => (request, requestNumber) =>
  requestNumber > 1 ? answer(request, requestNumber) : answerTo(request, { status: 503, headers: retryAfter === null ? [] : [`Retry-After: ${retryAfter}`] })

const delay = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** Sends a request each 25 ms. */
async function requestFor (instance: SocketGateway, path: string, durationMs: number): Promise<RecordingResponder[]> {
  const responders: Array<Promise<RecordingResponder>> = []
  for (const untilMs = performance.now() + durationMs; performance.now() < untilMs; await delay(25)) responders.push(instance.request(path))
  return await Promise.all(responders)
}

/** Sends requests until the server has turned one away. */
async function requestUntilReceived (instance: SocketGateway, path: string, server: ByteServer): Promise<RecordingResponder> {
  for (let index = 0; index < 6; index += 1) {
    const responder = await instance.request(path)
    if (server.received.length > 0) return responder
  }
  throw new Error('the server has received nothing')
}

describe('a server that turns this instance away with Retry-After', () => {
  // Guards against more than two requests to a server until the time that it named has passed; a refused caller knows when to return.
  test.each([
    ['a plain server', RunnerRole.None, '/plain/x'],
    ['a decode runner', RunnerRole.Decode, '/stream/x'],
    ['a prefill runner', RunnerRole.Prefill, '/stream/x']
  ])('gets nothing for so long, and the requests go to others: %s', async (_name, role, path) => {
    const answer = role === RunnerRole.None ? plain : role === RunnerRole.Prefill ? prefill : stream
    const away = await startServer(turnsAway(answer))
    const other = await startServer(answer)
    const instance = new SocketGateway()
    // Of two idle decode runners the last one is chosen, of two other servers the nearer one.
    instance.add(role === RunnerRole.Decode ? [other, away] : [away, other], role)
    if (role === RunnerRole.Prefill) instance.add([await startServer(stream)], RunnerRole.Decode)
    await requestUntilReceived(instance, path, away)
    const responders = await requestFor(instance, path, PAUSE_MS * 0.9)
    const sinceMs = away.receivedMs[0] ?? 0
    expect(away.receivedMs.filter((ms) => ms < sinceMs + PAUSE_MS)).toHaveLength(1)
    expect(new Set(responders.map(({ status }) => status))).toEqual(new Set([200]))
  })

  // Guards against requests that wait in vain or are refused without a time, if there is no other server.
  test.each([
    ['plain', RunnerRole.None, '/plain/x', plain],
    ['model', RunnerRole.Decode, '/stream/x', stream]
  ])('lets requests of a %s service without another server be refused at once, with the time left', async (_name, role, path, answer) => {
    const away = await startServer(turnsAway(answer))
    const instance = new SocketGateway()
    instance.add([away], role)
    const first = await requestUntilReceived(instance, path, away)
    const sinceMs = performance.now()
    const next = await instance.request(path)
    expect(performance.now() - sinceMs).toBeLessThan(100)
    expect(next).toMatchObject({ ending: 'refused', refusal: 'paused' })
    for (const { retryAfterMs } of [first, next]) {
      expect(retryAfterMs).toBeGreaterThan(PAUSE_MS - 200)
      expect(retryAfterMs).toBeLessThan(PAUSE_MS + 2000)
    }
    expect(away.received).toHaveLength(1)
    expect(instance.gateway.pauses.size).toBe(1)
    expect(instance.log.lines).toContainEqual(expect.stringMatching(/^server\.paused server=\w+1 service=\w+ statedMs=600 forMs=600 leftMs=0 ageMs=0$/))
  })

  // Guards against prefills that are read in vain, and against a second send to the runner that has just turned the request away.
  test('is given no prefill if it is the only decode runner', async () => {
    const away = await startServer(turnsAway(stream))
    const prefillServer = await startServer(prefill)
    const instance = new SocketGateway()
    instance.add([prefillServer], RunnerRole.Prefill)
    instance.add([away], RunnerRole.Decode)
    await requestUntilReceived(instance, '/stream/x', away)
    await requestFor(instance, '/stream/x', PAUSE_MS * 0.6)
    expect(away.received).toHaveLength(1)
    expect(prefillServer.received).toHaveLength(1)
  })

  // Guards against a check only when the server is chosen: the answer to another request may arrive during the prefill.
  test('during a prefill does not get the request that was to follow', async () => {
    let answerPrefill = (): void => {}
    const prefillServer = await startServer((request, requestNumber) => requestNumber === 1 ? answerTo(request, { body: '{"Handle":"h1"}' }) : new Promise((resolve) => { answerPrefill = () => resolve(answerTo(request, { body: '{"Handle":"h2"}' })) }))
    let answerDecode = (): void => {}
    const decode = await startServer((request) => new Promise((resolve) => { answerDecode = () => resolve(answerTo(request, { status: 503, headers: [`Retry-After: ${PAUSE_S}`] })) }))
    const instance = new SocketGateway()
    instance.add([prefillServer], RunnerRole.Prefill)
    instance.add([decode], RunnerRole.Decode)
    const first = instance.request('/stream/x')
    while (decode.received.length < 1) await delay(2)
    const second = instance.request('/stream/x')
    while (prefillServer.received.length < 2) await delay(2)
    answerDecode()
    expect(await first).toMatchObject({ ending: 'refused', refusal: 'paused' })
    answerPrefill()
    expect(await second).toMatchObject({ ending: 'refused', refusal: 'paused' })
    expect(decode.received).toHaveLength(1)
    expect(instance.log.lines).toContainEqual(expect.stringMatching(/^send\.paused .*server=decode1 leftMs=\d+/))
  })

  // Guards against all requests that waited arriving at the moment at which the time ends.
  test('gets few requests at first when the time has passed', async () => {
    const away = await startServer(turnsAway(plain, '0.2'))
    const instance = new SocketGateway()
    instance.add([away])
    await requestUntilReceived(instance, '/plain/x', away)
    await delay(260)
    const responders = await Promise.all(Array.from({ length: 20 }, () => instance.request('/plain/x')))
    expect(away.received).toHaveLength(2)
    expect(responders.filter(({ refusal }) => refusal === 'paused')).toHaveLength(19)
    await delay(1600)
    for (let index = 0; index < 8; index += 1) await instance.request('/plain/x')
    expect(away.received).toHaveLength(10)
  })

  // Guards against a restarted server that stays unused for what the one before it had asked for.
  test('gets requests again after its restart', async () => {
    const away = await startServer(turnsAway(plain, '60'))
    const instance = new SocketGateway()
    const [entry] = instance.add([away]) as [BackendServer]
    await requestUntilReceived(instance, '/plain/x', away)
    instance.gateway.backends.put({ ...entry, startedAtMs: 2 })
    expect((await instance.request('/plain/x')).status).toBe(200)
  })

  // Guards against a pause that a later answer shortens: each answer counts for itself.
  test('is not sent to sooner because an answer under way names a shorter time', async () => {
    const answers: Array<() => void> = []
    const away = await startServer((request, requestNumber) => new Promise((resolve) => { answers.push(() => resolve(answerTo(request, { status: 503, headers: [`Retry-After: ${requestNumber === 1 ? 60 : 0.01}`] }))) }))
    const instance = new SocketGateway()
    instance.add([away])
    const both = [instance.request('/plain/x'), instance.request('/plain/x')]
    while (answers.length < 2) await delay(2)
    answers[0]?.()
    await both[0]
    answers[1]?.()
    await both[1]
    await delay(50)
    expect((await instance.request('/plain/x')).refusal).toBe('paused')
    expect(away.received).toHaveLength(2)
  })

  // Guards against orders to a runner that wants nothing from this instance.
  test('gets no order', async () => {
    const runner = await startServer((request) => answerTo(request, { status: 503, headers: ['Retry-After: 5'] }))
    const paused = new Set<string>()
    const clock = { ms: 0 }
    const backends = new BackendTable({ nowMs: () => clock.ms })
    for (const id of ['decode1', 'decode2', 'decode3']) backends.put(backend({ id, service: 'model', stage: RunnerRole.Decode, address: runner.address }))
    const log = recordingLog()
    const backendClient = new HttpBackendClient({ buffers: unboundedBuffers(), exchangeClient: new HttpExchangeClient(), log })
    backendClient.onPause = ({ id }) => { paused.add(id) }
    const tokenIssuer = { mayAcquire: () => true, acquire: () => Promise.resolve(4) } as unknown as OrderTokenIssuer
    const mix = { promptTokens: 5200, outputTokens: 100, prefillTokensPerMs: 50, msPerToken: 0.85, memoryTokens: 95_000, slots: 64 }
    const rebalancer = new RoleRebalancer({ backends, backendClient, tokenIssuer, holder: 'a', requestMix: () => mix, load: () => 0, isPaused: ({ id }) => paused.has(id), log, nowMs: () => clock.ms })
    for (let second = 0; second < 8; second += 1) {
      await rebalancer.rebalance('model')
      clock.ms += 1000
    }
    expect(runner.received.map(({ line }) => line)).toEqual(['GET /v1/report'])
  })
})

// Guards against a value that keeps a server without requests for too long, or that is taken for another one.
test.each([
  ['no value', null, null, false],
  ['an empty value', '', null, true],
  ['a fraction of a second', '0.35', 350, false],
  ['zero', '0', 0, false],
  ['a negative number', '-3', null, true],
  ['a word', 'soon', null, true],
  ['an exponent', '1e3', null, true],
  ['several values', '3, 4', null, true],
  ['a huge number', '999999999999999', 600_000, false],
  ['a number too long to read', '9'.repeat(3000), null, true],
  ['a past date', 'Wed, 21 Oct 2015 07:28:00 GMT', 0, false],
  ['a far date', 'Fri, 31 Dec 2999 23:59:59 GMT', 600_000, false],
  ['an impossible date', 'Fri, 99 Foo 2999 23:59:59 GMT', null, true],
  ['a date of another format', '2030-01-01T00:00:00Z', null, true]
])('pauses a server for a bounded time after a Retry-After with %s', async (_name, retryAfter, expectedMs, unreadable) => {
  const away = await startServer(turnsAway(plain, retryAfter))
  const instance = new SocketGateway()
  const [entry] = instance.add([away, await startServer(plain)]) as [BackendServer]
  await requestUntilReceived(instance, '/plain/x', away)
  const leftMs = instance.gateway.pauses.waitMs(entry)
  expect(leftMs).toBeLessThanOrEqual(expectedMs ?? 0)
  expect(leftMs).toBeGreaterThan((expectedMs ?? 0) - 100)
  expect(instance.log.lines.filter((line) => line.startsWith('server.paused'))).toHaveLength(expectedMs === null ? 0 : 1)
  const unreadableLines = instance.log.lines.filter((line) => line.startsWith('pause.unreadable server=none1'))
  expect(unreadableLines).toHaveLength(unreadable ? 1 : 0)
  expect(unreadableLines.every(({ length }) => length < 120)).toBe(true)
  expect((await instance.request('/plain/x')).status).toBe(200)
})

test('pauses a server until the date that it names', async () => {
  const away = await startServer(turnsAway(plain, new Date(Date.now() + 5000).toUTCString()))
  const instance = new SocketGateway()
  const [entry] = instance.add([away, await startServer(plain)]) as [BackendServer]
  await requestUntilReceived(instance, '/plain/x', away)
  // The date has whole seconds.
  expect(instance.gateway.pauses.waitMs(entry)).toBeGreaterThan(3500)
  expect(instance.gateway.pauses.waitMs(entry)).toBeLessThanOrEqual(5000)
})
