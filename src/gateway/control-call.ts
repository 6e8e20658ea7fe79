import { type Agent, request as httpRequest } from 'node:http'

export interface ControlCall {
  /** IP number and port. */
  address: string
  method: 'DELETE' | 'GET' | 'POST'
  /** Path with its query. */
  target: string
  headers?: Record<string, string>
  /** Sent as JSON. */
  body?: unknown
  /** For the whole exchange, in milliseconds. */
  timeoutMs: number
  /** Keeps connections for further calls; without it each call has one of its own. */
  agent?: Agent
}

export interface ControlAnswer {
  status: number
  bytes: Buffer
}

/** Sends one small call to the store or a runner and reads the whole answer; rejects if it does not arrive in time. */
export function controlCall ({ address, method, target, headers = {}, body, timeoutMs, agent }: ControlCall): Promise<ControlAnswer> {
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
    const timer = setTimeout(() => request.destroy(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs)
    const fail = (error: Error): void => {
      clearTimeout(timer)
      reject(error)
    }
    request.on('error', fail)
    request.on('response', (answer) => {
      const chunks: Buffer[] = []
      answer.on('data', (chunk: Buffer) => chunks.push(chunk))
      answer.on('error', fail)
      answer.on('end', () => {
        clearTimeout(timer)
        resolve({ status: answer.statusCode ?? 0, bytes: Buffer.concat(chunks) })
      })
    })
    request.end(payload ?? undefined)
  })
}
