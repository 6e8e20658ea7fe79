import type { BackendServer } from '../../src/gateway/backend.js'
import { RouteKind } from '../../src/gateway/configuration.js'
import { Gateway } from '../../src/gateway/gateway.js'
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js'
import { gatewaySettingsSchema } from '../../src/gateway/gateway-settings.js'
import { decodeDatagram, encodeDatagram, type PeerDatagram } from '../../src/gateway/peer-datagram.js'
import type { PlatformStore } from '../../src/gateway/platform-store.js'
import { seededRandom } from '../../src/runtime/random.js'
import { configuration, recordingLog, route, type ScriptedReaction, ScriptedBackendClient } from './gateway-fixtures.js'

const STEP_MS = 100
const HEARTBEAT_MS = 500

export interface FleetInstance {
  ip: string
  gateway: Gateway
  backendClient: ScriptedBackendClient
  log: ReturnType<typeof recordingLog>
  /** Until when it neither runs nor receives anything, in milliseconds. */
  pausedUntilMs: number
}

/** Several gateway instances with a common clock that exchange encoded datagrams and know the same servers. */
export class GatewayFleet {
  readonly instances: FleetInstance[] = []
  nowMs = 1000
  /** Whether a datagram between two addresses is lost. */
  loses: (from: string, to: string) => boolean = () => false
  readonly #servers: BackendServer[]
  readonly #respond: () => ScriptedReaction
  readonly #random = seededRandom(3)

  constructor (options: { instances: number, servers: BackendServer[], respond?: () => ScriptedReaction }) {
    this.#servers = options.servers
    this.#respond = options.respond ?? (() => 'silent')
    for (let index = 1; index <= options.instances; index += 1) this.join(`10.0.0.${index}`)
  }

  join (ip: string): FleetInstance {
    const log = recordingLog()
    const backendClient = new ScriptedBackendClient(this.#respond)
    const gateway = new Gateway({
      settings: gatewaySettingsSchema.parse({
        id: ip,
        ip,
        failureDomain: 'a',
        listeners: { callers: `${ip}:1`, readiness: `${ip}:2`, directory: `${ip}:3`, peerPort: 4, metricsPort: 5 },
        storeAddress: '10.9.0.1:1',
        repeats: { ratio: 0.2, slack: 50, windowS: 10 },
        seeds: this.instances.map((instance) => instance.ip)
      }),
      backendClient,
      store: {} as PlatformStore,
      log,
      metrics: new GatewayMetrics(),
      send: (to, message) => this.#deliver(ip, to, message),
      nowMs: () => this.nowMs,
      random: this.#random
    })
    gateway.applyConfiguration(configuration({ routes: [route(), route({ name: 'stream', pathPrefix: '/stream/', kind: RouteKind.Streaming, timeoutMs: 5000, services: [{ service: 'model', weight: 1 }] })] }), 'store')
    gateway.applyListing({ era: 0, revision: 1, changes: [] })
    for (const server of this.#servers) gateway.backends.put(server)
    const instance = { ip, gateway, backendClient, log, pausedUntilMs: 0 }
    this.instances.push(instance)
    return instance
  }

  leave (instance: FleetInstance): void {
    this.instances.splice(this.instances.indexOf(instance), 1)
  }

  run (durationMs: number): void {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      this.nowMs += STEP_MS
      for (const { gateway, pausedUntilMs } of this.instances) {
        if (pausedUntilMs > this.nowMs) continue
        if (this.nowMs % HEARTBEAT_MS === 0) gateway.heartbeats.sendPeriodic()
        gateway.tick()
      }
    }
  }

  #deliver (from: string, to: string[], message: PeerDatagram): void {
    const bytes = encodeDatagram(message)
    for (const ip of to) {
      const receiver = this.instances.find((instance) => instance.ip === ip)
      if (receiver === undefined || this.loses(from, ip) || receiver.pausedUntilMs > this.nowMs) continue
      receiver.gateway.handleDatagram(from, decodeDatagram(bytes) as PeerDatagram)
    }
  }
}
