import type { Log } from '../logs/log.js'
import { incarnationOf } from './backend.js'
import type { BackendClient } from './backend-client.js'
import { BackendTable, type BackendChange } from './backend-table.js'
import type { CallerRequest, Responder } from './caller-request.js'
import { ConfigurationLag } from './configuration-lag.js'
import { type Configuration, type EngineConfiguration, RouteKind } from './configuration.js'
import { CoordinatedServices } from './coordinated-services.js'
import { decisionRecorder } from './decision-record.js'
import { RETRY_ELSEWHERE_MS } from './forwarding.js'
import type { GatewayMetrics } from './gateway-metrics.js'
import type { GatewaySettings } from './gateway-settings.js'
import { Heartbeats } from './heartbeats.js'
import { InstanceTable, type InstanceStatus } from './instance-table.js'
import { OrderTokenIssuer } from './order-token-issuer.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import type { PeerSnapshot } from './peer-snapshot.js'
import { PendingRequest } from './pending-request.js'
import { PlaceSharing } from './place-sharing.js'
import { answerPlacementRequest, schedulerHandlers, PlacementClient } from './placement-client.js'
import { MEMORY_FILL_SHARE, PlacementScheduler } from './placement-scheduler.js'
import { forwardPlain } from './plain-forwarding.js'
import { GatewayRefusal, refusalStatus } from './refusal.js'
import type { PromptQuarantine } from './prompt-quarantine.js'
import { QuarantineSharing } from './quarantine-sharing.js'
import { endAfterFault } from './request-fault.js'
import { RetryBudget } from './retry-budget.js'
import { RoleRebalancer } from './role-rebalancer.js'
import { chooseService, longestWaitMs, RouteTable } from './route-table.js'
import { ServerHealth } from './server-health.js'
import { ServerPauses } from './server-pauses.js'
import { applySettings } from './settings-reload.js'
import type { PlatformStore, StoreChange, StoreListing } from './platform-store.js'
import type { StorePosition } from './store-position.js'
import { StartupQueue } from './startup-queue.js'
import { forwardStream, type StreamForwardingContext } from './stream-forwarding.js'
import { LeavingSharing } from './leaving-sharing.js'
import { KeyCheck } from './key-check.js'
import { LateAcceptance } from './late-acceptance.js'
import { LimitSharing } from './limit-sharing.js'
import { QuotaCheck } from './quota-check.js'
import { QuotaSharing } from './quota-sharing.js'
import { StoreRelay } from './store-relay.js'
import { StoreView } from './store-view.js'

/** Minimum time after the start of an instance for which it is not ready, in milliseconds; a large fleet adds the propagation time of liveness entries. Before the instance has received the heartbeats of the others, it would consider itself the coordinator. */
const STARTUP_LISTEN_MS = 700

/** Time that a new coordinator waits before it places anything, in milliseconds: the other instances report their runs every 300 ms. */
const COORDINATOR_WARM_UP_MS = 400

/** Retry delay given to callers while no instance is known to have a configuration, in milliseconds; a random addition of up to the same amount keeps them from returning all at once. */
const STARTUP_RETRY_AFTER_MS = 700

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

