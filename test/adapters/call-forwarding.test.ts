import { createServer, type Server } from 'node:http'
import { afterAll, beforeAll, expect, test } from '@jest/globals'
import { issueKey } from '../../src/calls/key-issue.js'
import { type CallInstance, startInstance } from './call-instance.js'
import { FakeKeyValue } from './fake-key-value.js'

/** Time that the service takes to respond, in milliseconds. */
const SERVICE_MS = 100

let a: CallInstance
let b: CallInstance
let service: Server
const runs: string[] = []

beforeAll(async () => {
  service = createServer((request, response) => {
    runs.push(String(request.headers['idempotency-key']))
    setTimeout(() => response.writeHead(201, { 'content-type': 'text/plain' }).end(`ran ${runs.length}`), SERVICE_MS)
  })
  await new Promise<void>((resolve) => { service.listen(0, '127.0.0.1', resolve) })
  const keyValue = new FakeKeyValue()
  const peers = new Map<string, string>()
  a = await startInstance('a', keyValue, peers)
  b = await startInstance('b', keyValue, peers)
  for (const instance of [a, b]) instance.addServer(`127.0.0.1:${(service.address() as { port: number }).port}`)
})

afterAll(() => {
  for (const instance of [a, b]) instance.close()
  service.closeAllConnections()
  service.close()
})

async function sendOrder (instance: CallInstance, key: string): Promise<{ status: number, source: string | null, text: string }> {
  const answer = await fetch(`http://127.0.0.1:${instance.port}/orders`, { method: 'POST', body: '{}', headers: { authorization: 'Bearer secret', 'idempotency-key': key } })
  return { status: answer.status, source: answer.headers.get('daisybarrow-source'), text: await answer.text() }
}

async function queryOutcome (instance: CallInstance, key: string): Promise<unknown> {
  const answer = await fetch(`http://127.0.0.1:${instance.port}/v1/outcomes/${encodeURIComponent(key)}`, { headers: { authorization: 'Bearer secret' } })
  return await answer.json()
}

test.each([
  ['system-issued', () => issueKey(a.board, 'shop', Date.now())],
  ['caller-chosen', () => 'po/17']
])('a call with a %s key runs only once if it is sent to two instances, and both report its outcome', async (_name, keyOf) => {
  const key = keyOf()
  const before = runs.length
  const answers = await Promise.all([sendOrder(a, key), sendOrder(b, key)])
  expect(runs.slice(before)).toEqual([key])
  expect(answers.map(({ status }) => status).sort()).toEqual([201, 409])
  expect(answers.find(({ status }) => status === 201)).toMatchObject({ source: 'backend-server', text: `ran ${runs.length}` })
  expect(await sendOrder(b, key)).toMatchObject({ status: 201, source: 'stored', text: `ran ${runs.length}` })
  expect([await queryOutcome(a, key), await queryOutcome(b, key)]).toMatchObject([{ outcome: 'succeeded' }, { outcome: 'succeeded' }])
  expect([a.board.calls.size, b.board.calls.size, b.calls.size, b.queries.size]).toEqual([0, 0, 0, 0])
})

test('a call with a key that an earlier incarnation of an instance issued is not run, and its outcome is unknown', async () => {
  const key = issueKey(a.board, 'shop', Date.now()).replace('a-inc', 'a-old')
  const before = runs.length
  expect(await sendOrder(b, key)).toMatchObject({ status: 502, text: expect.stringContaining('was restarted') })
  expect(await queryOutcome(b, key)).toMatchObject({ outcome: 'unknown', detail: expect.stringContaining('was restarted') })
  expect(runs).toHaveLength(before)
})
