import { afterEach, expect, test } from '@jest/globals'
import { answerTo, type HttpGateway, requestIdOf, type ScriptedServer, startGateway, startServer } from './http-gateway.js'

let server: ScriptedServer | undefined
let instance: HttpGateway | undefined

afterEach(() => {
  instance?.close()
  server?.close()
})

const withFields = (count: number, id: string): string => `GET /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ${id}\r\n${'a:b\r\n'.repeat(count)}`

// Guards against the silent loss of fields beyond 2,000, the usual limit of Node.js: a head within the configured 16,384 bytes may have more.
test('a request with as many fields as the largest head can have arrives with all of them', async () => {
  server = await startServer((socket, head) => { socket.write(answerTo(head)) })
  instance = await startGateway(server.address)
  const caller = instance.call()
  caller.socket.write(`${withFields(3200, 'q1')}\r\n`)
  await caller.until('ok')
  expect(server.received.map((head) => head.match(/^a: ?b\r?$/gm)?.length)).toEqual([3200])
})

// Guards against a request that runs without some of its fields.
test('a request with more fields than are kept is refused and not run', async () => {
  server = await startServer((socket, head) => { socket.write(answerTo(head)) })
  instance = await startGateway(server.address)
  const caller = instance.call()
  caller.socket.write(`${withFields(4000, 'q1')}\r\n`)
  await caller.until('too-many-fields')
  expect([caller.text().slice(0, 12), server.received]).toEqual(['HTTP/1.1 431', []])
})

// Guards against requests whose parts are parsed in another order or not at all when they arrive in odd parts.
test.each([1, 7, 1000, 5000])('requests in parts of %i bytes on one connection are all answered in order', async (partBytes) => {
  server = await startServer((socket, head) => { socket.write(answerTo(head)) })
  instance = await startGateway(server.address)
  const caller = instance.call()
  const ids = Array.from({ length: 40 }, (_, index) => `q${index}`)
  const bytes = ids.map((id, index) => `POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ${id}\r\n${index % 2 === 0 ? 'Content-Length: 5\r\n\r\nabcde' : 'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'}`).join('')
  for (let at = 0; at < bytes.length; at += partBytes) caller.socket.write(bytes.slice(at, at + partBytes))
  await caller.until('X-Request-Id: q39')
  expect(server.received.map(requestIdOf)).toEqual(ids)
  expect(instance.callers.connectionBudget.heldBytes).toBeLessThan(50_000)
})
