import { afterEach, describe, expect, test } from '@jest/globals'
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import { ExchangeOutcome } from '../../src/gateway/exchange-outcome.js'
import { HttpExchangeClient, isFailure, readBody } from '../../src/gateway/http-exchange.js'
import { unboundedBuffers } from './gateway-fixtures.js'

const LIMIT_BYTES = 1024

type Head = Awaited<ReturnType<HttpExchangeClient['start']>['head']>

let server: Server | undefined

afterEach(() => { server?.close() })

/** Starts a server that handles its n-th request with the n-th handler, and returns its address. */
async function serve (...handlers: Array<(socket: Socket) => void>): Promise<string> {
  let nextIndex = 0
  server = createServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', () => handlers[nextIndex++]?.(socket))
  })
  await new Promise<void>((resolve) => server?.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

async function get (client: HttpExchangeClient, address: string, ownConnection = false): Promise<Head> {
  const exchange = client.start({ address, method: 'GET', target: '/', headers: ['Host', 'h'], body: Buffer.alloc(0), headTimeoutMs: 500, ownConnection })
  return await exchange.head
}

async function until (condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 200 && !condition(); tries += 1) await new Promise((resolve) => setTimeout(resolve, 5))
  expect(condition()).toBe(true)
}

async function bodyOf (head: Head, limitBytes = LIMIT_BYTES): Promise<string | null> {
  if (isFailure(head)) throw new Error(head.detail)
  return (await readBody(head, { limitBytes, buffers: unboundedBuffers().hold('server') }))?.bytes().toString() ?? null
}

