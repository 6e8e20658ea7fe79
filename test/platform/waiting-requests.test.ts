import { afterEach, describe, expect, test } from '@jest/globals'
import { BufferBudget } from '../../src/gateway/buffer-budget.js'
import { recordingLog } from '../gateway/gateway-fixtures.js'
import { answerTo, gatewayConfiguration, type HttpGateway, requestBytes, requestIdOf, type ScriptedServer, startGateway, startServer } from './http-gateway.js'

let server: ScriptedServer | undefined
let instance: HttpGateway | undefined

afterEach(() => {
  instance?.close()
  server?.close()
})

const delay = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

const statusLines = (text: string): string[] => text.match(/HTTP\/1\.1 \d+/g) ?? []

describe('a request that waits behind another one on its connection', () => {
  // Guards against requests that run although their refusal, which says that they have not run, is already on its way.
  test('does not run once it had to give up its buffers', async () => {
    server = await startServer((socket, head) => { setTimeout(() => socket.write(answerTo(head)), 150) })
    const buffers = new BufferBudget({ limitBytes: 5000, log: recordingLog() })
    instance = await startGateway(server.address, { buffers })
    const caller = instance.call()
    caller.socket.write(requestBytes('q1', '/once/x') + requestBytes('q2', '/once/x', { method: 'POST', body: 'b'.repeat(3000) }))
    while (buffers.heldBytes < 3000) await delay(5)
    const other = instance.call()
    other.socket.write(requestBytes('q3', '/once/x', { method: 'POST', body: 'b'.repeat(2900) }))
    await other.until('ok')
    await caller.until('out-of-memory')
    await delay(200)
    expect([server.received.map(requestIdOf), statusLines(caller.text())]).toEqual([['q1', 'q3'], ['HTTP/1.1 200', 'HTTP/1.1 503']])
    expect([instance.log.lines.filter((line) => line.startsWith('request.fault')), buffers.heldBytes]).toEqual([[], 0])
  })

  // Guards against requests that run after their time, and against a 504, which does not say that they have not run.
  test.each(['/once/x', '/stream/x'])('is refused as not run if its turn comes after its deadline: %s', async (path) => {
    server = await startServer((socket, head) => { setTimeout(() => socket.write(answerTo(head)), 300) })
    instance = await startGateway(server.address)
    const caller = instance.call()
    caller.socket.write(requestBytes('q1', '/once/x') + requestBytes('q2', path, { method: 'POST', headers: 'X-Deadline-Ms: 100\r\nX-Token-Counts: 10,10\r\n', body: 'b' }) + requestBytes('q3', '/once/x'))
    await caller.until('X-Request-Id: q3')
    expect([server.received.map(requestIdOf), statusLines(caller.text())]).toEqual([['q1', 'q3'], ['HTTP/1.1 200', 'HTTP/1.1 503', 'HTTP/1.1 200']])
    expect(caller.text()).toContain('timed-out-before-run')
  })

  // Guards against bytes that are kept for requests which nobody waits for any more.
  test('gives up its buffers at its deadline', async () => {
    server = await startServer(() => {})
    const buffers = new BufferBudget({ limitBytes: 50_000, log: recordingLog() })
    instance = await startGateway(server.address, { buffers })
    const caller = instance.call()
    caller.socket.write(requestBytes('q1', '/once/x'))
    while (buffers.heldBytes === 0) await delay(5)
    const firstHeadBytes = buffers.heldBytes
    caller.socket.write(requestBytes('q2', '/once/x', { method: 'POST', headers: 'X-Deadline-Ms: 100\r\n', body: 'b'.repeat(3000) }))
    while (buffers.heldBytes < 3000) await delay(5)
    await delay(200)
    expect([buffers.heldBytes, caller.closedBy()]).toEqual([firstHeadBytes, null])
  })
})

