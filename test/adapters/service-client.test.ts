import { createServer, type Server, type Socket } from 'node:net'
import { afterEach, expect, test } from '@jest/globals'
import { sendToService } from '../../src/adapters/service-client.js'

const servers: Server[] = []
const sockets: Socket[] = []

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy()
  for (const server of servers.splice(0)) server.close()
})

async function serve (onData: (socket: Socket) => void): Promise<string> {
  const server = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => undefined)
    socket.once('data', () => onData(socket))
  })
  servers.push(server)
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return `127.0.0.1:${(server.address() as { port: number }).port}`
}

function send (address: string, timeoutMs = 5000): ReturnType<typeof sendToService> {
  return sendToService({ address, payload: { method: 'POST', url: '/orders', contentType: 'application/json', body: Buffer.from('{}') }, key: 'k', timeoutMs })
}

test('a call whose connection is refused counts as not sent', async () => {
  const address = await serve(() => undefined)
  await new Promise<void>((resolve) => { servers.pop()!.close(() => resolve()) })
  expect((await send(address)).val).toMatchObject({ sent: false })
})

test.each([
  ['closes the connection before its response', (socket: Socket) => { socket.destroy() }],
  ['closes the connection in the middle of its response', (socket: Socket) => { socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{') }]
])('a call to a server that %s counts as sent', async (_name, act) => {
  expect((await send(await serve(act))).val).toMatchObject({ sent: true })
})

// Guards against half an answer that is stored under its key and replayed as the whole one, because its connection was reset.
test.each([0, 50])('a call whose answer without a length is reset %d ms behind its last bytes counts as sent and not answered', async (pauseMs) => {
  const address = await serve((socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\n{"half":')
    if (pauseMs === 0) socket.resetAndDestroy()
    else setTimeout(() => socket.resetAndDestroy(), pauseMs)
  })
  expect((await send(address)).val).toMatchObject({ sent: true })
})

test('an answer without a length whose connection is closed is whole', async () => {
  const result = await send(await serve((socket) => { socket.end('HTTP/1.1 201 Created\r\ncontent-type: text/plain\r\n\r\nwhole') }))
  expect(result.val).toMatchObject({ status: 201, contentType: 'text/plain', body: Buffer.from('whole') })
})

test('a server that sends its response one byte at a time is cut off at the time limit, and the call counts as sent', async () => {
  const address = await serve((socket) => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n')
    const timer = setInterval(() => { socket.write('x') }, 20)
    socket.on('close', () => clearInterval(timer))
  })
  expect((await send(address, 200)).val).toMatchObject({ sent: true })
})
