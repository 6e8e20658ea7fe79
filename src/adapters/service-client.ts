import { request } from 'undici'
import { Err, Ok, type Result } from '../errors/result.js'
import { MAX_FRAME_BYTES } from './frame.js'
import { agent, isUnreachable } from './http-call.js'

/** Largest response body, in bytes; a call with a larger one fails, because it could be neither stored nor sent between instances. */
const MAX_ANSWER_BYTES = MAX_FRAME_BYTES / 2

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
export async function sendToService ({ address, payload, key, timeoutMs }: ServiceCall): Promise<Result<ServiceAnswer, ServiceError>> {
  const headers: Record<string, string> = { 'content-type': payload.contentType }
  if (key !== null) headers['idempotency-key'] = key
  const abortController = new AbortController()
  const timer = setTimeout(() => abortController.abort(new Error(`no complete response within ${timeoutMs} ms`)), timeoutMs)
  try {
    const answer = await request(`http://${address}${payload.url}`, {
      method: payload.method as 'GET',
      dispatcher: agent,
      headers,
      body: payload.body.length === 0 ? null : payload.body,
      signal: abortController.signal,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    const body = await readLimited(answer.body)
    return Ok({ status: answer.statusCode, contentType: String(answer.headers['content-type'] ?? 'application/json'), body })
  } catch (error) {
    return Err({ sent: !isUnreachable(error), detail: error instanceof Error ? error.message : String(error) })
  } finally {
    clearTimeout(timer)
  }
}

async function readLimited (body: AsyncIterable<Uint8Array>): Promise<Buffer> {
  const chunks: Uint8Array[] = []
  let size = 0
  for await (const chunk of body) {
    size += chunk.length
    if (size > MAX_ANSWER_BYTES) throw new RangeError(`the response exceeds the limit of ${MAX_ANSWER_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}
