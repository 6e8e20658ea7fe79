import { type ConnectionLimits, connectionLimits, type ListenerName } from '../../src/gateway/connection-limits.js'
import { EventEmitter } from 'node:events'
import type { IncomingMessage } from 'node:http'
import { PassThrough } from 'node:stream'
import { type BackendServer, ServerState, RunnerRole } from '../../src/gateway/backend.js'
import { type BackendClient, type SendOptions, ResponseMeaning, type OrderOutcome, type KvCacheHandle, type RoleOrder, type RunnerState } from '../../src/gateway/backend-client.js'
import { BufferBudget } from '../../src/gateway/buffer-budget.js'
import type { CallerRequest, Responder } from '../../src/gateway/caller-request.js'
import { type Configuration, type Route, RouteKind } from '../../src/gateway/configuration.js'
import type { Exchange, ExchangeFailure, ResponseHead } from '../../src/gateway/http-exchange.js'
import { ExchangeOutcome } from '../../src/gateway/exchange-outcome.js'
import type { GatewayRefusal } from '../../src/gateway/refusal.js'
import type { Log } from '../../src/logs/log.js'

export function backend (options: Partial<BackendServer> = {}): BackendServer {
  return { id: 'b1', service: 'plain', address: '10.0.0.1:80', failureDomain: 'a', state: ServerState.Ready, stage: RunnerRole.None, slots: 6, startedAtMs: 1, ...options }
}

export function route (options: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'h.example',
    pathPrefix: '/p/',
    kind: RouteKind.Idempotent,
    timeoutMs: 1000,
    targetLatencyMs: 150,
    longestPauseMs: 300,
    services: [{ service: 'plain', weight: 1 }],
    attempts: 2,
    priority: 1,
    resumable: false,
    anonymous: false,
    ...options
  }
}

