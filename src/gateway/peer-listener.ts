import { createServer, type Server } from 'node:http'
import type { Gateway } from './gateway.js'
import type { GatewayMetrics } from './gateway-metrics.js'
import { SNAPSHOT_CODING, SNAPSHOT_PATH, SnapshotEncoder, type SnapshotSource } from './peer-snapshot.js'

/** Creates the listener from which other instances fetch snapshots. */
export function createPeerListener (source: SnapshotSource): Server {
  const encoder = new SnapshotEncoder({ source })
  return createServer((request, response) => {
    request.resume()
    if (request.url !== SNAPSHOT_PATH) response.writeHead(404).end()
    else if (request.headers['accept-encoding'] === SNAPSHOT_CODING) response.writeHead(200, { 'Content-Type': 'application/cbor', 'Content-Encoding': SNAPSHOT_CODING }).end(encoder.compressed())
    else response.writeHead(200, { 'Content-Type': 'application/cbor' }).end(encoder.plain())
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
