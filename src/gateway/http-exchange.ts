import { Agent, type AgentOptions, type ClientRequestArgs, type IncomingMessage, request as httpRequest, type ClientRequest } from 'node:http'
import { connect, type NetConnectOpts, type Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { watchReset } from '../http/connection-reset.js'
import { mayHaveBody } from '../http/response-body.js'
import type { BufferHold } from './buffer-budget.js'
import { ByteCollector } from './byte-collector.js'
import { ChunkSizes } from './chunk-sizes.js'
import { MAX_IDLE_CONNECTIONS } from './idle-share.js'
import { ExchangeOutcome } from './exchange-outcome.js'

/** Longest wait for a new connection, in milliseconds. Connecting usually takes about 1 ms, and TCP resends a lost SYN only after 1 s. */
const CONNECT_TIMEOUT_MS = 400

/** Longest time that an idle connection is kept, in milliseconds; shorter than on most servers, so that no request is sent on a connection that the server is closing. */
const MAX_IDLE_MS = 4000

/** Time before the end of the server's advertised keep-alive timeout from which a connection is not reused, in milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 600

/** Time between the establishment of a connection and the first request on it, in milliseconds, while the server resets new connections: it does so when it has too many, as soon as it accepts them. */
const SETTLE_MS = 3

/** Time after a reset of a new connection for which further connections settle before they are used, in milliseconds. */
const EARLY_RESET_MEMORY_MS = 10_000

/** Largest request whose failed write proves that nothing was sent, in bytes: the operating system takes a request of this size at once or not at all. */
const MAX_SINGLE_WRITE_BYTES = 4096

const CONNECTION_RESET = 'ECONNRESET'

/** Largest number of interim responses (1xx) before the response; servers send a few at most. Each one costs as much as a head, so one that does not stop would keep the process busy until the head timeout. */
const MAX_INTERIM_RESPONSES = 16

export interface ExchangeRequest {
  /** IP address and port. */
  address: string
  method: string
  /** Path with its query. */
  target: string
  /** Alternating names and values. */
  headers: string[]
  body: Buffer
  /** Longest wait for the response head once connected, in milliseconds. */
  headTimeoutMs: number
  /** Opens a new connection for this request only, on which no bytes of an earlier response can arrive. */
  ownConnection: boolean
  /** Asked on an established connection, just before the request is written; if it returns false, the request is not sent. */
  maySend?: () => boolean
}

export interface ResponseHead {
  status: number
  statusText: string
  /** Keyed by lower-case name. */
  headers: Record<string, string | string[] | undefined>
  /** Alternating names and values, as received. */
  rawHeaders: string[]
  message: IncomingMessage
  /** Whether the body has neither a length nor chunks, so that it ends when the connection is closed. */
  endsWithConnection: boolean
  /** Whether another request was sent on the connection before, whose response a faulty server may have written again. */
  reusedConnection: boolean
  /** Whether the connection was reset before the response was complete. */
  wasReset: () => boolean
  /** Whether the response has been received completely; valid once the message has ended. */
  isComplete: () => boolean
}

export interface ExchangeFailure {
  outcome: ExchangeOutcome.NotSent | ExchangeOutcome.Broken | ExchangeOutcome.TimedOut
  detail: string
  /** Whether another request was sent on the connection before; false by default. */
  reusedConnection?: boolean
}

/** One request that has been sent to a server, and its response. */
export interface Exchange {
  /** Resolves to the response head, or to the failure that occurred before it; never rejects. */
  head: Promise<ResponseHead | ExchangeFailure>
  /** Aborts the request and closes its connection, which makes the server stop running it. */
  cancel: () => void
}

export function isFailure (head: ResponseHead | ExchangeFailure): head is ExchangeFailure {
  return 'outcome' in head
}

interface HttpExchangeClientOptions {
  /** Number of idle connections that this instance may keep to the server at an address. */
  maxIdle?: (address: string) => number
}

/** HTTP client with one connection pool for each server address. */
export class HttpExchangeClient {
  readonly #agents = new Map<string, IdleCheckingAgent>()
  readonly #ownConnections = new ConnectingAgent({ keepAlive: false })
  readonly #maxIdle: (address: string) => number

  constructor ({ maxIdle = () => MAX_IDLE_CONNECTIONS }: HttpExchangeClientOptions = {}) {
    this.#maxIdle = maxIdle
  }

  start (request: ExchangeRequest): Exchange {
    const { address, ownConnection } = request
    const agent = ownConnection ? this.#ownConnections : this.#agentOf(address)
    const [host, port] = address.split(':')
    const clientRequest = httpRequest({ host, port: Number(port), method: request.method, path: request.target, headers: request.headers, agent })
    const head = awaitHead(clientRequest, request, () => agent.recordEarlyReset(address))
    clientRequest.end(request.body.length > 0 ? request.body : undefined)
    return { head, cancel: () => { clientRequest.destroy() } }
  }

  /** Keeps no connections to other addresses than the given ones. Requests in flight to them still end, as a server serves on for some time after its entry has been removed. */
  retain (addresses: Set<string>): void {
    for (const [address, agent] of this.#agents) {
      if (addresses.has(address)) continue
      agent.retire()
      this.#agents.delete(address)
    }
  }

  #agentOf (address: string): IdleCheckingAgent {
    const existing = this.#agents.get(address)
    if (existing !== undefined) return existing
    const agent = new IdleCheckingAgent({ keepAlive: true, scheduling: 'lifo' }, () => this.#maxIdle(address))
    this.#agents.set(address, agent)
    return agent
  }
}

/** An agent that hands over a connection only once it is established, so that nothing is written before. */
class ConnectingAgent extends Agent {
  /** When a new connection to each address was last reset, in milliseconds. */
  readonly #earlyResetsMs = new Map<string, number>()

  /** Records that the server at an address has reset a connection on which it had answered nothing. */
  recordEarlyReset (address: string): void {
    const nowMs = performance.now()
    for (const [other, resetMs] of this.#earlyResetsMs) if (nowMs - resetMs > EARLY_RESET_MEMORY_MS) this.#earlyResetsMs.delete(other)
    this.#earlyResetsMs.set(address, nowMs)
  }

  #settleMs (address: string): number {
    const resetMs = this.#earlyResetsMs.get(address) ?? -Infinity
    return performance.now() - resetMs < EARLY_RESET_MEMORY_MS ? SETTLE_MS : 0
  }

  override createConnection (options: ClientRequestArgs, onCreated?: (error: Error | null, socket: Duplex) => void): undefined {
    const address = `${options.host}:${options.port}`
    const socket = connect(options as NetConnectOpts)
    let timer = setTimeout(() => socket.destroy(new Error('no connection in time')), CONNECT_TIMEOUT_MS)
    let ended = false
    const end = (): void => {
      ended = true
      clearTimeout(timer)
    }
    const onEnd = (error: Error): void => {
      end()
      onCreated?.(error, socket)
    }
    const handOver = (): void => {
      if (ended) return
      end()
      socket.removeListener('error', onEnd)
      if (socket.destroyed) return onCreated?.(new Error('connection closed before its first request'), socket)
      onCreated?.(null, socket)
    }
    socket.once('error', onEnd)
    socket.once('connect', () => {
      clearTimeout(timer)
      const settleMs = this.#settleMs(address)
      if (settleMs === 0) handOver()
      // After a pause of the process, timers run before a reset is read.
      else timer = setTimeout(() => setImmediate(handOver), settleMs)
    })
  }
}

/** An agent that closes an idle connection when bytes arrive on it, since they would be taken for the response to the next request. */
class IdleCheckingAgent extends ConnectingAgent {
  readonly #maxIdle: () => number
  #retired = false

  constructor (options: AgentOptions, maxIdle: () => number) {
    super(options)
    this.#maxIdle = maxIdle
  }

  /** Closes the idle connections, and each of the others when its request ends. `destroy()` would also cut the requests in flight. */
  retire (): void {
    this.#retired = true
    for (const socket of Object.values(this.freeSockets).flat()) socket?.destroy()
  }

  override keepSocketAlive (socket: Socket): boolean {
    if (this.#retired || Object.values(this.freeSockets).flat().length >= this.#maxIdle()) return false
    const maxIdleMs = maxIdleMsOf(socket)
    if (maxIdleMs <= 0) return false
    socket.setKeepAlive(true)
    socket.unref()
    socket.setTimeout(maxIdleMs)
    socket.on('data', closeOnData)
    return true
  }

  override reuseSocket (socket: Socket, request: ClientRequest): void {
    socket.removeListener('data', closeOnData)
    socket.setTimeout(0)
    super.reuseSocket(socket, request)
  }
}

function closeOnData (this: Socket): void {
  this.destroy()
}

/** Longest time that this connection may stay idle, in milliseconds, from the keep-alive timeout in the last response on it; not positive if it may not be reused. */
function maxIdleMsOf (socket: Socket): number {
  // Node.js keeps the request that uses a socket in `_httpMessage`, which is not part of its public API.
  const response = (socket as Socket & { _httpMessage?: { res?: IncomingMessage } })._httpMessage?.res
  const keepAliveS = /timeout=(\d+)/.exec(String(response?.headers['keep-alive'] ?? ''))?.[1]
  return keepAliveS === undefined ? MAX_IDLE_MS : Math.min(MAX_IDLE_MS, Number(keepAliveS) * 1000 - KEEP_ALIVE_MARGIN_MS)
}

function awaitHead (request: ClientRequest, { headTimeoutMs: timeoutMs, maySend, headers, body }: ExchangeRequest, onEarlyReset: () => void): Promise<ResponseHead | ExchangeFailure> {
  const requestBytes = body.length + headers.join('\r\n').length
  return new Promise((resolve) => {
    let connected = false
    const reset = watchReset(request)
    let timer = setTimeout(onTimeout, Math.min(CONNECT_TIMEOUT_MS, timeoutMs))
    function onTimeout (): void {
      settle({ outcome: connected ? ExchangeOutcome.TimedOut : ExchangeOutcome.NotSent, detail: connected ? 'no response head in time' : 'no connection in time' })
      request.destroy()
    }
    function settle (result: ResponseHead | ExchangeFailure): void {
      clearTimeout(timer)
      resolve(result)
    }
    function markConnected (): void {
      connected = true
      clearTimeout(timer)
      timer = setTimeout(onTimeout, timeoutMs)
    }
    limitInterimResponses(request)
    request.on('socket', () => {
      if (maySend?.() === false) {
        settle({ outcome: ExchangeOutcome.NotSent, detail: 'withheld: the server takes no requests' })
        request.destroy()
        return
      }
      markConnected()
    })
    request.on('response', (message) => settle({
      status: message.statusCode ?? 0,
      statusText: message.statusMessage ?? '',
      headers: message.headers,
      rawHeaders: message.rawHeaders,
      message,
      endsWithConnection: endsWithConnection(request.method, message),
      reusedConnection: request.reusedSocket,
      wasReset: () => reset.occurred,
      isComplete: () => message.complete && !reset.occurred
    }))
    request.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === CONNECTION_RESET && !request.reusedSocket) onEarlyReset()
      const unsent = !connected || (error.syscall === 'write' && requestBytes <= MAX_SINGLE_WRITE_BYTES)
      settle({ outcome: unsent ? ExchangeOutcome.NotSent : ExchangeOutcome.Broken, detail: error.message, reusedConnection: request.reusedSocket })
    })
    request.on('close', () => settle({ outcome: connected ? ExchangeOutcome.Broken : ExchangeOutcome.NotSent, detail: 'connection closed', reusedConnection: request.reusedSocket }))
  })
}

