import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Board } from '../board/board.js'
import type { Organisation } from '../bundles/bundle.js'
import type { Event } from '../core/event.js'
import { RefusalKind } from '../errors/refusal.js'
import { refusalBody, sendRefusal } from './refusal-response.js'
import { RequestError } from './request-error.js'

/** A request of an authenticated caller, with its whole body. */
export interface CallerRequest {
  organisation: Organisation
  request: IncomingMessage
  response: ServerResponse
  path: string
  body: Buffer
}

/** Handles one request of an authenticated caller. */
export type CallerHandler = (callerRequest: CallerRequest) => void

export interface CallerListenerOptions {
  board: Board
  emit: (event: Event) => void
  maxBodyBytes: number
  /** Handlers by `METHOD PATH`; a path that ends with a slash stands for all paths one segment below it. */
  handlers: Record<string, CallerHandler>
  /** Handles every other request: calls on routes of the bundle. */
  fallback: CallerHandler
}

/** Creates the HTTP listener for callers. */
export function createCallerListener (options: CallerListenerOptions): Server {
  const socketsInUse = new WeakSet<Duplex>()
  const onRequest = (request: IncomingMessage, response: ServerResponse): void => {
    socketsInUse.add(request.socket)
    response.on('close', () => socketsInUse.delete(request.socket))
    serve(options, request, response).catch((error: unknown) => {
      if (error instanceof RequestError) sendRefusal(response, { kind: error.kind, detail: error.message })
      else response.destroy()
    })
  }
  // The handlers below replace Node's default responses to malformed HTTP, whose empty bodies can't state the remedy.
  return createServer({ requireHostHeader: false }, onRequest)
    .on('checkExpectation', onRequest)
    .on('connect', (_request, socket) => refuseSocket(socket, 'the method CONNECT is not supported'))
    .on('clientError', (error, socket) => {
      // An earlier request on this socket is still unanswered, and the caller would read a refusal as the response to it.
      if (socketsInUse.has(socket)) socket.destroy()
      else refuseSocket(socket, error.message)
    })
}

/** Writes a refusal directly to the socket: for CONNECT and for bytes that Node can't parse as a request, there is no response object. */
function refuseSocket (socket: Duplex, detail: string): void {
  if (!socket.writable) {
    socket.destroy()
    return
  }
  const text = JSON.stringify(refusalBody({ kind: RefusalKind.MalformedRequest, detail }))
  const head = ['HTTP/1.1 400 Bad Request', 'Content-Type: application/json', `Content-Length: ${Buffer.byteLength(text)}`, 'Connection: close']
  socket.end(`${head.join('\r\n')}\r\n\r\n${text}`)
}

async function serve (options: CallerListenerOptions, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const { board } = options
  // Without this header, callers with keep-alive connections would hold them until the draining process exits.
  if (board.drainingSinceMs !== null) response.setHeader('connection', 'close')
  const body = await readLimited(request, options.maxBodyBytes)
  const path = (request.url ?? '/').split('?')[0] ?? '/'
  if (options.board.bundle === null) throw new RequestError(RefusalKind.NotReady, 'no configuration bundle is in force')
  const callerRequest = { organisation: authenticate(options.board, request), request, response, path, body }
  const exactHandler = options.handlers[`${request.method} ${path}`]
  const prefixHandler = options.handlers[`${request.method} ${path.slice(0, path.lastIndexOf('/') + 1)}`]
  const handler = exactHandler ?? prefixHandler ?? options.fallback
  handler(callerRequest)
}

async function readLimited (request: IncomingMessage, limit: number): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of request) {
    size += (chunk as Buffer).length
    if (size > limit) throw new RequestError(RefusalKind.BodyTooLarge, `the limit is ${limit} bytes`)
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks)
}

function authenticate (board: Board, request: IncomingMessage): Organisation {
  const [scheme, key] = (request.headers.authorization ?? '').split(' ')
  const hash = createHash('sha256').update(key ?? '').digest('hex')
  const organisation = scheme === 'Bearer' ? board.bundle?.index.organisationByKeyHash(hash) : undefined
  if (organisation === undefined) throw new RequestError(RefusalKind.Unauthorised, 'no organisation has this key')
  return organisation
}
