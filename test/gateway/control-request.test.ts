import { afterEach, describe, expect, test } from '@jest/globals'
import { once } from 'node:events'
import { Agent, createServer, type RequestListener, type Server } from 'node:http'
import { type AddressInfo, createServer as createTcpServer, type Server as TcpServer, type Socket } from 'node:net'
import { BufferBudget } from '../../src/gateway/buffer-budget.js'
import { type ControlRequest, type ControlResponse, sendControlRequest } from '../../src/gateway/control-request.js'
import { recordingLog, unboundedBuffers } from './gateway-fixtures.js'

/** Sends a request whose response may have 1 MB unless stated. */
function send (request: Omit<ControlRequest, 'buffers' | 'maxBytes'>, maxBytes = 1024 * 1024, buffers = unboundedBuffers()): Promise<ControlResponse> {
  return sendControlRequest({ ...request, maxBytes, buffers: buffers.hold('server') })
}

let server: Server | undefined
let rawServer: TcpServer | undefined

afterEach(() => {
  server?.closeAllConnections()
  server?.close()
  rawServer?.close()
})

async function serve (listener: RequestListener): Promise<string> {
  server = createServer(listener)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** Serves connections on which the handler answers with raw bytes. */
async function serveBytes (handle: (socket: Socket) => void): Promise<string> {
  rawServer = createTcpServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => handle(socket))
  })
  rawServer.listen(0, '127.0.0.1')
  await once(rawServer, 'listening')
  return `127.0.0.1:${(rawServer.address() as AddressInfo).port}`
}

