import { watchFile } from 'node:fs'
import type { Server } from 'node:http'
import type { Log } from '../logs/log.js'
import { formatFaults, loadSettings } from '../settings/load-settings.js'
import type { BufferBudget } from './buffer-budget.js'
import type { CallerLimits } from './configuration.js'
import type { Gateway } from './gateway.js'
import type { GatewayMetrics } from './gateway-metrics.js'
import { type GatewaySettings, gatewaySettingsSchema } from './gateway-settings.js'
import type { HttpExchangeClient } from './http-exchange.js'
import { HEARTBEAT_MS } from './instance-table.js'
import { createMetricsListener, createPeerListener } from './peer-listener.js'
import type { PeerDatagram } from './peer-datagram.js'
import { fetchSnapshot } from './peer-snapshot.js'
import { PeerSocket } from './peer-socket.js'
import { REPORT_PERIOD_MS } from './placement-client.js'
import type { PlatformStore } from './platform-store.js'
import { StoreWatcher } from './store-watcher.js'

/** Time between ticks while requests wait for placements, in milliseconds; a request waits at most this much longer than its `patienceMs`. */
const BUSY_TICK_MS = 25

/** Time between ticks while no request waits for a placement, in milliseconds; longer, because each tick wakes the process of every instance. */
const IDLE_TICK_MS = 100

/** Time between checks of the settings file, in milliseconds: the file may change without a signal, but rarely does. */
const SETTINGS_CHECK_MS = 5000

/** Time between checks for a peer with newer state, in milliseconds. */
const SNAPSHOT_CHECK_MS = 300

/** Time after SIGTERM for which new requests are still accepted, in milliseconds: callers use this instance until they query the directory again. */
const ACCEPT_AFTER_STOP_MS = 2700

/** Margin between the time at which the requests that still run are ended and the end of the grace period, when the process would be killed, in milliseconds. */
const EXIT_MARGIN_MS = 400

/** Part of EXIT_MARGIN_MS that is left for the exit itself, in milliseconds; the rest is for sending the last responses. */
const KILL_MARGIN_MS = 150

/** Time before the process exits in which the ends of responses are sent, in milliseconds; also the time between checks for requests in flight. */
const FLUSH_DELAY_MS = 50

/** Turns of the event loop without arrivals after which all that has arrived is read: a connection is accepted in one turn and its request read in a later one. */
const QUIET_TURNS = 3

/** Largest number of turns of the event loop in which arrivals are read; each turn may accept only one connection. */
const MAX_ARRIVAL_TURNS = 2000

/** Largest share of the time until the exit for which new requests are still accepted after SIGTERM; the rest is for finishing them. */
const MAX_ACCEPT_SHARE = 0.5

const MS_PER_SECOND = 1000

/** The listener for requests of callers. */
type CallerListener = Server & {
  /** Number of requests whose responses have not been handed to the operating system completely. */
  readonly unsentResponses: number
  /** Refuses the requests that are still uploaded. */
  refuseUploads: () => void
  /** Accepts no new connections, and closes none. */
  stopListening: () => void
}

interface RunOptions {
  gateway: Gateway
  settings: GatewaySettings
  settingsFile: string
  store: PlatformStore
  exchanges: HttpExchangeClient
  buffers: BufferBudget
  callers: CallerListener
  applyLimits: (limits: CallerLimits) => void
  readiness: Server
  directory: Server
  metrics: GatewayMetrics
  log: Log
  flushLog: () => void
  random: () => number
}

/** Starts the listeners and periodic tasks of one instance, and shuts it down on SIGTERM. */
export function runGateway (options: RunOptions): { send: (ips: string[], message: PeerDatagram) => void } {
  const { gateway, settings, log } = options
  const { listeners } = settings
  const peerSocket = new PeerSocket({ ip: settings.ip, port: listeners.peerPort, log, onDatagram: (from, message) => gateway.handleDatagram(from, message) })
  const storeWatcher = new StoreWatcher({
    store: options.store,
    ip: settings.ip,
    log,
    random: options.random,
    nowMs: () => performance.now(),
    isNeeded: () => gateway.storeRelay.needsStore(),
    knownEra: () => gateway.storePosition.era,
    onBatch: (fromRevision, batch) => gateway.storeRelay.relay(fromRevision, batch),
    onListing: (listing) => gateway.applyListing(listing),
    onChange: (change, position) => gateway.applyChange(change, position),
    onReachability: (reached) => gateway.recordStoreReachability(reached)
  })
  listen(options.callers, listeners.callers)
  listen(options.readiness, listeners.readiness)
  listen(options.directory, listeners.directory)
  listen(createPeerListener(gateway), `${settings.ip}:${listeners.peerPort}`)
  listen(createMetricsListener(gateway, options.metrics), `${settings.ip}:${listeners.metricsPort}`)
  startPeriodicTasks(options)
  void storeWatcher.run()
  log.info('instance.started', { failureDomain: settings.failureDomain, callers: listeners.callers, seeds: settings.seeds.length })
  process.on('SIGTERM', () => { void shutDown(options, storeWatcher) })
  process.on('SIGHUP', () => reloadSettings(options))
  watchFile(options.settingsFile, { interval: SETTINGS_CHECK_MS }, () => reloadSettings(options))
  return { send: (ips, message) => peerSocket.send(ips, message) }
}

