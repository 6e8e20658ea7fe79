import { Agent, request } from 'node:http'
import { Err, Ok, type Result } from '../errors/result.js'
import { watchReset } from '../http/connection-reset.js'
import { MAX_FRAME_BYTES } from './frame.js'

/** Largest response body, in bytes; a call with a larger one fails, because it could be neither stored nor sent between instances. */
const MAX_ANSWER_BYTES = MAX_FRAME_BYTES / 2

/** Longest wait for a new connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000

/** Time after which an idle connection is closed, in milliseconds. */
const MAX_IDLE_MS = 10_000

// undici takes the reset of an answer without a length for its end.
const agent = new Agent({ keepAlive: true, maxSockets: 256, timeout: MAX_IDLE_MS })

export interface ServiceAnswer {
  status: number
  contentType: string
  body: Uint8Array
}

export interface ServiceError {
  /** False only if no byte of the call can have reached the server. */
  sent: boolean
  detail: string
}

interface ServiceCall {
  address: string
  payload: { method: string, url: string, contentType: string, body: Uint8Array }
  key: string | null
  /** Limit of the whole exchange, so that a server can't extend it by sending its response a few bytes at a time. */
  timeoutMs: number
}

/** Sends a caller's call to a plain service and reads the whole response. */
export function sendToService ({ address, payload, key, timeoutMs }: ServiceCall): Promise<Result<ServiceAnswer, ServiceError>> {
  const { method, url, contentType, body } = payload
  return new Promise((resolve) => {
    const call = request(`http://${address}${url}`, { agent, method, headers: { 'content-type': contentType, ...(key === null ? {} : { 'idempotency-key': key }) } })
    const reset = watchReset(call)
    let connected = false
    const fail = (detail: string): void => {
      clearTimeout(timer)
      call.destroy()
      resolve(Err({ sent: connected, detail }))
    }
    const timer = setTimeout(() => fail(`no complete response within ${timeoutMs} ms`), timeoutMs)
    call.on('socket', (socket) => {
      connected = !socket.connecting
      if (connected) return
      const connectTimer = setTimeout(() => fail(`no connection within ${CONNECT_TIMEOUT_MS} ms`), CONNECT_TIMEOUT_MS)
      socket.once('close', () => clearTimeout(connectTimer))
      socket.once('connect', () => {
        clearTimeout(connectTimer)
        connected = true
      })
    })
    call.on('error', (error) => fail(error.message))
    call.on('response', (answer) => {
      const chunks: Buffer[] = []
      let size = 0
      answer.on('data', (chunk: Buffer) => {
        size += chunk.length
        if (size > MAX_ANSWER_BYTES) fail(`the response exceeds the limit of ${MAX_ANSWER_BYTES} bytes`)
        else chunks.push(chunk)
      })
      answer.on('error', (error) => fail(error.message))
      answer.on('end', () => {
        if (reset.occurred) return fail('connection reset within the response')
        clearTimeout(timer)
        resolve(Ok({ status: answer.statusCode ?? 0, contentType: answer.headers['content-type'] ?? 'application/json', body: Buffer.concat(chunks) }))
      })
    })
    call.end(body)
  })
}
