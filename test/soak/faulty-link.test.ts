import { afterEach, describe, expect, test } from '@jest/globals'
import { once } from 'node:events'
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { FaultyLink, LinkState } from '../../src/soak/faulty-link.js'

const servers: Server[] = []
const sockets: Socket[] = []

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy()
  for (const server of servers.splice(0)) server.close()
})

async function listen (server: Server): Promise<number> {
  servers.push(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return (server.address() as AddressInfo).port
}

/** What comes back for `ping` through a link in the state, within a short time. */
async function echo (state: LinkState): Promise<string> {
  const port = await listen(createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', (bytes) => socket.write(bytes))
  }))
  const link = new FaultyLink({ host: '127.0.0.1', port })
  const near = connect(await listen(link.server), '127.0.0.1')
  sockets.push(near)
  link.enter(state)
  let text = ''
  near.on('data', (bytes) => { text += String(bytes) })
  near.on('error', (error) => { text = (error as NodeJS.ErrnoException).code ?? 'error' })
  near.write('ping')
  await new Promise((resolve) => setTimeout(resolve, 150))
  return text
}

describe('FaultyLink', () => {
  test.each([
    [LinkState.Sound, 'ping'],
    [LinkState.CutForward, ''],
    [LinkState.CutBack, ''],
    [LinkState.Silent, ''],
    [LinkState.Delayed, ''],
    [LinkState.Reset, 'ECONNRESET']
  ])('%s', async (state, expected) => {
    expect(await echo(state)).toBe(expected)
  })
})
