import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Board } from '../board/board.js'
import type { Organisation } from '../bundles/bundle.js'
import type { Event } from '../core/event.js'
import { RefusalKind } from '../errors/refusal.js'
import { refusalBody, sendRefusal } from './refusal-response.js'
import { RequestError } from './request-error.js'

export interface Caller {
  organisation: Organisation
  request: IncomingMessage
  response: ServerResponse
  path: string
  body: Buffer
}

/** Handles one call by method and path. */
export type CallerHandler = (caller: Caller) => void

export interface CallerListenerOptions {
  board: Board
  emit: (event: Event) => void
  maxBodyBytes: number
  /** Handlers by method and path. */
  handlers: Record<string, CallerHandler>
  /** Handles calls on routes of the bundle. */
  fallback: CallerHandler
}

/** HTTP listener for callers. */
export function createCallerListener (options: CallerListenerOptions): Server {
  const busy = new WeakSet<Duplex>()
  const onRequest = (request: IncomingMessage, response: ServerResponse): void => {
    busy.add(request.socket)
    response.on('close', () => busy.delete(request.socket))
    serve(options, request, response).catch((error: unknown) => {
      if (error instanceof RequestError) sendRefusal(response, { kind: error.kind, detail: error.message })
      else response.destroy()
    })
  }
  // Node's own answers to faulty HTTP have no body that could state the remedy.
  return createServer({ requireHostHeader: false }, onRequest)
    .on('checkExpectation', onRequest)
    .on('connect', (_request, socket) => refuseSocket(socket, 'the method CONNECT is not supported'))
    .on('clientError', (error, socket) => {
      // What follows a request that still runs is faulty: a refusal would be read as the answer to that request.
      if (busy.has(socket)) socket.destroy()
      else refuseSocket(socket, error.message)
    })
}

/** Refuses what is not a request that Node can parse, on the bare connection. */
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
  // Callers that keep connections open would otherwise hold them until the process ends.
  if (board.drainingSinceMs !== null) response.setHeader('connection', 'close')
  const body = await readLimited(request, options.maxBodyBytes)
  const path = (request.url ?? '/').split('?')[0] ?? '/'
  if (options.board.bundle === null) throw new RequestError(RefusalKind.NotReady, 'no configuration bundle is in force')
  const caller = { organisation: authenticate(options.board, request), request, response, path, body }
  const exact = options.handlers[`${request.method} ${path}`]
  const byFolder = options.handlers[`${request.method} ${path.slice(0, path.lastIndexOf('/') + 1)}`]
  const handler = exact ?? byFolder ?? options.fallback
  handler(caller)
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
