import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

export enum RunnerStage {
  Plain = 'plain',
  Prefill = 'prefill',
  Decode = 'decode'
}

/** Events of one stream, and the time between them in milliseconds. */
export const STREAM_EVENTS = 12
const EVENT_MS = 25

/** Time of a plain request, in milliseconds. */
const WORK_MS = 15

interface PlatformRunnerOptions {
  id: string
  stage: RunnerStage
  /** Told of each request that begins to run here, with the organisation that the gateway names and the key if it was passed on. */
  onRun: (requestId: string, caller: { organisation: string | undefined, key: string | undefined }) => void
  /** Told of each request that ran here and whose answer breaks off. */
  onBroken?: (requestId: string) => void
}

/** The body of the answer to a plain request; the last part of the path may ask for its size. */
export function plainAnswer (id: string, url: string): string {
  return `answer to ${id}`.padEnd(Number(/\/bytes-(\d+)$/.exec(url)?.[1] ?? 0), '.')
}

/** Takes the place of a backend server on the platform: plain, prefill or decode. */
export class PlatformRunnerStandIn {
  readonly server: Server
  readonly #options: PlatformRunnerOptions
  readonly #sockets = new Set<Socket>()
  readonly #active = new Set<string>()
  /** Share of the plain answers that are lost after the request ran. */
  lostShare = 0
  /** Share of the answers that have neither a length nor chunks and end with their connection. */
  unframedShare = 0
  /** Until when it sends nothing, in milliseconds of the steady clock. */
  silentUntilMs = 0
  /** Answers requests that run in its place; null while it is sound. */
  faultyAnswer: ((id: string, response: ServerResponse) => void) | null = null

  constructor (options: PlatformRunnerOptions) {
    this.#options = options
    this.server = createServer((request, response) => {
      request.resume()
      request.on('end', () => this.#afterSilence(() => { if (!response.destroyed) this.#serve(request, response) }))
    })
    this.server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
  }

  get active (): number {
    return this.#active.size
  }

  /** Ends at once, with every connection and all running work. */
  crash (): void {
    this.server.close()
    for (const id of this.#active) this.#options.onBroken?.(id)
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.#active.clear()
  }

  #afterSilence (action: () => void): void {
    const silentMs = this.silentUntilMs - performance.now()
    if (silentMs > 0) setTimeout(() => this.#afterSilence(action), silentMs)
    else action()
  }

  #serve (request: IncomingMessage, response: ServerResponse): void {
    const id = String(request.headers['x-request-id'] ?? '')
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.#options.id) {
      response.writeHead(421, { 'X-Instance-Id': this.#options.id }).end()
      return
    }
    if (request.url === '/v1/report') {
      response.end(JSON.stringify({ Sequence: 0, Busy: false }))
      return
    }
    if (request.headers['x-stage'] === 'prefill') {
      response.writeHead(200, { 'X-Request-Id': id }).end(JSON.stringify({ Handle: `h-${id}`, Tokens: 1, Version: 1 }))
      return
    }
    if (this.#options.stage === RunnerStage.Prefill) {
      response.writeHead(421).end()
      return
    }
    this.#options.onRun(id, { organisation: headerText(request, 'x-tenant'), key: headerText(request, 'x-key') })
    this.#active.add(id)
    response.on('close', () => this.#active.delete(id))
    if (this.faultyAnswer !== null) {
      this.#options.onBroken?.(id)
      this.faultyAnswer(id, response)
    } else if (this.#options.stage === RunnerStage.Plain) this.#answer(id, request.url ?? '', response)
    else this.#stream(id, Number(request.headers['last-event-id'] ?? 0), response)
  }

  #answer (id: string, url: string, response: ServerResponse): void {
    setTimeout(() => this.#afterSilence(() => {
      if (Math.random() < this.lostShare) {
        this.#options.onBroken?.(id)
        response.destroy()
        return
      }
      const body = plainAnswer(id, url)
      const length = this.#endsWithConnection(response) ? {} : { 'Content-Length': body.length }
      response.writeHead(200, { 'X-Request-Id': id, 'X-Response-Signature': `signed ${id}`, ...length }).end(body)
    }), WORK_MS)
  }

  /** Decides whether a response ends with its connection, without a length or chunks. */
  #endsWithConnection (response: ServerResponse): boolean {
    if (Math.random() >= this.unframedShare) return false
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
    return true
  }

  #stream (id: string, after: number, response: ServerResponse): void {
    this.#endsWithConnection(response)
    response.writeHead(200, { 'X-Request-Id': id, 'X-Response-Signature': `signed ${id}`, 'Content-Type': 'text/event-stream' })
    let event = after
    const timer = setInterval(() => {
      if (performance.now() < this.silentUntilMs) return
      event += 1
      response.write(`id: ${event}\ndata: ${id}\n\n`)
      if (event < STREAM_EVENTS) return
      clearInterval(timer)
      response.end()
    }, EVENT_MS)
    response.on('close', () => clearInterval(timer))
  }
}

function headerText ({ headers }: IncomingMessage, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value.join() : value
}
