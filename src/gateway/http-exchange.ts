import { Agent, type IncomingMessage, request as httpRequest, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import { ExchangeOutcome } from './exchange-outcome.js'

/** A new connection that takes longer is given up: it takes about a millisecond on a sound link, and a lost opening packet is sent again only after a second. */
const CONNECT_TIMEOUT_MS = 400

/** Idle connections are closed after this time, in milliseconds: before most servers close them, so that no request meets a closing connection. */
const MAX_IDLE_MS = 4000

/** A connection is not reused in the last part of the time that the server keeps it. */
const IDLE_MARGIN_MS = 600

/** Idle connections kept to one server. */
const MAX_IDLE_CONNECTIONS = 4

export interface ExchangeRequest {
  /** IP number and port. */
  address: string
  method: string
  /** Path with its query. */
  target: string
  /** Names and values in turn. */
  headers: string[]
  body: Buffer
  /** Longest wait for the head of the answer, in milliseconds. */
  headTimeoutMs: number
  /** Opens a connection for this request alone, which no earlier answer can have spoiled. */
  ownConnection: boolean
}

export interface ResponseHead {
  status: number
  statusText: string
  /** Lower-case names. */
  headers: Record<string, string | string[] | undefined>
  /** Names and values in turn, as received. */
  rawHeaders: string[]
  message: IncomingMessage
  /** Whether the answer states where its body ends; without that it ends with its connection, also when the server died on the way. */
  framed: boolean
  /** Whether the answer has arrived whole; to be asked at the end of the message. */
  isComplete: () => boolean
}

export interface ExchangeFailure {
  outcome: ExchangeOutcome.NotSent | ExchangeOutcome.Broken | ExchangeOutcome.TimedOut
  detail: string
}

/** One request under way at a server. */
export interface Exchange {
  /** Settles once: with the head of the answer, or with what went wrong before it. */
  head: Promise<ResponseHead | ExchangeFailure>
  /** Gives the request up and closes its connection, which makes the server stop. */
  cancel: () => void
}

export function isFailure (head: ResponseHead | ExchangeFailure): head is ExchangeFailure {
  return 'outcome' in head
}

/** Connections to servers, kept by address. */
export class HttpExchanges {
  readonly #agents = new Map<string, Agent>()

  start (request: ExchangeRequest): Exchange {
    const [host, port] = request.address.split(':')
    const clientRequest = httpRequest({
      host,
      port: Number(port),
      method: request.method,
      path: request.target,
      headers: request.headers,
      agent: request.ownConnection ? false : this.#agent(request.address)
    })
    const head = headOf(clientRequest, request.headTimeoutMs)
    clientRequest.end(request.body.length > 0 ? request.body : undefined)
    return { head, cancel: () => { clientRequest.destroy() } }
  }

  /** Closes the connections to addresses that no server has any more. */
  retain (addresses: Set<string>): void {
    for (const [address, agent] of this.#agents) {
      if (addresses.has(address)) continue
      agent.destroy()
      this.#agents.delete(address)
    }
  }

  #agent (address: string): Agent {
    const known = this.#agents.get(address)
    if (known !== undefined) return known
    const agent = new CheckedAgent({ keepAlive: true, maxFreeSockets: MAX_IDLE_CONNECTIONS, scheduling: 'lifo' })
    this.#agents.set(address, agent)
    return agent
  }
}

/** Closes an idle connection on which a server sends bytes that belong to no request. */
class CheckedAgent extends Agent {
  override keepSocketAlive (socket: Socket): boolean {
    const idleMs = idleLimitMs(socket)
    if (idleMs <= 0) return false
    socket.setKeepAlive(true)
    socket.unref()
    socket.setTimeout(idleMs)
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

function idleLimitMs (socket: Socket): number {
  const answer = (socket as Socket & { _httpMessage?: { res?: IncomingMessage } })._httpMessage?.res
  const promised = /timeout=(\d+)/.exec(String(answer?.headers['keep-alive'] ?? ''))?.[1]
  return promised === undefined ? MAX_IDLE_MS : Math.min(MAX_IDLE_MS, Number(promised) * 1000 - IDLE_MARGIN_MS)
}

function headOf (request: ClientRequest, timeoutMs: number): Promise<ResponseHead | ExchangeFailure> {
  return new Promise((resolve) => {
    let connected = false
    let reset = false
    let timer = setTimeout(giveUp, Math.min(CONNECT_TIMEOUT_MS, timeoutMs))
    function giveUp (): void {
      settle({ outcome: connected ? ExchangeOutcome.TimedOut : ExchangeOutcome.NotSent, detail: connected ? 'no answer in time' : 'no connection in time' })
      request.destroy()
    }
    function settle (result: ResponseHead | ExchangeFailure): void {
      clearTimeout(timer)
      resolve(result)
    }
    function markConnected (): void {
      connected = true
      clearTimeout(timer)
      timer = setTimeout(giveUp, timeoutMs)
    }
    function markReset (): void {
      reset = true
    }
    request.on('socket', (socket) => {
      // Node takes an answer without a length as complete also when its connection is reset.
      socket.on('error', markReset)
      request.on('close', () => socket.removeListener('error', markReset))
      if (socket.connecting) socket.once('connect', markConnected)
      else markConnected()
    })
    request.on('response', (message) => settle({
      status: message.statusCode ?? 0,
      statusText: message.statusMessage ?? '',
      headers: message.headers,
      rawHeaders: message.rawHeaders,
      message,
      framed: message.headers['content-length'] !== undefined || message.headers['transfer-encoding'] !== undefined,
      isComplete: () => message.complete && !reset
    }))
    request.on('error', (error) => settle({ outcome: connected ? ExchangeOutcome.Broken : ExchangeOutcome.NotSent, detail: error.message }))
    request.on('close', () => settle({ outcome: connected ? ExchangeOutcome.Broken : ExchangeOutcome.NotSent, detail: 'connection closed' }))
  })
}

/** Reads a whole answer; null if it breaks off or exceeds the limit. */
export function readWhole ({ message, isComplete }: ResponseHead, limitBytes: number): Promise<Buffer | null> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let size = 0
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > limitBytes) message.destroy()
      else chunks.push(chunk)
    })
    message.on('end', () => resolve(isComplete() ? Buffer.concat(chunks) : null))
    message.on('error', () => resolve(null))
    message.on('close', () => resolve(null))
  })
}
