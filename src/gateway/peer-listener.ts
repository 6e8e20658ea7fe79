import { createServer, type Server } from 'node:http'
import type { Gateway } from './gateway.js'
import type { GatewayMetrics } from './gateway-metrics.js'
import { encodeSnapshot, SNAPSHOT_PATH } from './peer-snapshot.js'

/** Creates the listener from which other instances fetch snapshots. */
export function createPeerListener (gateway: Gateway): Server {
  return createServer((request, response) => {
    request.resume()
    if (request.url !== SNAPSHOT_PATH) response.writeHead(404).end()
    else response.writeHead(200, { 'Content-Type': 'application/cbor' }).end(encodeSnapshot(gateway))
  })
}

/** Creates the listener for metrics and, on /state, for a dump of the gateway's state. */
export function createMetricsListener (gateway: Gateway, metrics: GatewayMetrics): Server {
  return createServer((request, response) => {
    request.resume()
    if (request.url === '/state') {
      response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(gateway.dump()))
      return
    }
    metrics.registry.metrics()
      .then((text) => response.writeHead(200, { 'Content-Type': metrics.registry.contentType }).end(text))
      .catch((error: unknown) => response.writeHead(500).end(String(error)))
  })
}
