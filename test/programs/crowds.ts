import { connect, type Socket } from 'node:net'
import { PORTS } from '../../src/soak/soak-fleet.js'
import { BODY_BYTES } from './limited-gateway.js'

/** A listener and a path of it. */
export interface Door {
  port: number
  path: string
}

export const doors: Record<string, Door> = {
  route: { port: PORTS.callers, path: '/orders/sound' },
  'no route': { port: PORTS.callers, path: '/nowhere/x' },
  readiness: { port: PORTS.readiness, path: '/v1/readiness' },
  directory: { port: PORTS.directory, path: '/v1/resolution?Zone=a' }
}

/** Clients that all do the same. */
interface Crowd {
  connections: number
  /** Called once for each connection. */
  begin: (socket: Socket, path: string) => void
}

const PIECE_BYTES = 100

/** Time between two pieces of a client that sends in pieces, in milliseconds. */
const PIECE_PERIOD_MS = 20

const LARGE_HEAD_BYTES = 60_000

const startOf = (path: string, fields: string): string => `POST ${path} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: c\r\nX-Deadline-Ms: 3000\r\n${fields}`
const withLength = (path: string, bytes: number): string => startOf(path, `Content-Length: ${bytes}\r\n\r\n`)
const chunked = (path: string): string => startOf(path, 'Transfer-Encoding: chunked\r\n\r\n')

/** Most bodies lack their last byte; the others are complete. */
let bodies = 0
const bodyLength = (length: number): number => (bodies++) % 10 === 0 ? length : length - 1

function repeat (socket: Socket, bytes: Buffer | string, periodMs: number): void {
  const timer = setInterval(() => { socket.write(bytes) }, periodMs)
  socket.on('close', () => clearInterval(timer))
}

function endless (socket: Socket, bytes: Buffer): void {
  const pump = (): void => {
    while (!socket.destroyed && socket.write(bytes));
  }
  socket.on('drain', pump)
  pump()
}

export const crowds: Record<string, Crowd> = {
  'bodies in one piece': {
    connections: 300,
    begin: (socket, path) => {
      socket.write(withLength(path, BODY_BYTES))
      socket.write(Buffer.alloc(bodyLength(BODY_BYTES)))
    }
  },
  'bodies in small pieces': {
    connections: 200,
    begin: (socket, path) => {
      socket.write(withLength(path, BODY_BYTES))
      repeat(socket, Buffer.alloc(PIECE_BYTES), PIECE_PERIOD_MS)
    }
  },
  'bodies in small chunks': {
    connections: 300,
    begin: (socket, path) => {
      socket.write(chunked(path))
      socket.write(`64\r\n${'a'.repeat(PIECE_BYTES)}\r\n`.repeat(BODY_BYTES / PIECE_BYTES / 2))
    }
  },
  'bodies far over the limit': {
    connections: 60,
    begin: (socket, path) => {
      socket.write(withLength(path, 1000 * BODY_BYTES))
      endless(socket, Buffer.alloc(BODY_BYTES / 4))
    }
  },
  'chunked bodies far over the limit': {
    connections: 60,
    begin: (socket, path) => {
      socket.write(chunked(path))
      endless(socket, Buffer.from(`64\r\n${'a'.repeat(PIECE_BYTES)}\r\n`.repeat(1000)))
    }
  },
  'heads of many short fields': {
    connections: 1500,
    begin: (socket, path) => { socket.write(startOf(path, `${'a:b\r\n'.repeat(3000)}Content-Length: 2\r\n\r\na`)) }
  },
  'requests sent ahead': {
    connections: 30,
    begin: (socket, path) => {
      socket.pause()
      socket.write(withLength(path, 0).repeat(3000))
    }
  },
  'senders that crawl': {
    connections: 500,
    begin: (socket, path) => {
      socket.write(startOf(path, ''))
      repeat(socket, 'a', PIECE_PERIOD_MS)
    }
  },
  'readers that stop half-way': {
    connections: 300,
    begin: (socket, path) => {
      socket.write(withLength(path.replace('sound', 'big'), 0).repeat(3))
      socket.once('data', () => socket.pause())
    }
  },
  'heads without an end': {
    connections: 900,
    begin: (socket, path) => { socket.write(startOf(path, `X-Large: ${'a'.repeat(LARGE_HEAD_BYTES)}`)) }
  },
  'trailers without an end': {
    connections: 900,
    begin: (socket, path) => { socket.write(`${chunked(path)}0\r\n${'a:b\r\n'.repeat(LARGE_HEAD_BYTES / 10)}`) }
  },
  'silent connections': { connections: 1500, begin: () => {} }
}

/** Lets a crowd come to a door of the gateway at this address; returns its connections. */
export function sendCrowd ({ connections, begin }: Crowd, host: string, { port, path }: Door): Socket[] {
  return Array.from({ length: connections }, () => {
    const socket = connect(port, host)
    socket.on('error', () => {})
    socket.resume()
    begin(socket, path)
    return socket
  })
}
