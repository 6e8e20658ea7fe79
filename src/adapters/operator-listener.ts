import { createServer, type Server, type ServerResponse } from 'node:http'
import type { Registry } from 'prom-client'
import { dumpState } from './state-dump.js'

interface OperatorListenerOptions {
  registry: Registry
  /** The process's state, returned as JSON without secrets. */
  state: () => unknown
  ready: () => boolean
  /** Short report on the active bundle. */
  bundle: () => unknown
}

/** HTTP listener for operators: metrics, state, active bundle, health and readiness. */
export function createOperatorListener ({ registry, state, ready, bundle }: OperatorListenerOptions): Server {
  const handlers: Record<string, (response: ServerResponse) => Promise<void> | void> = {
    '/metrics': async (response) => send(response, 200, registry.contentType, await registry.metrics()),
    '/state': (response) => send(response, 200, 'application/json', JSON.stringify(dumpState(state()), null, 2)),
    '/bundle': (response) => send(response, 200, 'application/json', JSON.stringify(bundle())),
    '/healthz': (response) => send(response, 200, 'text/plain', 'ok\n'),
    '/readyz': (response) => ready() ? send(response, 200, 'text/plain', 'ready\n') : send(response, 503, 'text/plain', 'not ready\n')
  }
  return createServer((request, response) => {
    const handler = handlers[(request.url ?? '/').split('?')[0] ?? '/']
    if (handler === undefined) {
      send(response, 404, 'text/plain', `use one of ${Object.keys(handlers).join(' ')}\n`)
      return
    }
    Promise.resolve(handler(response)).catch(() => response.destroy())
  })
}

function send (response: ServerResponse, status: number, type: string, text: string): void {
  response.writeHead(status, { 'content-type': type })
  response.end(text)
}
