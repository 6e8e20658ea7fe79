import { once } from 'node:events'
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import { type BackendServer, RunnerRole } from '../../src/gateway/backend.js'
import { RouteKind } from '../../src/gateway/configuration.js'
import { Gateway } from '../../src/gateway/gateway.js'
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js'
import { gatewaySettingsSchema } from '../../src/gateway/gateway-settings.js'
import { HttpExchangeClient } from '../../src/gateway/http-exchange.js'
import type { PlatformStore } from '../../src/gateway/platform-store.js'
import { HttpBackendClient } from '../../platform/http-backend-client.js'
import { backend, callerRequest, configuration, recordingLog, RecordingResponder, route, unboundedBuffers } from '../gateway/gateway-fixtures.js'

/** A request as a server received it. */
export interface ReceivedRequest {
  id: string
  /** Method and target. */
  line: string
  /** Whole head. */
  head: string
}

/** Returns the bytes of the answer, or a promise of them. */
export type AnswerHandler = (request: ReceivedRequest, requestNumber: number) => string | Promise<string>

/** A server that writes the bytes that its handler returns and then closes the connection. */
export class ByteServer {
  readonly received: ReceivedRequest[] = []
  /** When each request was received, in milliseconds. */
  readonly receivedMs: number[] = []
  address = ''
  readonly #server: Server
  readonly #sockets = new Set<Socket>()

  constructor (handler: AnswerHandler) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket)
      socket.on('error', () => {})
      let head = ''
      socket.on('data', (chunk) => {
        head += String(chunk)
        if (!head.includes('\r\n\r\n')) return
        const request = { id: /x-request-id: (\S+)/i.exec(head)?.[1] ?? '', line: head.split(' HTTP/', 1)[0] ?? '', head }
        head = ''
        this.received.push(request)
        this.receivedMs.push(performance.now())
        Promise.resolve(handler(request, this.received.length)).then((bytes) => socket.end(bytes), () => socket.destroy())
      })
    })
  }

  async listen (): Promise<void> {
    this.#server.listen(0, '127.0.0.1')
    await once(this.#server, 'listening')
    this.address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  close (): void {
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }
}

interface AnswerParts {
  status?: number
  headers?: string[]
  body?: string
}

/** Bytes of an answer to a request; a success has a signature, and any other answer states that the request did not run. */
export function answerTo ({ id }: ReceivedRequest, { status = 200, headers = [], body = 'ok' }: AnswerParts = {}): string {
  const usual = [`X-Request-Id: ${id}`, status === 200 ? 'X-Response-Signature: s' : 'X-Not-Executed: 1', `Content-Length: ${body.length}`, 'Connection: close']
  return [`HTTP/1.1 ${status} S`, ...usual, ...headers, '', body].join('\r\n')
}

export const STREAM_BODY = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'

/** A gateway instance without others that sends to real servers. */
export class SocketGateway {
  readonly gateway: Gateway
  readonly log = recordingLog()
  readonly metrics = new GatewayMetrics()
  readonly backendClient: HttpBackendClient
  #requests = 0

  constructor ({ ratio = 1, slack = 1000 }: { ratio?: number, slack?: number } = {}) {
    const settings = gatewaySettingsSchema.parse({
      id: 'n1',
      ip: '10.0.0.1',
      failureDomain: 'a',
      listeners: { callers: '10.0.0.1:1', readiness: '10.0.0.1:2', directory: '10.0.0.1:3', peerPort: 4, metricsPort: 5 },
      storeAddress: '10.9.0.1:1',
      repeats: { ratio, slack, windowS: 10 }
    })
    this.backendClient = new HttpBackendClient({ buffers: unboundedBuffers(), exchangeClient: new HttpExchangeClient(), log: this.log })
    this.gateway = new Gateway({ settings, backendClient: this.backendClient, store: {} as PlatformStore, log: this.log, metrics: this.metrics, send: () => {}, nowMs: () => performance.now(), random: () => 0 })
    this.gateway.applyConfiguration(configuration({
      routes: [
        route({ name: 'plain', pathPrefix: '/plain/', kind: RouteKind.NonIdempotent, timeoutMs: 2000 }),
        route({ name: 'stream', pathPrefix: '/stream/', kind: RouteKind.Streaming, timeoutMs: 3000, services: [{ service: 'model', weight: 1 }] }),
        route({ name: 'resumable', pathPrefix: '/resumable/', kind: RouteKind.Streaming, resumable: true, timeoutMs: 3000, services: [{ service: 'model', weight: 1 }] })
      ]
    }), 'store')
  }

  /** Adds servers of a service, in this order; the first one is in this instance's failure domain. */
  add (byteServers: ByteServer[], role: RunnerRole = RunnerRole.None): BackendServer[] {
    return byteServers.map(({ address }, index) => {
      const server = backend({ id: `${role}${index + 1}`, address, stage: role, service: role === RunnerRole.None ? 'plain' : 'model', failureDomain: index === 0 ? 'a' : 'b' })
      this.gateway.backends.put(server)
      return server
    })
  }

  /** Serves one request of a caller; resolves when it has ended. */
  async request (path: string): Promise<RecordingResponder> {
    this.#requests += 1
    const id = `q${this.#requests}`
    const responder = new RecordingResponder()
    const generationParameters = path.startsWith('/plain/') ? null : { promptTokens: 100, maxOutputTokens: 100, estimatedOutputTokens: null, promptId: id, sharedParts: [] }
    this.gateway.serve(callerRequest({ id, path, target: path, method: 'POST', headers: ['Host', 'h.example', 'X-Request-Id', id], arrivedMs: performance.now(), generationParameters }), responder)
    for (let waitedMs = 0; responder.ending === null && waitedMs < 5000; waitedMs += 2) {
      await new Promise((resolve) => setTimeout(resolve, 2))
      this.gateway.tick()
    }
    return responder
  }
}