describe('requests on one connection', () => {
  // Guards against stops that last for the whole grace period and against bytes that count for ever, because a queued response never ends.
  test('are forgotten when the connection is closed, also those that wait', async () => {
    server = await startServer(() => {})
    const buffers = new BufferBudget({ limitBytes: 50_000, log: recordingLog() })
    instance = await startGateway(server.address, { buffers })
    const caller = instance.call()
    caller.socket.write(requestBytes('q1', '/once/x') + requestBytes('q2', '/once/x', { method: 'POST', body: 'b'.repeat(3000) }) + requestBytes('q3', '/once/x', { method: 'POST', body: 'b'.repeat(3000) }).slice(0, -5))
    while (buffers.heldBytes < 5000) await delay(5)
    expect(instance.callers.unsentResponses).toBe(3)
    caller.socket.destroy()
    await delay(100)
    expect([instance.callers.unsentResponses, buffers.heldBytes, instance.gateway.inFlight]).toEqual([0, 0, 0])
  })
})

describe('a request that is refused while it is uploaded', () => {
  // Guards against uploads that stop midway and keep their connection and their bytes for ever.
  test.each([['the deadline', 'X-Deadline-Ms: 200\r\n', 200], ['the timeout of the route', '', 500]])('is refused at %s', async (_name, headers, atMs) => {
    server = await startServer(() => {})
    instance = await startGateway(server.address)
    instance.gateway.applyConfiguration(gatewayConfiguration(2, 500), 'store')
    const caller = instance.call()
    const startedMs = performance.now()
    caller.socket.write(requestBytes('q1', '/once/x', { method: 'POST', headers, body: 'bytes' }).slice(0, -2))
    expect(await caller.until('timed-out-before-run')).toMatch(/^HTTP\/1\.1 503 [^]*Connection: close/)
    expect(performance.now() - startedMs).toBeGreaterThan(atMs - 10)
    expect(performance.now() - startedMs).toBeLessThan(atMs + 200)
  })

  // Guards against refusals that a caller who reads only after it has written never gets, because its further bytes reset the connection.
  test('gets the refusal although it still sends when the refusal is written', async () => {
    server = await startServer(() => {})
    instance = await startGateway(server.address)
    const caller = instance.call()
    caller.socket.pause()
    caller.socket.write('POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: q1\r\nContent-Length: 2000000\r\n\r\n')
    for (let part = 0; part < 40; part += 1) {
      caller.socket.write(Buffer.alloc(50_000))
      await delay(10)
    }
    caller.socket.resume()
    await caller.until('no such text')
    expect([statusLines(caller.text()), caller.text().includes('body-too-large'), caller.closedBy()]).toEqual([['HTTP/1.1 413'], true, 'fin'])
  })

  // Guards against connections that are kept for callers who send without end after they have been refused.
  test('is cut if it is still sent long after the refusal', async () => {
    server = await startServer(() => {})
    instance = await startGateway(server.address)
    const caller = instance.call()
    caller.socket.write('POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n')
    const parts = setInterval(() => { if (!caller.socket.destroyed) caller.socket.write(`186a0\r\n${'a'.repeat(100_000)}\r\n`) }, 10)
    const startedMs = performance.now()
    await caller.until('no such text')
    clearInterval(parts)
    expect(statusLines(caller.text())).toEqual(['HTTP/1.1 413'])
    expect(performance.now() - startedMs).toBeLessThan(3000)
    expect(instance.callers.unsentResponses).toBe(0)
  })
})

describe('many requests on one connection', () => {
  // Guards against the memory of requests that a caller sends without end before it has read an answer.
  test('are read only as the answers before them are sent', async () => {
    server = await startServer((socket, head, requestNumber) => { setTimeout(() => socket.write(answerTo(head)), requestNumber === 1 ? 500 : 0) })
    instance = await startGateway(server.address)
    instance.gateway.applyConfiguration(gatewayConfiguration(2, 10_000), 'store')
    let arrived = 0
    instance.callers.on('request', () => { arrived += 1 })
    const caller = instance.call()
    caller.socket.write(Array.from({ length: 1000 }, (_, index) => requestBytes(`q${index}`, '/once/x', { headers: `X-Pad: ${'a'.repeat(200)}\r\n` })).join(''))
    await delay(400)
    expect(arrived).toBeLessThan(500)
    await caller.until('X-Request-Id: q999')
    await delay(50)
    expect([statusLines(caller.text()).filter((line) => line.endsWith('200')).length, instance.callers.unsentResponses]).toEqual([1000, 0])
  }, 15_000)
})
