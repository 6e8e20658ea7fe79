import { afterEach, describe, expect, test } from '@jest/globals'
import { RunnerRole } from '../../src/gateway/backend.js'
import { backend } from '../gateway/gateway-fixtures.js'
import { answerTo, type CallerConnection, type HttpGateway, requestBytes, requestIdOf, type ScriptedServer, startGateway, startServer } from './http-gateway.js'
import { type AnswerHandler, answerTo as streamTo, ByteServer, SocketGateway, STREAM_BODY } from './socket-gateway.js'

const SILENCE_MS = 1000

const servers: ScriptedServer[] = []
const runners: ByteServer[] = []
let instance: HttpGateway | undefined

afterEach(() => {
  instance?.close()
  for (const server of [...servers.splice(0), ...runners.splice(0)]) server.close()
})

type Handler = Parameters<typeof startServer>[0]

const goesOn: Handler = (socket, head) => { setTimeout(() => socket.write(answerTo(head, 'late')), SILENCE_MS) }
const silent: Handler = () => {}
const status = (status: string): Handler => (socket, head) => socket.write(`HTTP/1.1 ${status}\r\nX-Request-Id: ${requestIdOf(head)}\r\nX-Response-Signature: s\r\nContent-Length: 3\r\n\r\nbad`)
const delay = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** Starts an instance with two servers, of which the first is preferred, and sends it one request that may be repeated. */
async function call (first: Handler, second: Handler, options: { slack?: number, pausedMs?: number } = {}): Promise<{ caller: CallerConnection, instance: HttpGateway }> {
  servers.push(await startServer(first), await startServer(second))
  instance = await startGateway(servers[0]?.address ?? '', options)
  const other = backend({ id: 'b2', address: servers[1]?.address ?? '', failureDomain: 'b' })
  instance.gateway.backends.put(other)
  if (options.pausedMs !== undefined) instance.gateway.pauses.record(other, options.pausedMs)
  const caller = instance.call()
  caller.socket.write(requestBytes('q1', '/again/x'))
  return { caller, instance }
}

describe('a sound server that is silent for a second and then answers', () => {
  // Guards against a 502 in place of an answer that was on its way, because the request was cut before another server had it.
  test.each<[string, Handler, Parameters<typeof call>[2]]>([
    ['the retry budget is exhausted', goesOn, { slack: 0 }],
    ['the other server has turned this instance away', goesOn, { pausedMs: 5000 }],
    ['the other server is silent too', silent, {}],
    ['the other server breaks off', (socket) => { socket.destroy() }, {}],
    ['the other server answers 500', status('500 Oops'), {}],
    ['the answer of the other server is cut short', (socket, head) => { socket.end(answerTo(head, 'whole').slice(0, -1)) }, {}]
  ])('is believed although %s', async (_name, second, options) => {
    const { caller } = await call(goesOn, second, options)
    expect(await caller.until('late')).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*late$/)
    expect(caller.closedBy()).toBeNull()
  })

  // Guards against answers that come late although another server is free, and against work that goes on for an answered request.
  test('does not hold up a request that another server answers, which ends the first exchange', async () => {
    const { caller } = await call(goesOn, (socket, head) => { socket.write(answerTo(head, 'quick')) })
    const sinceMs = performance.now()
    expect(await caller.until('quick')).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*quick$/)
    expect(performance.now() - sinceMs).toBeLessThan(SILENCE_MS / 2)
    await delay(SILENCE_MS)
    expect(servers[0]?.connections.size).toBe(0)
    expect(caller.text()).not.toContain('late')
  })
})

// Guards against failures that a caller gets although another server would answer the request.
test('a request that a sound server answers with 500 soon after the start is answered by another one', async () => {
  const { caller } = await call(status('500 Oops'), (socket, head) => { socket.write(answerTo(head, 'good')) })
  expect(await caller.until('good')).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*good$/)
})

// Guards against servers that work on for a caller who has left.
test('a caller who leaves while two servers work on its request ends both exchanges', async () => {
  const { caller } = await call(silent, silent)
  while (servers.some(({ received }) => received.length === 0)) await delay(5)
  caller.socket.destroy()
  await delay(100)
  expect(servers.map(({ connections }) => connections.size)).toEqual([0, 0])
})

// Guards against a budget that counts fewer bytes than are kept, because those of an exchange are taken off twice.
test('a caller who leaves in the middle of a response leaves no bytes in the budget, neither more nor fewer', async () => {
  const { caller, instance } = await call((socket, head) => { socket.write(answerTo(head, 'x'.repeat(50_000)).slice(0, -1)) }, silent)
  for (let tries = 0; tries < 400 && instance.buffers.heldBytes < 40_000; tries += 1) await delay(5)
  expect(instance.buffers.heldBytes).toBeGreaterThan(0)
  caller.socket.destroy()
  await delay(100)
  expect(instance.buffers.heldBytes).toBe(0)
})

describe('a model request whose prefill fails when the retry budget is exhausted', () => {
  // Guards against requests that are refused although their decode runner would serve them.
  test.each<[string, AnswerHandler]>([
    ['the prefill runner resets the connection', () => Promise.reject(new Error('reset'))],
    ['the prefill runner is silent', () => new Promise(() => {})]
  ])('is served by its decode runner: %s', async (_name, handler) => {
    const gateway = new SocketGateway({ ratio: 0, slack: 0 })
    const [prefill, decode] = [new ByteServer(handler), new ByteServer((request) => streamTo(request, { body: STREAM_BODY }))]
    for (const server of [prefill, decode]) {
      runners.push(server)
      await server.listen()
    }
    gateway.add([prefill], RunnerRole.Prefill)
    gateway.add([decode], RunnerRole.Decode)
    expect(await gateway.request('/stream/x')).toMatchObject({ status: 200, text: STREAM_BODY, ending: 'ended' })
    expect(prefill.received.filter(({ line }) => line.includes('/stream/'))).toHaveLength(1)
  })
})
