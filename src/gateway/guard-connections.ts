import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Log } from '../logs/log.js'
import { CallerConnection, MAX_FIELDS } from './caller-connection.js'
import { ConnectionBudget } from './connection-budget.js'
import type { ConnectionLimits, ListenerName } from './connection-limits.js'
import { ReadScheduler } from './read-scheduler.js'

/** Prefix of the error codes of Node.js for bytes that are no request. */
const UNREADABLE_PREFIX = 'HPE_'

/** Time between checks for answers that are not read, in milliseconds. */
const UNREAD_CHECK_MS = 1000

interface GuardOptions {
  /** Name of the listener, for logs. */
  name: ListenerName
  limits: ConnectionLimits
  log: Log
  nowMs: () => number
  /** Called for each connection that is closed or not accepted for lack of room. */
  onClose?: () => void
  /** Called with the bytes of each read. */
  onRead?: (bytes: number) => void
  /** Ends the only request of a connection with an answer, which refuses it if it has not run; returns false if that is not possible, and the connection is then closed at once. */
  endRequest?: (socket: Socket) => boolean
}

/** Bounds what all connections of a server occupy together, and the processor time that each has for its bytes at once. Returns the budget, for metrics. */
export function guardConnections (server: Server, { name, limits, log, nowMs, onClose = () => {}, onRead = () => {}, endRequest = () => false }: GuardOptions): ConnectionBudget {
  const budget = new ConnectionBudget({ name, limitBytes: limits.bytes, maxConnections: limits.connections, log, nowMs, onClose })
  const scheduler = new ReadScheduler({ maxPendingBytes: limits.pendingBytes, onRead, nowMs, defer: (callback) => { setImmediate(callback) } })
  const connections = new WeakMap<Socket, CallerConnection>()
  server.maxHeadersCount = MAX_FIELDS
  const open = new Set<CallerConnection>()
  const timer = setInterval(() => { for (const connection of open) connection.closeIfUnread(limits.unreadMs) }, UNREAD_CHECK_MS).unref()
  server.once('close', () => clearInterval(timer))
  server.on('connection', (socket: Socket) => {
    // The parser of Node.js is a listener of the socket like any other; it gets the bytes from the connection's own listener instead.
    const parsers = socket.listeners('data') as Array<(chunk: Buffer) => void>
    socket.removeAllListeners('data')
    const connection = new CallerConnection({
      socket,
      budget,
      scheduler,
      endRequest,
      parse: (bytes) => { for (const parser of parsers) parser(bytes) }
    })
    if (connection.hold === null) {
      socket.destroy()
      return
    }
    connections.set(socket, connection)
    open.add(connection)
    socket.once('close', () => open.delete(connection))
  })
  server.prependListener('request', (incoming, outgoing) => connections.get(incoming.socket)?.addRequest(incoming, outgoing))
  server.prependListener('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (error.code?.startsWith(UNREADABLE_PREFIX) === true) connections.get(socket as Socket)?.stopParsing()
  })
  return budget
}
