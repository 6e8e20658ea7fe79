import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type OperationError, operationErrorDescriptions } from '../errors/operation-error.js'
import { Err, Ok, type Result } from '../errors/result.js'
import type { Log } from '../logs/log.js'
import type { AdminCaller } from '../settings/admin-settings.js'
import { checkSettings } from '../settings/load-settings.js'
import type { AdminRoute, AdminServices } from './admin-route.js'
import { adminRoutes } from './admin-routes.js'

export interface AdminListenerOptions extends AdminServices {
  callers: AdminCaller[]
  maxBodyBytes: number
  log: Log
}

interface Answer {
  status: number
  body: unknown
}

/** A call that is refused before it reaches an operation. */
enum CallFaultKind {
  Unauthorised = 'unauthorised',
  Forbidden = 'forbidden',
  UnknownRoute = 'unknown_route',
  MalformedBody = 'malformed_body',
  BodyTooLarge = 'body_too_large',
  Internal = 'internal'
}

const callFaults: Record<CallFaultKind, { status: number, remedy: string }> = {
  [CallFaultKind.Unauthorised]: { status: 401, remedy: 'Send a key of the settings as "Authorization: Bearer KEY".' },
  [CallFaultKind.Forbidden]: { status: 403, remedy: 'Use a caller with the named role, or add the role in the settings.' },
  [CallFaultKind.UnknownRoute]: { status: 404, remedy: 'Use a path and method of docs/openapi.json.' },
  [CallFaultKind.MalformedBody]: { status: 400, remedy: 'Send a JSON object with the documented fields.' },
  [CallFaultKind.BodyTooLarge]: { status: 413, remedy: 'Send a smaller body, or raise maxBodyBytes in the settings.' },
  [CallFaultKind.Internal]: { status: 500, remedy: 'Read the log of daisybarrow-admin.' }
}

/** HTTP listener of the administration API. */
export function createAdminListener (options: AdminListenerOptions): Server {
  return createServer((request, response) => {
    answer(options, request)
      .catch((error: unknown) => {
        options.log.error('admin_fault', { detail: String(error) })
        return callFault(CallFaultKind.Internal, 'request', 'internal error')
      })
      .then((result) => send(response, result))
      .catch(() => response.destroy())
  })
}

async function answer (options: AdminListenerOptions, request: IncomingMessage): Promise<Answer> {
  const url = new URL(request.url ?? '/', 'http://admin')
  if (request.method === 'GET' && url.pathname === '/healthz') return { status: 200, body: { ok: true } }
  const match = findRoute(request.method ?? '', url.pathname)
  if (match === null) return callFault(CallFaultKind.UnknownRoute, 'path', `there is no ${request.method} ${url.pathname}`)
  const { route, path } = match
  const caller = callerOf(options.callers, request.headers.authorization)
  if (caller === undefined) return callFault(CallFaultKind.Unauthorised, 'authorization', 'the key is missing or unknown')
  if (!caller.roles.includes(route.role)) return callFault(CallFaultKind.Forbidden, 'roles', `the caller ${caller.name} lacks the role ${route.role}`)
  const body = await readBody(request, route, options.maxBodyBytes)
  if (body.err) return body.val
  const result = await route.handle({ caller, path, query: url.searchParams, body: body.val }, options)
  audit(options.log, route, { caller: caller.name, remote: request.socket.remoteAddress ?? '', ...path }, result)
  return result.ok ? { status: 200, body: result.val } : faultAnswer(result.val)
}

/** Writes one line for each change, and for each refused attempt at one. */
function audit (log: Log, route: AdminRoute, fields: Record<string, string>, result: Result<unknown, OperationError>): void {
  if (route.audit === null) return
  const { proposal = fields.id ?? '', version = 0 } = (result.ok ? result.val : {}) as { proposal?: string, version?: number }
  const { caller = '', remote = '' } = fields
  log.info(route.audit, { audit: true, caller, remote, proposal, version, outcome: result.ok ? 'done' : result.val.kind })
}

function findRoute (method: string, pathname: string): { route: AdminRoute, path: Record<string, string> } | null {
  const segments = pathname.split('/')
  for (const route of adminRoutes) {
    const path = route.method === method ? matchPath(route.path.split('/'), segments) : null
    if (path !== null) return { route, path }
  }
  return null
}

function matchPath (pattern: string[], segments: string[]): Record<string, string> | null {
  if (pattern.length !== segments.length) return null
  const path: Record<string, string> = {}
  for (const [index, part] of pattern.entries()) {
    const segment = segments[index] ?? ''
    if (part.startsWith('{')) path[part.slice(1, -1)] = segment
    else if (part !== segment) return null
  }
  return path
}

function callerOf (callers: AdminCaller[], header: string | undefined): AdminCaller | undefined {
  const key = /^Bearer (.+)$/.exec(header ?? '')?.[1]
  if (key === undefined) return undefined
  const hash = createHash('sha256').update(key).digest()
  return callers.find((caller) => timingSafeEqual(Buffer.from(caller.keyHash, 'hex'), hash))
}

async function readBody (request: IncomingMessage, route: AdminRoute, maxBytes: number): Promise<Result<unknown, Answer>> {
  if (route.body === null) return Ok(null)
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length
    if (bytes > maxBytes) return Err(callFault(CallFaultKind.BodyTooLarge, 'body', `the body is over ${maxBytes} bytes`))
    chunks.push(chunk as Buffer)
  }
  let value: unknown
  try {
    value = JSON.parse(Buffer.concat(chunks).toString('utf8'))
  } catch {
    return Err(callFault(CallFaultKind.MalformedBody, 'body', 'the body is not JSON'))
  }
  const checked = checkSettings(value, route.body)
  if (checked.ok) return checked
  const [fault] = checked.val
  return Err(callFault(CallFaultKind.MalformedBody, fault?.path ?? 'body', `found ${fault?.found ?? ''}. ${fault?.remedy ?? ''}`))
}

function callFault (kind: CallFaultKind, field: string, found: string): Answer {
  const { status, remedy } = callFaults[kind]
  return { status, body: { error: { kind, field, found, remedy, rebaseOn: null, faults: [] } } }
}

function faultAnswer (fault: OperationError): Answer {
  return { status: operationErrorDescriptions[fault.kind].status, body: { error: fault } }
}

function send (response: ServerResponse, { status, body }: Answer): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), connection: status === 413 ? 'close' : 'keep-alive' })
  response.end(text)
}