describe('sendControlRequest', () => {
  test('sends JSON and returns any status with the complete body', async () => {
    const received: string[] = []
    const address = await serve((request, response) => {
      request.on('data', (chunk: Buffer) => received.push(`${request.method} ${request.url} ${request.headers['content-type']} ${chunk.toString()}`))
      request.on('end', () => response.writeHead(412).end('{"items":[]}'))
    })
    const { status, bytes } = await send({ address, method: 'POST', target: '/v1/kv-txn', body: { a: 1 }, timeoutMs: 1000 })
    expect([status, bytes.toString(), ...received]).toEqual([412, '{"items":[]}', 'POST /v1/kv-txn application/json {"a":1}'])
  })

  test('rejects when a response stalls midway, which would otherwise block the store watcher', async () => {
    const address = await serve((_request, response) => { response.writeHead(200, { 'Content-Length': 10 }).write('half') })
    await expect(send({ address, method: 'GET', target: '/', timeoutMs: 100 })).rejects.toThrow('no complete response within 100 ms')
  })

  test('says how much of a response had arrived at the timeout', async () => {
    const address = await serve((_request, response) => { response.writeHead(200, { 'Content-Length': 10 }).write('half') })
    await expect(send({ address, method: 'GET', target: '/', timeoutMs: 100 })).rejects.toThrow(/4 bytes received, head after \d+ ms/)
  })

  // Guards against a large response over a slow link that is given up midway and requested again from its start.
  test('completes a response whose transfer takes longer than the timeout if it makes progress', async () => {
    const address = await serve((_request, response) => {
      let parts = 0
      const timer = setInterval(() => {
        parts += 1
        if (parts <= 6) response.write('part')
        else response.end()
        if (parts > 6) clearInterval(timer)
      }, 50)
    })
    const { bytes } = await send({ address, method: 'GET', target: '/', timeoutMs: 150, transferLimits: { stallTimeoutMs: 150, totalTimeoutMs: 2000 } })
    expect(bytes.toString()).toBe('part'.repeat(6))
  })

  test('rejects a response that stalls, or that does not end in time', async () => {
    const stalling = await serve((_request, response) => { response.writeHead(200, { 'Content-Length': 10 }).write('half') })
    await expect(send({ address: stalling, method: 'GET', target: '/', timeoutMs: 1000, transferLimits: { stallTimeoutMs: 100, totalTimeoutMs: 2000 } })).rejects.toThrow('no progress for 100 ms: 4 bytes received')
    server?.close()
    const endless = await serve((_request, response) => {
      const timer = setInterval(() => response.write('part'), 20)
      response.on('close', () => clearInterval(timer))
    })
    await expect(send({ address: endless, method: 'GET', target: '/', timeoutMs: 1000, transferLimits: { stallTimeoutMs: 100, totalTimeoutMs: 300 } })).rejects.toThrow('no complete response within 300 ms')
  })

  // Guards against an instance that runs out of memory because a faulty runner sends a report without end.
  test.each([
    ['a body', 'HTTP/1.1 200 OK\r\n\r\n'],
    ['a head', 'HTTP/1.1 200 OK\r\n']
  ])('rejects %s without end and closes its connection', async (_name, start) => {
    let sentBytes = 0
    const closed = new Promise<void>((resolve) => {
      rawServer = createTcpServer((socket) => {
        socket.on('error', () => {})
        socket.on('close', () => resolve())
        socket.write(start)
        const line = `X-Filler: ${'a'.repeat(8000)}\r\n`
        const timer = setInterval(() => {
          for (let count = 0; count < 20 && !socket.destroyed; count += 1) sentBytes += socket.write(line) ? line.length : 0
        }, 1)
        socket.on('close', () => clearInterval(timer))
      })
    })
    rawServer?.listen(0, '127.0.0.1')
    await once(rawServer as TcpServer, 'listening')
    const address = `127.0.0.1:${(rawServer?.address() as AddressInfo).port}`
    await expect(send({ address, method: 'GET', target: '/', timeoutMs: 5000 }, 100_000)).rejects.toThrow()
    await closed
    expect(sentBytes).toBeLessThan(20 * 1024 * 1024)
  })

  // Guards against a server that keeps the process busy until the timeout with interim responses without end.
  test('rejects after a small number of interim responses', async () => {
    const address = await serve((_request, response) => {
      const timer = setInterval(() => response.writeEarlyHints({ link: '</a>' }), 1)
      response.on('close', () => clearInterval(timer))
    })
    await expect(send({ address, method: 'GET', target: '/', timeoutMs: 1000 })).rejects.toThrow('more than 16 interim responses')
  })

  // Guards against a server whose chunks of one byte keep the process busy for seconds.
  test('rejects a long response in chunks of a few bytes', async () => {
    const address = await serve((_request, response) => {
      for (let count = 0; count < 20_000; count += 1) response.write('a')
      response.end()
    })
    await expect(send({ address, method: 'GET', target: '/', timeoutMs: 2000 })).rejects.toThrow('chunks too small')
  })

  // Guards against an instance that runs out of memory because answers of the store, of peers and of runners are not counted.
  test('counts a response until its hold is released, and rejects one for which there is no memory', async () => {
    const address = await serve((request, response) => { response.end(Buffer.alloc(Number(request.url?.slice(1)))) })
    const budget = new BufferBudget({ limitBytes: 1_000_000, log: recordingLog() })
    const hold = budget.hold('store')
    await sendControlRequest({ address, method: 'GET', target: '/300000', timeoutMs: 1000, maxBytes: 2_000_000, buffers: hold })
    expect(budget.heldBytes).toBeGreaterThanOrEqual(300_000)
    hold.release()
    await expect(send({ address, method: 'GET', target: '/1500000', timeoutMs: 1000 }, 2_000_000, budget)).rejects.toThrow('no memory for the response')
    expect(budget.heldBytes).toBe(0)
  })

  test('rejects when the response is cut off', async () => {
    const address = await serve((_request, response) => {
      response.writeHead(200, { 'Content-Length': 10 }).write('half')
      setTimeout(() => response.destroy(), 10)
    })
    await expect(send({ address, method: 'GET', target: '/', timeoutMs: 1000 })).rejects.toThrow()
  })

  // Guards against half of a listing or report that is taken for a whole one because its connection was reset.
  test.each([0, 50])('rejects a response without a length whose connection is reset %d ms behind it', async (pauseMs) => {
    const address = await serveBytes((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n{"items":[]}')
      if (pauseMs === 0) socket.resetAndDestroy()
      else setTimeout(() => socket.resetAndDestroy(), pauseMs)
    })
    await expect(send({ address, method: 'GET', target: '/', timeoutMs: 1000 })).rejects.toThrow(/reset|ECONNRESET|aborted/)
  })

  test('takes a response without a length whose connection is closed behind it', async () => {
    const address = await serveBytes((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\n{"items":[]}'))
    expect((await send({ address, method: 'GET', target: '/', timeoutMs: 1000 })).bytes.toString()).toBe('{"items":[]}')
  })

  test('reuses the connections of an agent', async () => {
    const ports = new Set<number | undefined>()
    const address = await serve((request, response) => {
      ports.add(request.socket.remotePort)
      response.end('ok')
    })
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    for (let request = 0; request < 3; request += 1) await send({ address, method: 'GET', target: '/', timeoutMs: 1000, agent })
    agent.destroy()
    expect(ports.size).toBe(1)
  })
})