describe('HttpExchangeClient', () => {
  test('treats a response without a length as complete when its connection is closed', async () => {
    const address = await serve((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'))
    expect(await bodyOf(await get(new HttpExchangeClient(), address))).toBe('whole')
  })

  test('treats a response without a length as incomplete when its connection is reset', async () => {
    const address = await serve((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhal')
      setTimeout(() => socket.resetAndDestroy(), 30)
    })
    expect(await bodyOf(await get(new HttpExchangeClient(), address))).toBeNull()
  })

  // Guards against half of a response that looks complete because the reset of its connection arrives together with its last bytes.
  test.each([
    ['all of it', (socket: Socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhal')
      socket.resetAndDestroy()
    }],
    ['the last bytes', (socket: Socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhead')
      setTimeout(() => {
        socket.write('hal')
        socket.resetAndDestroy()
      }, 30)
    }],
    ['the last bytes, with a transfer coding that is not chunked', (socket: Socket) => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nhal')
      socket.resetAndDestroy()
    }]
  ])('treats a response without a length as incomplete when its connection is reset right behind %s', async (_name, respond) => {
    const head = await get(new HttpExchangeClient(), await serve(respond))
    expect(await bodyOf(head)).toBeNull()
    expect(head).toMatchObject({ endsWithConnection: true })
    expect(!isFailure(head) && head.wasReset()).toBe(true)
  })

  // Guards against a reset that goes unnoticed because its connection has carried other responses before.
  test('treats a response without a length as incomplete when its kept connection is reset right behind it', async () => {
    const address = await serve(
      (socket) => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'),
      (socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nhal')
        socket.resetAndDestroy()
      }
    )
    const client = new HttpExchangeClient()
    expect(await bodyOf(await get(client, address))).toBe('whole')
    const head = await get(client, address)
    expect(head).toMatchObject({ reusedConnection: true })
    expect(await bodyOf(head)).toBeNull()
  })

  // Guards against whole responses that are given up: the end of a connection may also arrive together with the last bytes, on a busy process after them.
  test.each([
    ['at once', 0, 'whole'],
    ['30 ms later', 30, 'whole'],
    ['behind a large body', 0, 'a'.repeat(500_000)]
  ])('treats a response without a length as complete when its connection is closed %s, also on a busy process', async (_name, pauseMs, body) => {
    const address = await serve((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`)
      setTimeout(() => socket.end(), pauseMs)
    })
    const head = await get(new HttpExchangeClient(), address)
    const endMs = performance.now() + 60
    while (performance.now() < endMs);
    expect(await bodyOf(head, body.length)).toBe(body)
    expect(!isFailure(head) && head.wasReset()).toBe(false)
  })

  // Guards against whole responses that are given up because their connection is reset behind them.
  test.each([
    ['a length', 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole', 'whole'],
    ['chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n', 'whole'],
    ['no body', 'HTTP/1.1 204 No Content\r\n\r\n', '']
  ])('treats a response with %s as complete when its connection is reset behind it', async (_name, bytes, body) => {
    const address = await serve((socket) => {
      socket.write(bytes)
      socket.resetAndDestroy()
    })
    const head = await get(new HttpExchangeClient(), address)
    expect(await bodyOf(head)).toBe(body)
    expect(head).toMatchObject({ endsWithConnection: false })
  })

  // Guards against requests to servers that leave while the connection is established.
  test('asks once the connection is established whether the request may still be written, on new and on kept connections', async () => {
    let received = 0
    const address = await serve(...Array.from({ length: 3 }, () => (socket: Socket) => {
      received += 1
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
    }))
    const client = new HttpExchangeClient()
    const withheld = async (ownConnection: boolean): Promise<Head> => {
      const exchange = client.start({ address, method: 'GET', target: '/', headers: ['Host', 'h'], body: Buffer.alloc(0), headTimeoutMs: 500, ownConnection, maySend: () => false })
      return await exchange.head
    }
    expect(await withheld(true)).toMatchObject({ outcome: ExchangeOutcome.NotSent })
    expect(await withheld(false)).toMatchObject({ outcome: ExchangeOutcome.NotSent })
    expect(received).toBe(0)
    expect(await bodyOf(await get(client, address))).toBe('ok')
    expect(await withheld(false)).toMatchObject({ outcome: ExchangeOutcome.NotSent })
    await new Promise((resolve) => setTimeout(resolve, 50))
    expect(received).toBe(1)
  })

  // Guards against a server whose chunks of one byte keep the process busy for seconds.
  test('gives up a long body in chunks of a few bytes, and takes a short one and one of small chunks', async () => {
    const send = (chunk: string, count: number) => (socket: Socket): void => {
      socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${`${chunk.length.toString(16)}\r\n${chunk}\r\n`.repeat(count)}0\r\n\r\n`)
    }
    const address = await serve(send('a', 4000), send('a', 20_000), send('a'.repeat(32), 20_000))
    const lengths: Array<number | null> = []
    for (let count = 0; count < 3; count += 1) {
      const head = await get(new HttpExchangeClient(), address)
      if (isFailure(head)) throw new Error(head.detail)
      lengths.push((await readBody(head, { limitBytes: 1024 * 1024, buffers: unboundedBuffers().hold('server') }))?.length ?? null)
    }
    expect(lengths).toEqual([4000, null, 640_000])
  })

  // Guards against a server that keeps the process busy until the head timeout with interim responses without end.
  test('ends an exchange as broken after a small number of interim responses', async () => {
    const interim = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
    const address = await serve(
      (socket) => socket.write(`${interim.repeat(5)}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok`),
      (socket) => {
        const timer = setInterval(() => socket.write(interim), 1)
        socket.on('close', () => clearInterval(timer))
      })
    expect(await bodyOf(await get(new HttpExchangeClient(), address))).toBe('ok')
    expect(await get(new HttpExchangeClient(), address)).toMatchObject({ outcome: ExchangeOutcome.Broken, detail: 'more than 16 interim responses' })
  })

  test('treats a body that is shorter than its stated length as incomplete', async () => {
    const address = await serve((socket) => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'))
    expect(await bodyOf(await get(new HttpExchangeClient(), address))).toBeNull()
  })

  test('closes an idle connection on which bytes arrive, so that they are not taken for the response to the next request', async () => {
    const address = await serve(
      (socket) => {
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none')
        setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray'), 30)
      },
      (socket) => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo')
    )
    const client = new HttpExchangeClient()
    expect(await bodyOf(await get(client, address))).toBe('one')
    await new Promise((resolve) => setTimeout(resolve, 80))
    expect(await bodyOf(await get(client, address))).toBe('two')
    client.retain(new Set())
  })

  // Guards against requests that are cut, though their server still answers them, when its entry disappears before the drain time is over.
  test('lets the requests in flight to an address that is dropped end, and closes its connections then', async () => {
    const open = new Set<Socket>()
    const responses: Array<() => void> = []
    const respondLater = (socket: Socket): void => {
      open.add(socket)
      socket.on('close', () => open.delete(socket))
      responses.push(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate'))
    }
    const address = await serve(respondLater, respondLater)
    const client = new HttpExchangeClient()
    const idle = get(client, address)
    const busy = get(client, address)
    await until(() => responses.length === 2)
    responses[0]?.()
    expect(await bodyOf(await idle)).toBe('late')
    expect(open.size).toBe(2)
    client.retain(new Set())
    await until(() => open.size === 1)
    responses[1]?.()
    expect(await bodyOf(await busy)).toBe('late')
    await until(() => open.size === 0)
  })

  // Guards against requests that are sent on the connections of a server whose address another server uses again.
  test('opens new connections to an address that was dropped and is used again, while the old requests end', async () => {
    const sockets: Socket[] = []
    let respond = (): void => {}
    const address = await serve(
      (socket) => {
        sockets.push(socket)
        respond = () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold')
      },
      ...Array.from({ length: 2 }, () => (socket: Socket) => {
        sockets.push(socket)
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew')
      }))
    const client = new HttpExchangeClient()
    const old = get(client, address)
    await until(() => sockets.length === 1)
    client.retain(new Set())
    client.retain(new Set([address]))
    expect(await bodyOf(await get(client, address))).toBe('new')
    respond()
    expect(await bodyOf(await old)).toBe('old')
    expect(await bodyOf(await get(client, address))).toBe('new')
    expect(sockets[1]).not.toBe(sockets[0])
    expect(sockets[2]).toBe(sockets[1])
    client.retain(new Set())
  })

  test('reports a refused connection as not sent and a reset one as broken', async () => {
    const address = await serve((socket) => socket.resetAndDestroy())
    expect(await get(new HttpExchangeClient(), address)).toMatchObject({ outcome: ExchangeOutcome.Broken })
    await new Promise<void>((resolve) => server?.close(() => resolve()))
    expect(await get(new HttpExchangeClient(), address)).toMatchObject({ outcome: ExchangeOutcome.NotSent })
  })

  test('reports a missing response as timed out', async () => {
    const address = await serve(() => {})
    expect(await get(new HttpExchangeClient(), address, true)).toMatchObject({ outcome: ExchangeOutcome.TimedOut })
  })

  // Guards against requests that may not be repeated although they never reached the server, which resets connections over its limit.
  test('sends nothing on a new connection that is reset at once, after the server has done so before', async () => {
    let received = 0
    server = createServer((socket) => {
      socket.on('data', () => { received += 1 })
      socket.on('error', () => {})
      socket.resetAndDestroy()
    })
    await new Promise<void>((resolve) => server?.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const client = new HttpExchangeClient()
    await get(client, address)
    for (let tries = 0; tries < 5; tries += 1) expect(await get(client, address)).toMatchObject({ outcome: ExchangeOutcome.NotSent })
    expect(received).toBe(0)
  })

  // Guards against idle connections that take up the limit of a server, which resets further ones together with the requests on them.
  test('keeps no more idle connections to a server than its share', async () => {
    const open = new Set<Socket>()
    const respondLater = (socket: Socket): void => {
      open.add(socket)
      socket.on('close', () => open.delete(socket))
      setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate'), 50)
    }
    const address = await serve(respondLater, respondLater, respondLater)
    const client = new HttpExchangeClient({ maxIdle: () => 1 })
    const heads = await Promise.all([get(client, address), get(client, address), get(client, address)])
    expect(open.size).toBe(3)
    await Promise.all(heads.map((head) => bodyOf(head)))
    await until(() => open.size === 1)
    client.retain(new Set())
  })
})