/** Reads the settings file again; invalid settings are logged and not applied. */
function reloadSettings ({ gateway, log, settingsFile }: RunOptions): void {
  const loaded = loadSettings(settingsFile, gatewaySettingsSchema)
  if (loaded.err) log.error('settings.invalid', { detail: formatFaults(loaded.val).replaceAll('\n', ' ') })
  else gateway.reloadSettings(loaded.val)
}

function listen (server: Server, address: string): void {
  const [host, port] = address.split(':')
  server.listen({ host, port: Number(port), backlog: 1024 })
}

function startPeriodicTasks (options: RunOptions): void {
  const { gateway, log } = options
  setInterval(() => guarded(log, 'heartbeat', () => gateway.heartbeats.sendPeriodic()), HEARTBEAT_MS)
  setInterval(() => guarded(log, 'reports', () => gateway.sendReports()), REPORT_PERIOD_MS)
  let limits: CallerLimits | null = null
  let busy = false
  let timer: NodeJS.Timeout | undefined
  const tick = (): void => {
    guarded(log, 'tick', () => gateway.tick())
    const currentLimits = gateway.configuration?.limits ?? null
    if (currentLimits !== null && currentLimits !== limits) options.applyLimits(currentLimits)
    limits = currentLimits
    busy = gateway.waitingForPlacement > 0
    timer = setTimeout(tick, busy ? BUSY_TICK_MS : IDLE_TICK_MS)
  }
  gateway.onWaiting = () => {
    if (busy) return
    busy = true
    clearTimeout(timer)
    timer = setTimeout(tick, BUSY_TICK_MS)
  }
  tick()
  let fetching = false
  setInterval(() => {
    options.exchanges.retain(new Set(gateway.backends.all().map(({ address }) => address)))
    const peer = gateway.peerWithNewerState()
    if (peer === undefined || fetching) return
    fetching = true
    fetchSnapshot({ ip: peer.ip, port: options.settings.listeners.peerPort, buffers: options.buffers })
      .then(({ snapshot, transfer }) => {
        log.info('snapshot.received', { from: peer.ip, era: snapshot.era ?? 0, revision: snapshot.revision, bytes: transfer.bytes, headMs: Math.round(transfer.headMs), totalMs: Math.round(transfer.totalMs) })
        gateway.applyPeerSnapshot(peer.ip, snapshot)
      })
      .catch((error: unknown) => log.warn('snapshot.failed', { from: peer.ip, detail: String(error) }))
      .finally(() => { fetching = false })
  }, SNAPSHOT_CHECK_MS)
}

/** Runs a periodic task; an error in it is logged and ends neither the process nor the later runs. */
function guarded (log: Log, task: string, run: () => void): void {
  try {
    run()
  } catch (error) {
    log.error('process.fault', { task, detail: error instanceof Error ? String(error.stack) : String(error) })
  }
}

/** Finishes the accepted requests, refuses those that may not end in time and, after ACCEPT_AFTER_STOP_MS, all new ones, and exits within the grace period. */
async function shutDown (options: RunOptions, storeWatcher: StoreWatcher): Promise<void> {
  const { gateway, settings, log } = options
  if (gateway.stopping) return
  log.info('instance.stopping', { inFlight: gateway.inFlight })
  const startedMs = performance.now()
  const graceEndMs = startedMs + settings.graceS * MS_PER_SECOND
  const exitMs = graceEndMs - EXIT_MARGIN_MS
  gateway.stop(exitMs)
  // The requests still to be served need the current servers, so the watch goes on.
  storeWatcher.stopAnnouncing()
  await delay(Math.min(ACCEPT_AFTER_STOP_MS, MAX_ACCEPT_SHARE * (exitMs - startedMs)))
  await readArrivals(options.callers)
  gateway.refuseNewRequests()
  options.callers.stopListening()
  const isBusy = (): boolean => gateway.inFlight + options.callers.unsentResponses > 0
  while (isBusy() && performance.now() < exitMs) await delay(FLUSH_DELAY_MS)
  const unfinished = gateway.inFlight
  gateway.endPendingRequests()
  options.callers.refuseUploads()
  while (isBusy() && performance.now() < graceEndMs - KILL_MARGIN_MS) await delay(FLUSH_DELAY_MS)
  await delay(FLUSH_DELAY_MS)
  await readArrivals(options.callers)
  storeWatcher.stop()
  log.info('instance.stopped', { inFlight: unfinished })
  options.flushLog()
  process.exit(0)
}

/** Lets connections be accepted and their requests be read that arrived while the process was frozen: timers run before that, and a close would reset them. */
async function readArrivals (callers: Server): Promise<void> {
  let arrivals = 0
  const count = (): void => { arrivals += 1 }
  callers.on('connection', count).on('request', count)
  for (let turn = 0, quietTurns = 0; turn < MAX_ARRIVAL_TURNS && quietTurns < QUIET_TURNS; turn += 1) {
    const before = arrivals
    await new Promise((resolve) => setImmediate(resolve))
    quietTurns = arrivals === before ? quietTurns + 1 : 0
  }
  callers.off('connection', count).off('request', count)
}

function delay (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