/** Whether the connection's end is the only mark of the end of a response's body. */
function endsWithConnection (method: string, { statusCode, headers }: IncomingMessage): boolean {
  if (!mayHaveBody(method, statusCode)) return false
  const lastCoding = headers['transfer-encoding']?.split(',').at(-1)?.trim().toLowerCase()
  return headers['content-length'] === undefined && lastCoding !== 'chunked'
}

/** Ends a request as broken when its server sends too many interim responses. */
export function limitInterimResponses (request: ClientRequest): void {
  let count = 0
  request.on('information', () => {
    count += 1
    if (count > MAX_INTERIM_RESPONSES) request.destroy(new Error(`more than ${MAX_INTERIM_RESPONSES} interim responses`))
  })
}

interface BodyOptions {
  /** Largest body, in bytes. */
  limitBytes: number
  /** Counts the bytes of the body; they stay counted once it is complete. */
  buffers: BufferHold
  /** Longest time until the end of the body, in milliseconds; without it, the body may take as long as its request. */
  timeoutMs?: number
}

/** Reads the complete response body; null if it is incomplete, exceeds a limit, has too small chunks or takes too long. Then the connection is closed. */
export function readBody ({ message, isComplete }: ResponseHead, { limitBytes, buffers, timeoutMs }: BodyOptions): Promise<ByteCollector | null> {
  return new Promise((resolve) => {
    let countedBytes = 0
    const body = new ByteCollector({
      onGrowth: (bytes) => {
        countedBytes += bytes
        return buffers.add(bytes)
      }
    })
    const fail = (): void => {
      body.clear()
      if (!buffers.evicted) buffers.add(-countedBytes)
      countedBytes = 0
      resolve(null)
    }
    if (timeoutMs !== undefined) {
      const timer = setTimeout(() => message.destroy(), timeoutMs)
      message.on('close', () => clearTimeout(timer))
    }
    const sizes = new ChunkSizes()
    const take = (chunk: Buffer): void => {
      if (sizes.accept(chunk.length) && body.length + chunk.length <= limitBytes && body.push(chunk)) return
      message.off('data', take)
      message.destroy()
    }
    message.on('data', take)
    message.on('end', () => {
      if (isComplete()) resolve(body)
      else fail()
    })
    message.on('error', fail)
    message.on('close', () => { if (!message.readableEnded) fail() })
  })
}