export function configuration (options: Partial<Configuration> = {}): Configuration {
  return {
    version: 1,
    routes: [route()],
    services: [
      { name: 'plain', maxConnections: 100, engine: null },
      { name: 'model', maxConnections: 100, engine: { slots: 64, memoryTokens: 100_000, tokensPerEvent: 73, roleChangeMs: 6000 } }
    ],
    limits: { headerBytes: 16384, bodyBytes: 1 << 20, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    organisations: [],
    requiresKeys: false,
    ...options
  }
}

export function callerRequest (options: Partial<CallerRequest> = {}): CallerRequest {
  return { id: 'q1', host: 'h.example', method: 'GET', target: '/p/x', path: '/p/x', headers: [], body: Buffer.alloc(0), deadlineMs: null, arrivedMs: 0, lastEventId: null, keyHash: null, generationParameters: null, ...options }
}

/** Creates a log that records its lines as `event key=value ...`. */
export function recordingLog (): Log & { lines: string[] } {
  const lines: string[] = []
  const line = (event: string, fields: object = {}): void => {
    lines.push([event, ...Object.entries(fields).map(([key, value]) => `${key}=${value}`)].join(' '))
  }
  return { lines, debug: line, info: line, warn: line, error: line }
}

export function unboundedBuffers (): BufferBudget {
  return new BufferBudget({ limitBytes: Infinity, log: recordingLog() })
}

/** Limits of a listener on an instance of the usual size. */
export function usualConnectionLimits (listener: ListenerName): ConnectionLimits {
  return connectionLimits(listener, { memoryMb: 160, descriptors: 20_000, connections: { unreadS: 60 } })
}

/** Records the response that a caller would receive. */
export class RecordingResponder implements Responder {
  status: number | null = null
  text = ''
  ending: 'ended' | 'aborted' | 'refused' | null = null
  refusal: GatewayRefusal | null = null
  retryAfterMs: number | null = null
  readonly buffers = unboundedBuffers().hold('caller')
  readonly #disconnectEmitter = new EventEmitter()

  writeHead (head: ResponseHead): void { this.status = head.status }
  /** Time after the next write for which the caller reads nothing, in milliseconds; null if it reads at once. */
  pauseAfterNextWriteMs: number | null = null
  #pauseMs = 0

  write (chunk: Buffer): boolean {
    this.text += chunk.toString()
    this.#pauseMs = this.pauseAfterNextWriteMs ?? 0
    this.pauseAfterNextWriteMs = null
    return this.#pauseMs === 0
  }

  onDrain (resume: () => void): void { setTimeout(resume, this.#pauseMs) }
  end (): void { this.ending = 'ended' }
  abort (): void { this.ending = 'aborted' }
  refuse (refusal: GatewayRefusal, retryAfterMs: number | null): void {
    Object.assign(this, { refusal, retryAfterMs, ending: 'refused' })
  }

  onDisconnect (callback: () => void): void { this.#disconnectEmitter.on('disconnect', callback) }
  disconnect (): void { this.#disconnectEmitter.emit('disconnect') }
}

/** Response of a scripted server: its status and meaning, the chunks of its body, and whether the body is complete (`whole`), is cut off (`broken`) or never ends (`open`). */
export interface ScriptedResponse {
  status?: number
  meaning?: ResponseMeaning
  parts?: string[]
  end?: 'whole' | 'broken' | 'open'
  /** Time between the first chunk of the body and the next one, in milliseconds. */
  pauseMs?: number
  /** Time until the head, in milliseconds. */
  silentMs?: number
}

/** How a scripted server reacts to one request: with a response, with a failure, or never (`silent`). */
export type ScriptedReaction = ScriptedResponse | ExchangeFailure['outcome'] | 'silent'

/** Backend client whose servers respond as a callback decides. It records the requests and orders that it sends. */
export class ScriptedBackendClient implements BackendClient {
  readonly sent: SendOptions[] = []
  readonly freed: KvCacheHandle[] = []
  readonly cancelled: string[] = []
  readonly #respond: (options: SendOptions, sendNumber: number) => ScriptedReaction
  readonly #meanings = new WeakMap<IncomingMessage, ResponseMeaning>()

  constructor (respond: (options: SendOptions, sendNumber: number) => ScriptedReaction) {
    this.#respond = respond
  }

  send (options: SendOptions): Exchange {
    if (options.maySend?.() === false) return { head: Promise.resolve({ outcome: ExchangeOutcome.NotSent, detail: 'withheld' }), cancel: () => {} }
    this.sent.push(options)
    const reaction = this.#respond(options, this.sent.length)
    const cancel = (): void => { this.cancelled.push(options.backend.id) }
    if (reaction === 'silent') return { head: new Promise(() => {}), cancel }
    if (typeof reaction === 'string') return { head: Promise.resolve({ outcome: reaction, detail: 'scripted' }), cancel }
    const { silentMs = 0 } = reaction
    if (silentMs === 0) return { head: Promise.resolve(this.#headOf(reaction)), cancel }
    const timedOut = silentMs > options.headTimeoutMs
    const head = new Promise<ResponseHead | ExchangeFailure>((resolve) => {
      setTimeout(() => resolve(timedOut ? { outcome: ExchangeOutcome.TimedOut, detail: 'scripted' } : this.#headOf(reaction)), Math.min(silentMs, options.headTimeoutMs))
    })
    return { head, cancel }
  }

  onLeaving: BackendClient['onLeaving'] = () => {}
  onPause: BackendClient['onPause'] = () => {}

  classifyResponse (_options: SendOptions, head: ResponseHead): ResponseMeaning {
    return this.#meanings.get(head.message) ?? ResponseMeaning.Answer
  }

  /** What each response says of the server's limit. */
  limitPerS: number | null | undefined = null

  statedLimit (): number | null | undefined { return this.limitPerS }

  parsePrefillResponse (server: BackendServer, body: Buffer): KvCacheHandle | null {
    return body.length === 0 ? null : { address: server.address, handle: body.toString() }
  }

  readonly orders: RoleOrder[] = []
  orderOutcome: OrderOutcome = 'accepted'

  runnerState: RunnerState | null = { ordersAccepted: 3, orderInProgress: false }

  readRunnerState (): Promise<RunnerState | null> { return Promise.resolve(this.runnerState) }

  sendOrder (order: RoleOrder): Promise<OrderOutcome> {
    this.orders.push(order)
    return Promise.resolve(this.orderOutcome)
  }

  freeKvCache (handle: KvCacheHandle): void { this.freed.push(handle) }

  #headOf (response: ScriptedResponse): ResponseHead {
    const stream = new PassThrough()
    const message = stream as unknown as IncomingMessage
    const end = response.end ?? 'whole'
    this.#meanings.set(message, response.meaning ?? ResponseMeaning.Answer)
    setImmediate(() => {
      const [first, ...others] = response.parts ?? []
      if (first !== undefined) stream.write(first)
      const finish = (): void => {
        if (stream.destroyed) return
        for (const part of others) stream.write(part)
        if (end === 'whole') stream.end()
        if (end === 'broken') setImmediate(() => stream.destroy())
      }
      if (response.pauseMs === undefined) finish()
      else setTimeout(finish, response.pauseMs)
    })
    return { status: response.status ?? 200, statusText: '', headers: {}, rawHeaders: [], message, endsWithConnection: false, reusedConnection: false, wasReset: () => false, isComplete: () => end === 'whole' }
  }
}
