import { connect, createServer } from 'node:net'
import { afterAll, afterEach, beforeAll, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { OUTCOME_PATH } from '../../src/adapters/outcome-handler.js'
import type { Board } from '../../src/board/board.js'
import { CallOutcome } from '../../src/calls/call-event.js'
import { parseIssuedKey } from '../../src/calls/issued-key.js'
import { issueKey } from '../../src/calls/key-issue.js'
import { type CallInstance, startInstance } from './call-instance.js'
import { FakeKeyValue } from './fake-key-value.js'

const SEED = 11

/** Large enough to arrive in many chunks. */
const LONG_BODY_BYTES = 4_000_000

let instance: CallInstance
let board: Board
let port: number

beforeAll(async () => {
  instance = await startInstance('a', new FakeKeyValue())
  ;({ board, port } = instance)
})

afterAll(() => instance.close())

afterEach(() => {
  board.servers.clear()
  expect(instance.errors).toEqual([])
})

/** Sends raw bytes and returns what is received until the connection ends or has been idle for 2 s; the status is 0 if there was no response. */
async function sendRaw (bytes: Buffer): Promise<{ status: number, body: string }> {
  return await new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1')
    let text = ''
    const done = (): void => {
      socket.destroy()
      const [head = '', body = ''] = text.split('\r\n\r\n')
      resolve({ status: Number(head.split(' ')[1] ?? 0), body })
    }
    socket.on('data', (chunk) => { text += chunk.toString('latin1') })
    socket.on('end', done)
    socket.setTimeout(2000, done)
    socket.on('error', done)
    socket.write(bytes)
  })
}

function requestBytes (options: { method?: string, path?: string, headers?: Record<string, string | undefined>, body?: string, authorisation?: string }): Buffer {
  const { method = 'POST', path = '/orders', headers = {}, body = '', authorisation = 'Bearer secret' } = options
  const all = { authorization: authorisation, connection: 'close', 'content-length': String(Buffer.byteLength(body, 'latin1')), ...headers }
  const lines = Object.entries(all).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}: ${value}`)
  return Buffer.from(`${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${body}`, 'latin1')
}

async function expectRefusal (bytes: Buffer, accept: number[] = []): Promise<void> {
  const { status, body } = await sendRaw(bytes)
  if (!accept.includes(status)) expect(status).toBeGreaterThanOrEqual(400)
  if (!accept.includes(status)) expect(status).toBeLessThan(500)
  if (status !== 200) expect(JSON.parse(body)).toMatchObject({ error: { kind: expect.any(String), class: 'not_run', remedy: expect.stringMatching(/./) } })
  const inFlight = [...board.issuedKeys.records.values()].filter(({ outcome }) => outcome === CallOutcome.InFlight)
  expect([board.calls.size, instance.calls.size, instance.queries.size, inFlight.length]).toEqual([0, 0, 0, 0])
}

const text = fc.string({ unit: fc.integer({ min: 0, max: 255 }).map((code) => String.fromCharCode(code)), maxLength: 200 })
const keyLike = fc.tuple(fc.constantFrom('db1', 'db1.a', 'db1.a.a-inc', 'db1.%', 'db1.%E0%A4%A.inc.1'), fc.array(fc.oneof(fc.constantFrom('a', '%', '%zz', 'a-inc', '0', '-1', '9'.repeat(20)), text), { maxLength: 5 }))
  .map(([head, rest]) => [head, ...rest].join('.'))
  // Leaves out well-formed keys of other incarnations: the instance can't know whether they were issued, so it doesn't refuse them as not run.
  .filter((key) => [undefined, 'a-inc'].includes(parseIssuedKey(key)?.incarnation))

/** Status of a valid call, which is refused because no backend server is listed. */
const NO_SERVER = 503

test('any invalid key in a header or a path is refused with a remedy, and no key leaves data of calls or queries behind', async () => {
  await fc.assert(fc.asyncProperty(fc.oneof(text, keyLike), async (key) => {
    await expectRefusal(requestBytes({ headers: { 'idempotency-key': key } }), [NO_SERVER])
    await expectRefusal(requestBytes({ method: 'GET', path: `${OUTCOME_PATH}${encodeURIComponent(key)}` }), [200])
    await expectRefusal(requestBytes({ method: 'GET', path: `${OUTCOME_PATH}${key}` }), [200])
  }), { seed: SEED, numRuns: 150 })
})

test('any invalid header, method, path or body is refused with a remedy, and no request leaves data of calls or queries behind', async () => {
  const header = fc.constantFrom('authorization', 'content-type', 'content-length', 'transfer-encoding', 'expect', 'upgrade', 'host', 'x')
  await fc.assert(fc.asyncProperty(fc.constantFrom('POST', 'GET', 'CONNECT', 'OPTIONS', 'BREW'), fc.oneof(fc.constantFrom('/orders', '/orders?a=1', '*', '//'), text), header, text, text,
    async (method, path, name, value, body) => {
      await expectRefusal(requestBytes({ method, path, headers: { 'idempotency-key': 'k', [name]: value }, body }), [NO_SERVER, 200])
    }), { seed: SEED, numRuns: 300 })
})

test('a body over the limit is refused, with and without a content-length header', async () => {
  const chunked = `${LONG_BODY_BYTES.toString(16)}\r\n${'x'.repeat(LONG_BODY_BYTES)}\r\n0\r\n\r\n`
  expect((await sendRaw(requestBytes({ body: 'x'.repeat(LONG_BODY_BYTES) }))).status).toBe(413)
  await expectRefusal(requestBytes({ body: 'x'.repeat(LONG_BODY_BYTES) }))
  await expectRefusal(Buffer.concat([requestBytes({ headers: { 'transfer-encoding': 'chunked', 'content-length': undefined } }), Buffer.from(chunked)]))
})

test('malformed bytes after a call that still runs get no refusal, which the caller would take for a refusal of the call', async () => {
  const stalled = createServer((socket) => { socket.on('error', () => undefined).unref() }).unref()
  await new Promise<void>((resolve) => { stalled.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(stalled.address() as { port: number }).port}`
  instance.addServer(address)
  const key = issueKey(board, 'shop', Date.now())
  const answer = await sendRaw(Buffer.concat([requestBytes({ headers: { 'idempotency-key': key, connection: 'keep-alive' } }), Buffer.from('\0garbage\r\n\r\n')]))
  expect(answer.status).toBe(0)
  while (board.calls.size > 0) await new Promise((resolve) => { setTimeout(resolve, 20) })
  expect(board.issuedKeys.records.get(key)?.outcome).toBe(CallOutcome.Unknown)
})
