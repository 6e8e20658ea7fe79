import { type Agent, type IncomingHttpHeaders, request as httpRequest } from 'node:http'
import { watchReset } from '../http/connection-reset.js'
import { OversizeError } from './bounded-decoding.js'
import type { BufferHold } from './buffer-budget.js'
import { ByteCollector } from './byte-collector.js'
import { ChunkSizes } from './chunk-sizes.js'
import { limitInterimResponses } from './http-exchange.js'

export interface TransferLimits {
  /** Longest pause between two parts of the body, in milliseconds. */
  stallTimeoutMs: number
  /** Timeout of the whole exchange, in milliseconds. */
  totalTimeoutMs: number
}

export interface ControlRequest {
  /** IP address and port. */
  address: string
  method: 'DELETE' | 'GET' | 'POST'
  /** Path with query. */
  target: string
  headers?: Record<string, string>
  /** Value that is sent as JSON; undefined sends no body. */
  body?: unknown
  /** Timeout of the whole exchange, in milliseconds; with `transferLimits`, only of the wait for the response head. */
  timeoutMs: number
  /** Limits on the transfer of a body that may be large; it may take longer than `timeoutMs` as long as it makes progress. */
  transferLimits?: TransferLimits
  /** Largest response body, in bytes. */
  maxBytes: number
  /** Counts the bytes of the response; they stay counted until the hold is released, also if the request fails. */
  buffers: BufferHold
  /** Agent that reuses connections; without it, each request opens a new connection. */
  agent?: Agent
  /** Asked on the established connection, just before the request is written; if it returns false, the request fails with a `WithheldError`. Only for a request that opens a new connection. */
  maySend?: () => boolean
  /** Called with the status and headers before the body has been read. */
  onHead?: (head: Pick<ControlResponse, 'status' | 'headers'>) => void
}

/** A request that was not written because `maySend` returned false. */
export class WithheldError extends Error {}

/** Size and timing of a received response. */
export interface Transfer {
  bytes: number
  /** Time from the request to the response head, in milliseconds. */
  headMs: number
  /** Time from the request to the end of the body, in milliseconds. */
  totalMs: number
}

export interface ControlResponse {
  status: number
  headers: IncomingHttpHeaders
  bytes: Buffer
  transfer: Transfer
}

/** Reports when an exchange takes too long: as a whole or, with transfer limits, until its head or the next part of its body. */
class ExchangeTimeouts {
  readonly #limits: TransferLimits | undefined
  readonly #onTimeout: (reason: string) => void
  readonly #totalTimer: NodeJS.Timeout
  #progressTimer: NodeJS.Timeout | undefined
  #hasProgress = false

  constructor (options: { timeoutMs: number, transferLimits: TransferLimits | undefined, onTimeout: (reason: string) => void }) {
    const { timeoutMs, transferLimits, onTimeout } = options
    const totalTimeoutMs = transferLimits?.totalTimeoutMs ?? timeoutMs
    this.#limits = transferLimits
    this.#onTimeout = onTimeout
    this.#totalTimer = setTimeout(() => onTimeout(`no complete response within ${totalTimeoutMs} ms`), totalTimeoutMs)
    if (transferLimits !== undefined) this.#progressTimer = setTimeout(() => onTimeout(`no complete response within ${timeoutMs} ms`), timeoutMs)
  }

  /** Call it when the response head or a part of the body arrives. */
  markProgress (): void {
    if (this.#limits === undefined) return
    const { stallTimeoutMs } = this.#limits
    if (this.#hasProgress) {
      this.#progressTimer?.refresh()
      return
    }
    this.#hasProgress = true
    clearTimeout(this.#progressTimer)
    this.#progressTimer = setTimeout(() => this.#onTimeout(`no progress for ${stallTimeoutMs} ms`), stallTimeoutMs)
  }

  clear (): void {
    clearTimeout(this.#totalTimer)
    clearTimeout(this.#progressTimer)
  }
}

/** Sends a small request to the store, a runner or a peer and reads the complete response, whatever its status. Rejects on connection errors and on timeout. */
export function sendControlRequest ({ address, method, target, headers = {}, body, timeoutMs, transferLimits, maxBytes, buffers, agent, maySend, onHead }: ControlRequest): Promise<ControlResponse> {
  return new Promise((resolve, reject) => {
    const startedMs = performance.now()
    let headMs: number | null = null
    let receivedBytes = 0
    const [host, port] = address.split(':')
    const payload = body === undefined ? null : Buffer.from(JSON.stringify(body))
    const request = httpRequest({
      host,
      port: Number(port),
      method,
      path: target,
      agent: agent ?? false,
      headers: payload === null ? headers : { ...headers, 'content-type': 'application/json', 'content-length': payload.length }
    })
    const abort = (reason: string): void => {
      const received = headMs === null ? 'no response head' : `${receivedBytes} bytes received, head after ${Math.round(headMs)} ms`
      request.destroy(new Error(`${reason}: ${received}`))
    }
    const timeouts = new ExchangeTimeouts({ timeoutMs, transferLimits, onTimeout: abort })
    const fail = (error: Error): void => {
      timeouts.clear()
      reject(error)
    }
    buffers.onEvict = () => {
      fail(new Error(`no memory for the response: ${receivedBytes} bytes received`))
      request.destroy()
    }
    limitInterimResponses(request)
    const reset = watchReset(request)
    request.on('error', fail)
    request.on('response', (response) => {
      const body = new ByteCollector({ onGrowth: (bytes) => buffers.add(bytes) })
      const sizes = new ChunkSizes()
      headMs = performance.now() - startedMs
      onHead?.({ status: response.statusCode ?? 0, headers: response.headers })
      timeouts.markProgress()
      response.on('data', (chunk: Buffer) => {
        timeouts.markProgress()
        receivedBytes += chunk.length
        if (receivedBytes > maxBytes) request.destroy(new OversizeError(`response over ${maxBytes} bytes`))
        else if (!sizes.accept(chunk.length)) abort('chunks too small')
        else body.push(chunk)
      })
      response.on('error', fail)
      response.on('end', () => {
        if (reset.occurred) return fail(new Error(`connection reset within the response: ${receivedBytes} bytes received`))
        timeouts.clear()
        const transfer = { bytes: receivedBytes, headMs: headMs ?? 0, totalMs: performance.now() - startedMs }
        // The blocks of the collector are freed only some time after they have been put together.
        if (buffers.add(body.length)) resolve({ status: response.statusCode ?? 0, headers: response.headers, bytes: body.bytes(), transfer })
      })
    })
    const write = (): void => { request.end(payload ?? undefined) }
    if (maySend === undefined) return write()
    request.on('socket', (socket) => socket.once('connect', () => {
      if (maySend()) write()
      else request.destroy(new WithheldError('withheld: the server takes no requests'))
    }))
  })
}
