import type { Log } from '../logs/log.js'
import { type BackendServer, incarnationOf } from './backend.js'
import type { BackendClient } from './backend-client.js'
import { BackendTable, type BackendChange, RETURN_GRACE_MS } from './backend-table.js'
import type { CallerRequest, Responder } from './caller-request.js'
import { type Configuration, type EngineConfiguration, RouteKind } from './configuration.js'
import type { GatewayMetrics } from './gateway-metrics.js'
import type { GatewaySettings } from './gateway-settings.js'
import { InstanceTable, type InstanceStatus } from './instance-table.js'
import { OrderTokenIssuer, type OrderRecord } from './order-token-issuer.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import { PendingRequest } from './pending-request.js'
import { schedulerHandlers, PlacementClient } from './placement-client.js'
import { MEMORY_FILL, PlacementScheduler } from './placement-scheduler.js'
import { forwardPlain } from './plain-forwarding.js'
import { GatewayRefusal, refusalStatus } from './refusal.js'
import { RetryBudget } from './retry-budget.js'
import { RoleRebalancer } from './role-rebalancer.js'
import { chooseService, RouteTable } from './route-table.js'
import { ServerHealth } from './server-health.js'
import { applySettings } from './settings-reload.js'
import { encodeLivenessDigest, decodeLivenessDigest } from './liveness-digest.js'
import { type PlatformStore, type StoreChange, StoreChangeKind, type StoreListing } from './platform-store.js'
import { forwardStream, type StreamForwarding } from './stream-forwarding.js'

/** A started instance takes no requests for this long, in milliseconds: it must have heard the heartbeats of the others, or it takes itself for the keeper. */
const LISTEN_MS = 700

/** A new keeper waits this long for the instances' reports before it places anything, in milliseconds; they come each 300. */
const LEARN_MS = 400

/** Callers that meet an instance without a configuration or one that stops return after this time, in milliseconds. */
const ELSEWHERE_MS = 50

/** Known instances named in each heartbeat, so that the knowledge of new ones spreads without the store. */
const NAMED_IN_HEARTBEAT = 4

interface GatewayOptions {
  settings: GatewaySettings
  backendClient: BackendClient
  store: PlatformStore
  log: Log
  metrics: GatewayMetrics
  send: (ips: string[], message: PeerDatagram) => void
  nowMs: () => number
  random: () => number
}

/** One entry instance: what it knows, and how each request goes. */
export class Gateway {
  readonly #options: GatewayOptions
  readonly backends: BackendTable
  readonly instances: InstanceTable
  readonly #health: ServerHealth
  readonly #desk: PlacementScheduler
  readonly #ownDesk: PlacementScheduler
  readonly #roles: RoleRebalancer
  readonly orders: OrderTokenIssuer
  readonly #placing: PlacementClient
  readonly #forwarding: StreamForwarding
  readonly #pending = new Set<PendingRequest>()
  readonly #kept = new Set<string>()
  #configuration: Configuration | null = null
  #routes: RouteTable | null = null
  #storeRevision = 0
  #reachesStore = false
  readonly #startedMs: number
  #listed = false
  #stopping = false
  #refusing = false
  /** Told when a request begins to wait for a place. */
  onWaiting: () => void = () => {}

