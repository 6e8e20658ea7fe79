import { afterEach, describe, expect, test } from '@jest/globals'
import { once } from 'node:events'
import type { Server } from 'node:http'
import { type AddressInfo, connect } from 'node:net'
import { createCallerListener } from '../../platform/caller-listener.js'
import type { CallerRequest, Responder } from '../../src/gateway/caller-request.js'
import type { ResponseHead } from '../../src/gateway/http-exchange.js'
import { ListenerName } from '../../src/gateway/connection-limits.js'
import { GatewayRefusal } from '../../src/gateway/refusal.js'
import { recordingLog, unboundedBuffers, usualConnectionLimits } from '../gateway/gateway-fixtures.js'

let server: Server | undefined

afterEach(() => { server?.close() })

/** Sends raw bytes to a listener and returns everything that it sends back until it closes the connection or `until` arrives. */
async function sendRaw (bytes: string, options: { serve: (request: CallerRequest, responder: Responder) => void, stopping?: boolean, until?: string, onError?: (error: NodeJS.ErrnoException) => void }): Promise<string> {
  server = createCallerListener({
    connectionLimits: usualConnectionLimits(ListenerName.Callers),
    serve: options.serve,
    longestWaitMs: () => 5000,
    limits: () => ({ headerBytes: 1000, bodyBytes: 10, headerTimeoutMs: 1000, idleTimeoutMs: 1000 }),
    buffers: unboundedBuffers(),
    stopping: () => options.stopping ?? false,
    log: recordingLog(),
    nowMs: () => 0
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let text = ''
  socket.on('data', (chunk) => {
    text += chunk.toString()
    if (options.until !== undefined && text.includes(options.until)) socket.destroy()
  })
  socket.on('error', (error) => options.onError?.(error))
  socket.write(bytes)
  await new Promise((resolve) => socket.once('close', resolve))
  server.close()
  return text.replace(/Date: .*\r\n/, '')
}

function headWith (rawHeaders: string[]): ResponseHead {
  return { status: 200, statusText: 'OK', headers: {}, rawHeaders, message: null as never, endsWithConnection: false, reusedConnection: false, wasReset: () => false, isComplete: () => true }
}

const requestHead = 'GET /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n'

describe('createCallerListener', () => {
  test('decodes a request and removes hop-by-hop headers and headers that only the gateway may set', async () => {
    let received: CallerRequest | undefined
    await sendRaw('POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 900\r\nX-Token-Counts: 1460,80\r\nX-Length-Hint: 55\r\nX-Prompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\nLast-Event-Id: 7\r\nX-Stage: decode\r\nX-Hold: h\r\nKv-Fetch: 1.1.1.1:1\r\nX-Expect-Instance: i\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\nX-Model: m\r\nContent-Length: 2\r\n\r\nok', {
      serve: (request, responder) => {
        received = request
        responder.refuse(GatewayRefusal.NoServer, 250)
      }
    })
    expect({ ...received, body: received?.body.toString() }).toMatchSnapshot()
  })

  // Guards against a part of a response that looks complete when the process that sends it is killed.
  test('sends a response without a length in chunks, or with its length if that is known', async () => {
    const respond = (bodyBytes?: number) => (_request: CallerRequest, responder: Responder): void => {
      responder.writeHead(headWith(['X-Response-Signature', 's', 'Connection', 'close']), bodyBytes)
      responder.write(Buffer.from('whole'))
      responder.end()
    }
    const send = async (head: string, bodyBytes?: number): Promise<string> => await sendRaw(`${head}Connection: close\r\n\r\n`, { serve: respond(bodyBytes) })
    const oldHead = requestHead.replace('HTTP/1.1', 'HTTP/1.0')
    expect([await send(requestHead), await send(requestHead, 5), await send(oldHead), await send(oldHead, 5)]).toMatchSnapshot()
  })

  test.each([
    ['HEAD', 200],
    ['GET', 204],
    ['GET', 304]
  ])('adds neither a length nor chunks to a response without a body: %s, %i', async (method, status) => {
    const text = await sendRaw(`${requestHead.replace('GET', method)}Connection: close\r\n\r\n`, {
      serve: (_request, responder) => {
        responder.writeHead({ ...headWith(['X-Response-Signature', 's']), status }, 0)
        responder.end()
      }
    })
    expect(text).toBe(`HTTP/1.1 ${status} OK\r\nX-Response-Signature: s\r\nConnection: close\r\n\r\n`)
  })

  // Guards against an aborted response that looks complete, since the end of the connection is the end of a response without a length.
  test('resets the connection when a response without a length is aborted for a caller of HTTP/1.0', async () => {
    const errors: string[] = []
    await sendRaw(`${requestHead.replace('HTTP/1.1', 'HTTP/1.0')}\r\n`, {
      onError: (error) => errors.push(error.code ?? ''),
      serve: (_request, responder) => {
        responder.writeHead(headWith(['X-Response-Signature', 's']))
        responder.write(Buffer.from('part'))
        setTimeout(() => responder.abort(), 20)
      }
    })
    expect(errors).toEqual(['ECONNRESET'])
  })

  // Guards against an aborted response that looks complete to a caller of HTTP/1.1.
  test('closes the connection without the last chunk when a response without a length is aborted', async () => {
    const text = await sendRaw(`${requestHead}\r\n`, {
      serve: (_request, responder) => {
        responder.writeHead(headWith(['X-Response-Signature', 's']))
        responder.write(Buffer.from('part'))
        setTimeout(() => responder.abort(), 20)
      }
    })
    expect(text).toMatch(/Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n$/)
  })

  // Guards against an aborted response that looks complete to a caller of HTTP/1.0, which gets no chunks.
  test('resets the connection when a response in chunks is aborted for a caller of HTTP/1.0', async () => {
    const errors: string[] = []
    await sendRaw(`${requestHead.replace('HTTP/1.1', 'HTTP/1.0')}\r\n`, {
      onError: (error) => errors.push(error.code ?? ''),
      serve: (_request, responder) => {
        responder.writeHead(headWith(['Transfer-Encoding', 'chunked']))
        responder.write(Buffer.from('part'))
        setTimeout(() => responder.abort(), 20)
      }
    })
    expect(errors).toEqual(['ECONNRESET'])
  })

  test('closes the connection after each response while the instance is shutting down', async () => {
    const text = await sendRaw(`${requestHead}\r\n`, {
      stopping: true,
      serve: (_request, responder) => {
        responder.writeHead(headWith(['Content-Length', '2']))
        responder.write(Buffer.from('ok'))
        responder.end()
      }
    })
    expect(text).toBe('HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok')
  })

  test('sends a refusal with its reason and the time after which to retry', async () => {
    const text = await sendRaw(`${requestHead}\r\n`, { until: '}', serve: (_request, responder) => responder.refuse(GatewayRefusal.Overloaded, 1500) })
    expect(text).toMatchSnapshot()
  })

  test('refuses a request whose body exceeds the limit, without serving it', async () => {
    const text = await sendRaw(`POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n${'x'.repeat(20)}`, { serve: () => { throw new Error('served') } })
    expect(text).toMatch(/^HTTP\/1.1 413 /)
  })
})
