import { afterEach, describe, expect, test } from '@jest/globals'
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { BackendTable } from '../../src/gateway/backend-table.js'
import { RouteKind } from '../../src/gateway/configuration.js'
import type { ForwardingContext } from '../../src/gateway/forwarding.js'
import { PendingRequest } from '../../src/gateway/pending-request.js'
import { forwardPlain } from '../../src/gateway/plain-forwarding.js'
import { backend, callerRequest, RecordingResponder, route } from '../gateway/gateway-fixtures.js'
import { httpForwardingContext } from './http-forwarding-context.js'

const LIMIT_PER_S = 2

/** Requests a server may get within the second of a test: one and a half times its limit, and five. */
const MOST_IN_ONE_SECOND = 1.5 * LIMIT_PER_S + 5

const servers: Server[] = []

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections()
    server.close()
  }
})

interface LimitedServer {
  address: string
  arrivals: number
  /** Value of the header; null sends none. */
  limit: string | null
}

async function startServer (limit: string | null): Promise<LimitedServer> {
  const limited: LimitedServer = { address: '', arrivals: 0, limit }
  const server = createServer((request, response) => {
    limited.arrivals += 1
    response.writeHead(200, { 'X-Request-Id': request.headers['x-request-id'] ?? '', 'X-Response-Signature': 's', ...(limited.limit === null ? {} : { 'Server-Limit': limited.limit }) }).end('ok')
  })
  servers.push(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  limited.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  return limited
}

function createContext (limited: LimitedServer[]): ForwardingContext {
  const backends = new BackendTable({ nowMs: () => performance.now() })
  for (const [index, { address }] of limited.entries()) backends.put(backend({ id: `b${index + 1}`, address, failureDomain: index === 0 ? 'a' : 'b' }))
  return httpForwardingContext(backends)
}

let requests = 0

async function send (context: ForwardingContext): Promise<RecordingResponder> {
  requests += 1
  const responder = new RecordingResponder()
  const pending = new PendingRequest({ request: callerRequest({ id: `q${requests}`, headers: ['Host', 'h.example', 'X-Request-Id', `q${requests}`], arrivedMs: context.nowMs() }), route: route({ kind: RouteKind.NonIdempotent, attempts: 1 }), service: 'plain', responder, nowMs: context.nowMs })
  await forwardPlain(context, pending)
  return responder
}

/** Sends a request each twentieth of a second for a second, after one that lets the instance learn the limit. */
async function sendForASecond (context: ForwardingContext): Promise<RecordingResponder[]> {
  const responders = [send(context)]
  await responders[0]
  for (let index = 0; index < 20; index += 1) {
    await new Promise((resolve) => setTimeout(resolve, 50))
    responders.push(send(context))
  }
  return await Promise.all(responders)
}

describe('a server that names a limit', () => {
  // Guards against more requests to a server than it takes.
  test('gets no more requests than that, and the rest goes to another server', async () => {
    const limited = await startServer(String(LIMIT_PER_S))
    const other = await startServer(null)
    const responders = await sendForASecond(createContext([limited, other]))
    expect(limited.arrivals).toBeLessThanOrEqual(MOST_IN_ONE_SECOND)
    expect(new Set(responders.map(({ status }) => status))).toEqual(new Set([200]))
  })

  // Guards against requests that wait for a server that will not take them, and against untrue refusals.
  test('is spared by refusals at once, which tell when to return, if there is no other server', async () => {
    const limited = await startServer(String(LIMIT_PER_S))
    const context = createContext([limited])
    const responders = await sendForASecond(context)
    expect(limited.arrivals).toBeLessThanOrEqual(MOST_IN_ONE_SECOND)
    const refused = responders.filter(({ ending }) => ending === 'refused')
    expect(refused.length + limited.arrivals).toBe(responders.length)
    expect(new Set(refused.map(({ refusal }) => refusal))).toEqual(new Set(['rate-limited']))
    expect(refused.every(({ retryAfterMs }) => retryAfterMs !== null && retryAfterMs > 0)).toBe(true)
  })

  test('gets its share back once it names no limit any more', async () => {
    const limited = await startServer('1')
    const context = createContext([limited])
    await send(context)
    limited.limit = null
    await sendForASecond(context)
    await new Promise((resolve) => setTimeout(resolve, 300))
    await send(context)
    const before = limited.arrivals
    await sendForASecond(context)
    expect(limited.arrivals - before).toBe(21)
  })

  test.each([
    ['no number', 'soon', 21],
    ['a negative number', '-3', 21],
    ['an exponent', '1e300', 21],
    ['a huge number', '999999999999', 21],
    ['several numbers', '3, 4', 21],
    ['zero', '0', 3]
  ])('harms nothing with a limit that is %s', async (_name, limit, mostArrivals) => {
    const limited = await startServer(limit)
    const other = await startServer(null)
    const context = createContext([limited, other])
    const responders = await sendForASecond(context)
    expect(new Set(responders.map(({ status }) => status))).toEqual(new Set([200]))
    expect(limited.arrivals).toBeLessThanOrEqual(mostArrivals)
  })
})
