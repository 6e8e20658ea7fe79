import { type Agent, request as httpRequest } from 'node:http'

export interface ControlRequest {
  /** IP address and port. */
  address: string
  method: 'DELETE' | 'GET' | 'POST'
  /** Path with query. */
  target: string
  headers?: Record<string, string>
  /** Value that is sent as JSON; undefined sends no body. */
  body?: unknown
  /** Timeout of the whole exchange, in milliseconds. */
  timeoutMs: number
  /** Agent that reuses connections; without it, each request opens a new connection. */
  agent?: Agent
}

export interface ControlResponse {
  status: number
  bytes: Buffer
}

/** Sends a small request to the store, a runner or a peer and reads the complete response, whatever its status. Rejects on connection errors and on timeout. */
export function sendControlRequest ({ address, method, target, headers = {}, body, timeoutMs, agent }: ControlRequest): Promise<ControlResponse> {
  return new Promise((resolve, reject) => {
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
    const timer = setTimeout(() => request.destroy(new Error(`no complete response within ${timeoutMs} ms`)), timeoutMs)
    const fail = (error: Error): void => {
      clearTimeout(timer)
      reject(error)
    }
    request.on('error', fail)
    request.on('response', (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', fail)
      response.on('end', () => {
        clearTimeout(timer)
        resolve({ status: response.statusCode ?? 0, bytes: Buffer.concat(chunks) })
      })
    })
    request.end(payload ?? undefined)
  })
}
