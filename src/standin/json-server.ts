import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'

export interface JsonCall {
  body: Record<string, unknown>
  query: URLSearchParams
  request: IncomingMessage
  response: ServerResponse
}

/** Returns the JSON body to send, or undefined when it has answered by itself. */
export type JsonHandler = (call: JsonCall) => Promise<unknown> | unknown

/** Handlers by method and path, for instance `POST /v1/prefill`. */
export type JsonHandlers = Record<string, JsonHandler>

/** An answer with a status other than 200. */
export class StatusError extends Error {
  readonly status: number
  /** Machine-readable reason, if the protocol has one. */
  readonly reason: string | undefined

  constructor (status: number, message: string, reason?: string) {
    super(message)
    this.status = status
    this.reason = reason
  }
}

/** HTTP server with JSON bodies and a table of handlers. */
export function createJsonServer (handlers: JsonHandlers): Server {
  const server = createServer((request, response) => {
    answer(handlers, request, response).catch((error: unknown) => sendError(response, error))
  })
  server.keepAliveTimeout = 30000
  return server
}

async function answer (handlers: JsonHandlers, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://stand-in')
  const handler = handlers[`${request.method} ${url.pathname}`] ?? handlers[`${request.method} *`]
  if (handler === undefined) {
    throw new StatusError(404, `no such call: ${request.method} ${url.pathname}`)
  }
  const body = parseBody(await readBody(request))
  const result = await handler({ body, query: url.searchParams, request, response })
  if (result === undefined) return
  sendJson(response, 200, result)
}

export async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request) {
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks).toString('utf8')
}

function parseBody (text: string): Record<string, unknown> {
  if (text === '') return {}
  try {
    return JSON.parse(text) as Record<string, unknown>
  } catch {
    throw new StatusError(400, 'the body is not JSON')
  }
}

export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

function sendError (response: ServerResponse, error: unknown): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const status = error instanceof StatusError ? error.status : 500
  const message = error instanceof Error ? error.message : String(error)
  sendJson(response, status, { error: message, reason: error instanceof StatusError ? error.reason : undefined })
}

/** Starts listening and returns the port. */
export async function listen (server: Server, host: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve())
  })
  const address = server.address()
  return typeof address === 'object' && address !== null ? address.port : port
}