/** One gateway instance: holds its view of the configuration, the backend servers and the other instances, and serves the requests of callers. */
export class Gateway {
  readonly #options: GatewayOptions
  readonly backends: BackendTable
  readonly instances: InstanceTable
  readonly #health: ServerHealth
  /** Places the requests of all instances for the services that this instance coordinates. */
  readonly #scheduler: PlacementScheduler
  /** Places the requests of this instance when no coordinator answers. It fills only an equal share of the runners' memory, because the other serving instances may place requests too. */
  readonly #localScheduler: PlacementScheduler
  readonly #roleRebalancer: RoleRebalancer
  readonly orderTokenIssuer: OrderTokenIssuer
  readonly #placementClient: PlacementClient
  readonly #forwardingContext: StreamForwardingContext
  readonly #quarantineSharing: QuarantineSharing
  readonly limitSharing: LimitSharing
  readonly leavingSharing: LeavingSharing
  readonly quotaSharing: QuotaSharing
  readonly #quotaCheck: QuotaCheck
  readonly placeSharing: PlaceSharing
  /** Servers that have turned this instance away for a time. */
  readonly pauses: ServerPauses
  readonly #pendingRequests = new Set<PendingRequest>()
  readonly #coordinatedServices: CoordinatedServices
  #configuration: Configuration | null = null
  #routes: RouteTable | null = null
  readonly heartbeats: Heartbeats
  readonly #storeView: StoreView
  readonly storeRelay: StoreRelay
  readonly #configurationLag: ConfigurationLag
  readonly #startedMs: number
  #stopping = false
  readonly #keyCheck = new KeyCheck({ routes: () => this.#routes, mayLackNewKeys: () => this.configurationBehindMs > 0 })
  readonly #lateAcceptance = new LateAcceptance({ nowMs: () => this.#options.nowMs() })
  #refusesNewRequests = false
  readonly #startupQueue = new StartupQueue({
    isServedElsewhere: () => this.instances.servingCount() > 1,
    serve: (request, responder) => this.serve(request, responder),
    refuse: (request, responder) => this.#refuseUnconfigured(request, responder)
  })

  /** Called when a request begins to wait for a placement. */
  onWaiting: () => void = () => {}

  constructor (options: GatewayOptions) {
    this.#options = options
    const { settings, nowMs, log } = options
    this.#startedMs = nowMs()
    this.backends = new BackendTable({ nowMs, drainMs: () => settings.drainMs, hasSaidLeaving: (backend) => this.leavingSharing.notices.includes(backend), onChange: (change) => this.#onBackendChange(change) })
    this.instances = new InstanceTable({ ip: settings.ip, failureDomain: settings.failureDomain, nowMs, processorShare: settings.processor.share * settings.processor.speed, random: options.random })
    for (const ip of settings.seeds) this.instances.addAddress(ip)
    this.#health = new ServerHealth({ nowMs })
    this.#configurationLag = new ConfigurationLag({ nowMs, log })
    this.pauses = new ServerPauses({ nowMs, random: options.random, log })
    options.backendClient.onPause = (backend, retryAfterMs) => this.pauses.record(backend, retryAfterMs)
    this.leavingSharing = new LeavingSharing({ nowMs, log, backends: this.backends, backendClient: options.backendClient, instances: this.instances, send: options.send })
    this.limitSharing = new LimitSharing({ ip: settings.ip, nowMs, log, backends: this.backends, instances: this.instances, canCoordinate: () => !this.#stopping, send: options.send })
    this.quotaSharing = new QuotaSharing({ ip: settings.ip, nowMs, log, bounds: settings.quota, instances: this.instances, canCoordinate: () => this.ready, send: options.send })
    this.#quotaCheck = new QuotaCheck({ client: this.quotaSharing.client, version: () => this.#configuration?.version ?? -Infinity, log, metrics: options.metrics })
    this.placeSharing = new PlaceSharing({ ip: settings.ip, failureDomain: settings.failureDomain, nowMs, random: options.random, log, backends: this.backends, instances: this.instances, price: () => settings.crossing, canCoordinate: () => !this.#stopping, send: options.send, onWaiting: () => this.onWaiting() })
    const engine = (service: string): EngineConfiguration | null => this.#routes?.service(service)?.engine ?? null
    const onDecision = decisionRecorder(options)
    this.#scheduler = new PlacementScheduler({ nowMs, random: options.random, backends: this.backends, engine, memoryFillShare: () => this.#memoryFillShare(), placesBlindly: () => !this.ready, isChangingRole: (id) => this.isChangingRole(id), permits: this.limitSharing.permits, onWaiting: () => this.onWaiting(), onDecision, onRunnerFailure: (server) => this.#checkFailedRunner(server) })
    // A new coordinator places nothing at first, while the other instances report their runs.
    this.#coordinatedServices = new CoordinatedServices({ ip: settings.ip, instances: this.instances, canCoordinate: () => !this.#stopping, onGain: () => this.#scheduler.warmUpFor(COORDINATOR_WARM_UP_MS), log })
    this.orderTokenIssuer = new OrderTokenIssuer({ store: options.store, holder: settings.id, turnMs: () => settings.orderTurnMs, log, nowMs })
    this.#roleRebalancer = new RoleRebalancer({ backends: this.backends, backendClient: options.backendClient, tokenIssuer: this.orderTokenIssuer, holder: settings.id, requestMix: (service) => this.#scheduler.requestMix(service), demand: (service) => this.#scheduler.demand(service), roleChangeMs: (service) => engine(service)?.roleChangeMs ?? 0, limitPerS: (backend) => this.limitSharing.permits.ratePerS(backend), load: (backend) => this.#scheduler.load(backend), isPaused: (backend) => this.pauses.isPaused(backend), log, nowMs })
    this.#localScheduler = new PlacementScheduler({ nowMs, random: options.random, backends: this.backends, engine, placesBlindly: () => true, isChangingRole: (id) => this.isChangingRole(id), memoryFillShare: () => MEMORY_FILL_SHARE / this.instances.servingCount(), permits: this.limitSharing.noPermits, onWaiting: () => this.onWaiting(), onDecision })
    this.heartbeats = new Heartbeats({ instances: this.instances, status: () => this.status(), sendReminders: (ips) => this.#sendReminders(ips), send: options.send, random: options.random })
    this.#storeView = this.#createStoreView()
    this.storeRelay = this.#createStoreRelay()
    this.#placementClient = new PlacementClient({
      ip: settings.ip,
      failureDomain: settings.failureDomain,
      instances: this.instances,
      scheduler: this.#scheduler,
      localScheduler: this.#localScheduler,
      engine,
      pauses: (service) => this.pauses.list(this.backends.all().filter((backend) => backend.service === service)),
      canCoordinate: () => !this.#stopping,
      send: (ip, message) => options.send([ip], message),
      log,
      nowMs
    })
    this.#quarantineSharing = new QuarantineSharing({ nowMs, log, send: options.send })
    this.#forwardingContext = {
      backends: this.backends,
      backendClient: options.backendClient,
      health: this.#health,
      retryBudget: new RetryBudget({ nowMs, allowance: () => settings.repeats, instanceCount: () => this.instances.knownCount() }),
      failureDomain: settings.failureDomain,
      log,
      nowMs,
      random: options.random,
      metrics: options.metrics,
      keyCheck: this.#keyCheck,
      limits: this.limitSharing.limits,
      limitClient: this.limitSharing.client,
      pauses: this.pauses,
      places: this.placeSharing.client,
      crossing: this.placeSharing.crossing,
      placer: this.#placementClient,
      quarantine: this.quarantine
    }
  }

  #createStoreView (): StoreView {
    const { settings, log, random } = this.#options
    return new StoreView({
      holder: settings.id,
      failureDomain: settings.failureDomain,
      backends: this.backends,
      instances: this.instances,
      orderTokenIssuer: this.orderTokenIssuer,
      applyConfiguration: (configuration, from) => this.applyConfiguration(configuration, from),
      configurationVersion: () => this.#configuration?.version ?? -Infinity,
      onPeerOrder: (server) => this.#roleRebalancer.recordPeerOrder(server),
      onListedOrder: (server) => this.#roleRebalancer.recordListedOrder(server),
      onListing: () => this.#releaseStartupQueue(),
      log,
      random
    })
  }

  #createStoreRelay (): StoreRelay {
    const { settings, send, nowMs } = this.#options
    return new StoreRelay({
      ip: settings.ip,
      failureDomain: settings.failureDomain,
      processorShare: settings.processor.share * settings.processor.speed,
      instances: this.instances,
      isCoordinator: () => this.#coordinatedServices.names().length > 0,
      position: () => this.storePosition,
      reachesStore: () => this.#storeView.reachesStore,
      graceLeftMs: () => this.backends.graceLeftMs,
      applyChanges: (changes, position, graceLeftMs) => {
        this.backends.extendGrace(graceLeftMs)
        this.#storeView.applyRelayed(changes, position)
      },
      send,
      nowMs
    })
  }

  get quarantine (): PromptQuarantine {
    return this.#quarantineSharing.quarantine
  }

  get ready (): boolean {
    const listening = this.#options.nowMs() - this.#startedMs < STARTUP_LISTEN_MS + this.instances.propagationMs()
    return this.#routes !== null && this.#storeView.hasListing && !this.#stopping && !listening
  }

  get stopping (): boolean {
    return this.#stopping
  }

  get waitingForPlacement (): number {
    return this.#scheduler.waitingCount + this.#localScheduler.waitingCount + this.placeSharing.scheduler.waitingCount
  }

  get inFlight (): number {
    return this.#pendingRequests.size + this.#startupQueue.size
  }

  get configuration (): Configuration | null {
    return this.#configuration
  }

  /** Time since a configuration newer than the active one became known, in milliseconds; 0 if there is none. */
  get configurationBehindMs (): number {
    return this.#configurationLag.behindMs()
  }

  /** Newest position of the store that has been applied. */
  get storePosition (): StorePosition {
    return this.#storeView.position
  }

  /** Activates a configuration if its version is newer than that of the active one; `from` is 'store' or the IP address of a peer. */
  applyConfiguration (configuration: Configuration, from: string): void {
    const previousVersion = this.#configuration?.version ?? -Infinity
    if (configuration.version <= previousVersion) return
    this.#configuration = configuration
    this.#routes = new RouteTable(configuration)
    this.#lateAcceptance.retain(configuration.routes)
    this.#options.metrics.configurationVersion.set(configuration.version)
    this.#options.log.info('configuration.applied', { version: configuration.version, before: Number.isFinite(previousVersion) ? previousVersion : 'none', from, routes: configuration.routes.length })
  }

  applyListing (listing: StoreListing): void {
    this.storeRelay.recordListing()
    this.#storeView.applyListing(listing)
  }

  applyChange (change: StoreChange, position: StorePosition): void {
    this.#storeView.applyChange(change, position)
  }

  /** Applies the changed settings that can change at run time, and logs which of the others wait for the next start. */
  reloadSettings (next: GatewaySettings): void {
    const { settings, log } = this.#options
    const { applied, deferred } = applySettings(settings, next)
    for (const ip of settings.seeds) this.instances.addAddress(ip)
    if (applied.length + deferred.length > 0) log.info('settings.reloaded', { applied: applied.join() || 'none', atNextStart: deferred.join() || 'none' })
  }

  /** While instances start, each may take itself for the coordinator, so each fills only an equal share of the runners' memory. */
  #memoryFillShare (): number {
    return this.ready ? MEMORY_FILL_SHARE : MEMORY_FILL_SHARE / (1 + this.instances.live().length)
  }

  isChangingRole (id: string): boolean {
    return this.#roleRebalancer.isChanging(id)
  }

  applyPeerSnapshot (from: string, snapshot: PeerSnapshot): void {
    this.#storeView.applySnapshot(from, snapshot)
  }

  recordStoreReachability (reached: boolean): void {
    this.#storeView.recordReachability(reached)
  }

  /** The instance from which a snapshot should be fetched; undefined if there is none with a newer state. */
  peerWithNewerState (): Pick<InstanceStatus, 'ip'> | undefined {
    const ip = this.storeRelay.snapshotSource()
    return ip === undefined ? this.#storeView.peerWithNewerState() : { ip }
  }

  status (): InstanceStatus {
    const { settings } = this.#options
    return {
      ip: settings.ip,
      failureDomain: settings.failureDomain,
      callers: settings.listeners.callers,
      ready: this.ready,
      configurationVersion: this.#configuration?.version ?? -1,
      storeEra: this.storePosition.era,
      storeRevision: this.storePosition.revision,
      reachesStore: this.#storeView.reachesStore,
      processorShare: settings.processor.share * settings.processor.speed
    }
  }

  /** Removes servers that have been missing for too long, updates which services this instance coordinates, rebalances the runner roles of these services and runs a scheduling pass. */
  tick (): void {
    this.backends.expire()
    this.#trackConfigurationLag()
    this.#quarantineSharing.sendChanges(this.instances.knownAddresses())
    this.limitSharing.sendChanges(this.instances.knownAddresses())
    this.#coordinatedServices.update(this.#configuration)
    this.quotaSharing.tick(this.#configuration)
    this.storeRelay.tick()
    if (!this.#storeView.reachesStore && !this.storeRelay.needsStore()) this.recordStoreReachability(true)
    if (this.#storeView.reachesStore && !this.#stopping) this.#rebalanceRoles()
    this.#scheduler.tick()
    this.#localScheduler.tick()
    this.placeSharing.tick()
  }

  sendReports (): void {
    this.#placementClient.sendReports()
  }

  handleDatagram (from: string, message: PeerDatagram): void {
    if (message.kind === PeerDatagramKind.Heartbeat) return this.heartbeats.receive(from, message)
    if (message.kind === PeerDatagramKind.Suspects) return this.quarantine.merge(from, message.suspects)
    const isHandled = [this.storeRelay, this.limitSharing, this.leavingSharing, this.quotaSharing, this.placeSharing].some((sharing) => sharing.handleDatagram(from, message))
    if (isHandled) return
    if (message.kind === PeerDatagramKind.Place) return answerPlacementRequest(this.#scheduler, message.request, (answer) => this.#options.send([from], answer))
    const handler = schedulerHandlers[message.kind] as ((scheduler: PlacementScheduler, message: PeerDatagram) => void) | undefined
    if (handler === undefined) this.#placementClient.handleAnswer(message)
    else handler(this.#scheduler, message)
  }

  /** Longest time from the arrival of a request until its refusal if it can't be served before, in milliseconds. */
  longestWaitMs (request: Pick<CallerRequest, 'host' | 'path' | 'deadlineMs'>): number {
    return longestWaitMs(request, this.#routes?.select(request.host, request.path))
  }

  /** Serves one request of a caller. The request ends exactly once: with a response, a refusal, an aborted response or the caller's disconnect. */
  serve (request: CallerRequest, responder: Responder): void {
    const route = this.#routes?.select(request.host, request.path)
    if (route === undefined) return this.#refuseUnrouted(request, responder)
    if (this.#refusesNewRequests || !this.#lateAcceptance.accepts(request, route)) return this.#refuseImmediately(request, responder, GatewayRefusal.Stopping, RETRY_ELSEWHERE_MS)
    // It may have waited behind another request on its connection, or for the first configuration.
    if (this.#options.nowMs() - request.arrivedMs >= longestWaitMs(request, route)) return this.#refuseImmediately(request, responder, GatewayRefusal.TimedOutBeforeRun, null)
    const organisation = this.#keyCheck.organisationOf(request, route)
    if (organisation === undefined) return this.#refuseImmediately(request, responder, ...this.#keyCheck.refusalOf(request))
    const service = chooseService(route, this.#options.random())
    if (service === undefined) return this.#refuseImmediately(request, responder, GatewayRefusal.NoServer, RETRY_ELSEWHERE_MS)
    const pending = new PendingRequest({ request, route, service, organisation, responder, nowMs: this.#options.nowMs })
    this.#pendingRequests.add(pending)
    pending.onEnd = (ending) => {
      this.#pendingRequests.delete(pending)
      if (ending === 'answered') this.#lateAcceptance.recordDuration({ request, route, durationMs: pending.ageMs(), firstPartMs: pending.firstPartMs })
      this.#options.metrics.countEnd(route.kind, ending, pending.ageMs())
      this.#options.log.info('request.ended', { ...pending.endFields(ending), configuration: this.#routes?.version ?? -1, storeRevision: this.storePosition.revision })
    }
    this.#quotaCheck.whenAdmitted(pending, () => this.#forward(pending))
  }

  #forward (pending: PendingRequest): void {
    const { request, route, service } = pending
    this.#forwardingContext.retryBudget.recordRequest(service)
    const isModelRequest = request.generationParameters !== null && this.#routes?.service(service)?.engine != null
    const forwarded = route.kind === RouteKind.Streaming && isModelRequest ? forwardStream(this.#forwardingContext, pending) : forwardPlain(this.#forwardingContext, pending)
    forwarded.catch((error: unknown) => endAfterFault(pending, error, this.#options.log))
  }

  /** Begins the shutdown: the instance is no longer ready, is not listed in the directory and coordinates no service. Requests that may end before `exitMs` are still served. */
  stop (exitMs = Infinity): void {
    this.#stopping = true
    this.#lateAcceptance.exitMs = exitMs
    this.heartbeats.introduce(this.instances.knownAddresses())
  }

  /** Refuses requests that arrive from now on, because there is no time left to finish them. */
  refuseNewRequests (): void {
    this.#refusesNewRequests = true
  }

  /** Ends all requests, because the process is about to exit; the answers say whether a request may have run. */
  endPendingRequests (): void {
    this.#startupQueue.refuseAll()
    for (const pending of [...this.#pendingRequests]) pending.onTimeout(GatewayRefusal.Stopping)
  }

  dump (): unknown {
    return {
      status: this.status(),
      listed: this.#storeView.hasListing,
      stopping: this.#stopping,
      inFlight: [...this.#pendingRequests].map(({ request, route }) => ({ id: request.id, route: route.name })),
      backends: this.backends.all(),
      instances: this.instances.live(),
      suspects: this.quarantine.reports(),
      limits: this.limitSharing.limits.reports(),
      leaving: this.leavingSharing.notices.reports(),
      pauses: this.pauses.list(this.backends.all()),
      quotas: this.quotaSharing.dump(),
      desk: this.#scheduler.dump()
    }
  }

  #trackConfigurationLag (): void {
    const { configurationVersion: own, storeRevision, reachesStore } = this.status()
    const newest = Math.max(own, ...this.instances.live().map(({ configurationVersion }) => configurationVersion))
    this.#configurationLag.update({ own, newest }, { reachesStore, storeRevision })
  }

  /** Number of decode runners that are clearly slower than usual. */
  get slowRunnerCount (): number {
    return this.#scheduler.slowRunnerCount
  }

  #rebalanceRoles (): void {
    for (const service of this.#coordinatedServices.names()) {
      this.#roleRebalancer.rebalance(service).catch((error: unknown) => this.#options.log.error('role.fault', { service, detail: String(error) }))
    }
  }

  #checkFailedRunner (server: string): void {
    this.#roleRebalancer.checkRunner(server).catch((error: unknown) => this.#options.log.error('role.fault', { server, detail: String(error) }))
  }

  #onBackendChange ({ kind, backend, source }: BackendChange): void {
    this.#options.log.info(`server.${kind}`, { server: backend.id, service: backend.service, address: backend.address, stage: backend.stage, state: backend.state, source, era: this.storePosition.era, revision: this.storePosition.revision })
    if (kind === 'removed' || kind === 'restarted') this.#scheduler.removeRunner(backend)
    const all = this.backends.all()
    const incarnations = new Set(all.map(incarnationOf))
    this.#health.retain(incarnations)
    this.limitSharing.retain(incarnations)
    this.placeSharing.scheduler.retain(incarnations)
    this.#scheduler.retain(all)
    this.#localScheduler.retain(all)
  }

  #refuseUnrouted (request: CallerRequest, responder: Responder): void {
    if (this.#routes === null) return this.#startupQueue.add(request, responder)
    this.#refuseImmediately(request, responder, GatewayRefusal.UnknownRoute, null)
  }

  #sendReminders (ips: string[]): void {
    this.#quarantineSharing.sendReminder(ips)
    this.limitSharing.sendReminder(ips)
    this.leavingSharing.sendReminder(ips)
  }

  #refuseUnconfigured (request: CallerRequest, responder: Responder): void {
    const retryAfterMs = this.instances.servingCount() > 1 ? RETRY_ELSEWHERE_MS : STARTUP_RETRY_AFTER_MS * (1 + this.#options.random())
    this.#refuseImmediately(request, responder, GatewayRefusal.NoConfiguration, retryAfterMs)
  }

  #releaseStartupQueue (): void {
    if (this.#routes !== null && this.#storeView.hasListing) this.#startupQueue.release()
  }

  #refuseImmediately (request: CallerRequest, responder: Responder, refusal: GatewayRefusal, retryAfterMs: number | null): void {
    this.#options.log.info('request.refused', { request: request.id, host: request.host, path: request.path, refusal, status: refusalStatus[refusal], version: this.#routes?.version ?? -1 })
    this.#options.metrics.countEnd('none', refusal, 0)
    responder.refuse(refusal, retryAfterMs)
  }
}