  constructor (options: GatewayOptions) {
    this.#options = options
    const { settings, nowMs, log } = options
    this.#startedMs = nowMs()
    this.backends = new BackendTable({ nowMs, onChange: (change) => this.#onBackend(change) })
    this.instances = new InstanceTable({ ip: settings.ip, nowMs, processorShare: settings.processor.share * settings.processor.speed, random: options.random })
    for (const ip of settings.seeds) this.instances.addAddress(ip)
    this.#health = new ServerHealth({ nowMs })
    const engine = (service: string): EngineConfiguration | null => this.#routes?.service(service)?.engine ?? null
    this.#desk = new PlacementScheduler({ nowMs, backends: this.backends, engine, expected: settings.expectedRequest, isChanging: (id) => this.#roles.isChanging(id), onWaiting: () => this.onWaiting() })
    this.orders = new OrderTokenIssuer({ store: options.store, holder: settings.id, turnMs: () => settings.orderTurnMs, log, nowMs })
    this.#roles = new RoleRebalancer({
      backends: this.backends,
      backendClient: options.backendClient,
      authority: this.orders,
      holder: settings.id,
      mix: (service) => this.#desk.mix(service),
      load: (backend) => this.#desk.load(backend),
      log,
      nowMs
    })
    this.#ownDesk = new PlacementScheduler({ nowMs, backends: this.backends, engine, expected: settings.expectedRequest, isChanging: (id) => this.#roles.isChanging(id), fill: () => MEMORY_FILL / this.instances.servingCount(), onWaiting: () => this.onWaiting() })
    this.#placing = new PlacementClient({
      ip: settings.ip,
      failureDomain: settings.failureDomain,
      instances: this.instances,
      desk: this.#desk,
      ownDesk: this.#ownDesk,
      engine,
      serves: () => !this.#stopping,
      send: (ip, message) => options.send([ip], message),
      log,
      nowMs
    })
    this.#forwarding = {
      backends: this.backends,
      backendClient: options.backendClient,
      health: this.#health,
      retryBudget: new RetryBudget({ nowMs, allowance: () => settings.repeats, instances: () => this.instances.knownCount() }),
      failureDomain: settings.failureDomain,
      log,
      nowMs,
      random: options.random,
      placer: this.#placing
    }
  }

  get ready (): boolean {
    const listening = this.#options.nowMs() - this.#startedMs < LISTEN_MS + this.instances.propagationMs()
    return this.#routes !== null && this.#listed && !this.#stopping && !listening
  }

  get stopping (): boolean {
    return this.#stopping
  }

  get waitingForPlace (): number {
    return this.#desk.waitingCount + this.#ownDesk.waitingCount
  }

  get inFlight (): number {
    return this.#pending.size
  }

  get configuration (): Configuration | null {
    return this.#configuration
  }

  get storeRevision (): number {
    return this.#storeRevision
  }

  /** The newest configuration wins; an older one is never put in force again. */
  apply (configuration: Configuration, from: string): void {
    const before = this.#configuration?.version ?? -Infinity
    if (configuration.version <= before) return
    this.#configuration = configuration
    this.#routes = new RouteTable(configuration)
    this.#options.metrics.configurationVersion.set(configuration.version)
    this.#options.log.info('configuration.applied', { version: configuration.version, before: Number.isFinite(before) ? before : 'none', from, routes: configuration.routes.length })
  }

  takeListing (listing: StoreListing): void {
    const backends: BackendServer[] = []
    for (const change of listing.changes) {
      if (change.kind === StoreChangeKind.Backend) backends.push(change.backend)
      else this.takeChange(change, listing.revision)
    }
    this.#storeRevision = Math.max(this.#storeRevision, listing.revision)
    this.#listed = true
    this.backends.replaceAll(backends)
  }

  takeChange (change: StoreChange, revision: number): void {
    this.#storeRevision = Math.max(this.#storeRevision, revision)
    const handler = changeHandlers[change.kind] as (gateway: Gateway, change: StoreChange) => void
    handler(this, change)
  }

  /** Puts changed settings in force. */
  reload (next: GatewaySettings): void {
    const { settings, log } = this.#options
    const { applied, waiting } = applySettings(settings, next)
    for (const ip of settings.seeds) this.instances.addAddress(ip)
    if (applied.length + waiting.length > 0) log.info('settings.reloaded', { applied: applied.join() || 'none', atNextStart: waiting.join() || 'none' })
  }

  noteOrder (service: string, record: OrderRecord): void {
    this.orders.observe(service, record)
    if (record.holder !== this.#options.settings.id) this.#roles.noteForeignOrder(record.server)
  }

  takeUnreadable ({ key, detail, backendId }: Extract<StoreChange, { kind: StoreChangeKind.Unreadable }>): void {
    this.#options.log.warn('store.unreadable', { key, detail })
    // What it said before is overwritten: nothing tells whether the server is still there.
    if (backendId !== null) this.backends.remove(backendId)
  }

  /** Takes what a peer that reaches the store knows. */
  takePeerSnapshot (from: string, revision: number, configuration: Configuration | null, backends: BackendServer[]): void {
    if (configuration !== null) this.apply(configuration, from)
    if (revision <= this.#storeRevision) return
    this.#storeRevision = revision
    this.#listed = true
    this.backends.replaceAll(backends)
    this.#options.log.info('snapshot.taken', { from, revision, servers: backends.length })
  }

  noteStoreContact (reached: boolean): void {
    this.#reachesStore = reached
    this.backends.markOutage()
    if (reached) setTimeout(() => this.backends.expire(), RETURN_GRACE_MS + 1)
  }

  /** A live instance whose view of the store is newer than this one's, when the store can't be reached or something newer is in force there. */
  newerPeer (): InstanceStatus | undefined {
    const ownVersion = this.#configuration?.version ?? -Infinity
    const newer = this.instances.live().filter((peer) => peer.configurationVersion > ownVersion ||
      (!this.#reachesStore && peer.reachesStore && peer.storeRevision > this.#storeRevision))
    return newer[Math.floor(this.#options.random() * newer.length)]
  }

  status (): InstanceStatus {
    const { settings } = this.#options
    return {
      ip: settings.ip,
      failureDomain: settings.failureDomain,
      callers: settings.listeners.callers,
      ready: this.ready,
      configurationVersion: this.#configuration?.version ?? -1,
      storeRevision: this.#storeRevision,
      reachesStore: this.#reachesStore,
      processorShare: settings.processor.share * settings.processor.speed
    }
  }

  heartbeat (targets: string[] = this.instances.heartbeatTargets()): void {
    const named = this.instances.knownAddresses()
    const start = Math.floor(this.#options.random() * named.length)
    const known = Array.from({ length: Math.min(NAMED_IN_HEARTBEAT, named.length) }, (_, index) => named[(start + index) % named.length] ?? '')
    const message: PeerDatagram = { kind: PeerDatagramKind.Heartbeat, status: this.status(), known, sightings: encodeLivenessDigest(this.instances.livenessEntries()) }
    this.#options.send(targets, message)
  }

  /** Work that is due a few times a second. */
  tick (): void {
    this.#noteKeeping()
    if (this.#reachesStore && !this.#stopping) this.#considerRoles()
    this.#desk.tick()
    this.#ownDesk.tick()
  }

  report (): void {
    this.#placing.report()
  }

  takeDatagram (from: string, message: PeerDatagram): void {
    if (message.kind === PeerDatagramKind.Heartbeat) {
      // An instance that has just come up waits for the heartbeats of the others before it serves.
      if (this.instances.recordHeartbeat(message.status)) this.heartbeat([from])
      for (const ip of message.known) this.instances.addAddress(ip)
      for (const sighting of decodeLivenessDigest(message.sightings)) this.instances.mergeLiveness(sighting)
      return
    }
    if (message.kind === PeerDatagramKind.Place) return this.#placeFor(from, message)
    const handler = schedulerHandlers[message.kind] as ((desk: PlacementScheduler, message: PeerDatagram) => void) | undefined
    if (handler === undefined) this.#placing.answered(message)
    else handler(this.#desk, message)
  }

  /** Serves one attempt of a caller; every way ends in one answer, one refusal or the caller's leaving. */
  serve (request: CallerRequest, responder: Responder): void {
    const route = this.#routes?.select(request.host, request.path)
    if (route === undefined) return this.#refuseUnrouted(request, responder)
    if (this.#refusing) return this.#refuseAtOnce(request, responder, GatewayRefusal.Stopping, ELSEWHERE_MS)
    const service = chooseService(route, this.#options.random())
    if (service === undefined) return this.#refuseAtOnce(request, responder, GatewayRefusal.NoServer, ELSEWHERE_MS)
    const pending = new PendingRequest({ request, route, service, responder, nowMs: this.#options.nowMs })
    this.#pending.add(pending)
    pending.onEnd = (ending) => {
      this.#pending.delete(pending)
      this.#options.metrics.countEnd(route.kind, ending, pending.ageMs())
      this.#options.log.info('request.ended', {
        request: request.id,
        route: route.name,
        service,
        ending,
        ms: Math.round(pending.ageMs()),
        sentTo: [...pending.sentTo].join(',') || 'none',
        ...pending.notes,
        configuration: this.#routes?.version ?? -1,
        storeRevision: this.#storeRevision
      })
    }
    this.#forwarding.retryBudget.addRequest(service)
    const work = request.work !== null && this.#routes?.service(service)?.engine != null
    const forwarded = route.kind === RouteKind.Streaming && work ? forwardStream(this.#forwarding, pending) : forwardPlain(this.#forwarding, pending)
    forwarded.catch((error: unknown) => {
      this.#options.log.error('request.fault', { request: request.id, detail: error instanceof Error ? String(error.stack) : String(error) })
      pending.refuse(pending.sentTo.size > 0 ? GatewayRefusal.OutcomeUnknown : GatewayRefusal.NoServer)
    })
  }

  /** Stops taking part: not ready, out of the directory, no keeper. Requests are still served. */
  stop (): void {
    this.#stopping = true
    this.heartbeat(this.instances.knownAddresses())
  }

  /** Refuses what still arrives: there is no time left to finish it. */
  refuseNew (): void {
    this.#refusing = true
  }

  dump (): unknown {
    return {
      status: this.status(),
      listed: this.#listed,
      stopping: this.#stopping,
      inFlight: [...this.#pending].map(({ request, route }) => ({ id: request.id, route: route.name })),
      backends: this.backends.all(),
      instances: this.instances.live(),
      desk: this.#desk.dump()
    }
  }

  #placeFor (from: string, { request }: Extract<PeerDatagram, { kind: PeerDatagramKind.Place }>): void {
    const { id } = request
    const placed = this.#desk.placementOf(id)
    if (placed !== null) return this.#options.send([from], { kind: PeerDatagramKind.Placed, id, ...placed })
    const waits = this.#desk.isWaiting(id) || this.#desk.submit(request, (decision) => {
      this.#options.send([from], 'refusal' in decision
        ? { kind: PeerDatagramKind.Refused, id, ...decision }
        : { kind: PeerDatagramKind.Placed, id, ...decision })
    })
    if (waits) this.#options.send([from], { kind: PeerDatagramKind.Waiting, id })
  }

  /** Learns the runs of the fleet when this instance becomes the keeper of a service. */
  #noteKeeping (): void {
    for (const service of this.#configuration?.services ?? []) {
      if (service.engine === null) continue
      const keeps = this.instances.coordinatorOf(service.name, !this.#stopping) === this.#options.settings.ip
      if (keeps === this.#kept.has(service.name)) continue
      if (keeps) {
        this.#kept.add(service.name)
        this.#desk.warmUpFor(LEARN_MS)
      } else {
        this.#kept.delete(service.name)
      }
      this.#options.log.info('keeper.changed', { service: service.name, keeps, instances: this.instances.servingCount() })
    }
  }

  #considerRoles (): void {
    for (const service of this.#kept) {
      this.#roles.rebalance(service).catch((error: unknown) => this.#options.log.error('role.fault', { service, detail: String(error) }))
    }
  }

  #onBackend ({ kind, backend }: BackendChange): void {
    this.#options.log.info(`server.${kind}`, { server: backend.id, service: backend.service, address: backend.address, stage: backend.stage, state: backend.state, revision: this.#storeRevision })
    if (kind === 'removed' || kind === 'restarted') this.#desk.forgetRunner(backend)
    const all = this.backends.all()
    this.#health.retain(new Set(all.map(incarnationOf)))
    this.#desk.retain(all)
    this.#ownDesk.retain(all)
  }

  #refuseUnrouted (request: CallerRequest, responder: Responder): void {
    if (this.#routes === null) return this.#refuseAtOnce(request, responder, GatewayRefusal.NoConfiguration, ELSEWHERE_MS)
    this.#refuseAtOnce(request, responder, GatewayRefusal.UnknownRoute, null)
  }

  #refuseAtOnce (request: CallerRequest, responder: Responder, refusal: GatewayRefusal, retryAfterMs: number | null): void {
    this.#options.log.info('request.refused', { request: request.id, host: request.host, path: request.path, refusal, status: refusalStatus[refusal], version: this.#routes?.version ?? -1 })
    this.#options.metrics.countEnd('none', refusal, 0)
    responder.refuse(refusal, retryAfterMs)
  }
}

type ChangeHandlers = { [K in StoreChangeKind]: (gateway: Gateway, change: Extract<StoreChange, { kind: K }>) => void }

const changeHandlers: ChangeHandlers = {
  [StoreChangeKind.Configuration]: (gateway, { configuration }) => gateway.apply(configuration, 'store'),
  [StoreChangeKind.Backend]: (gateway, { backend }) => gateway.backends.put(backend),
  [StoreChangeKind.BackendRemoved]: (gateway, { id }) => gateway.backends.remove(id),
  [StoreChangeKind.Instance]: (gateway, { ip }) => gateway.instances.addAddress(ip),
  // An instance is taken for gone only when it falls silent: its key may have been taken away while it serves.
  [StoreChangeKind.InstanceRemoved]: () => {},
  [StoreChangeKind.OrderRecord]: (gateway, { service, record }) => gateway.noteOrder(service, record),
  [StoreChangeKind.Unreadable]: (gateway, change) => gateway.takeUnreadable(change)
}
