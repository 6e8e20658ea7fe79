import { randomBytes } from 'node:crypto'
import type { Server } from 'node:http'
import { ReservationEventKind } from '../reservations/reservation-event.js'
import { addressHandler } from '../adapters/address-handler.js'
import { bundleReport } from '../adapters/bundle-report.js'
import { bundleActions } from '../adapters/bundle-actions.js'
import { forwardActions, forwardEvents } from '../adapters/call-forwarding.js'
import { callActions, callHandler, type CallPayloads } from '../adapters/call-handler.js'
import { cacheActions } from '../adapters/cache-reader.js'
import { createCallerListener } from '../adapters/caller-listener.js'
import { completionActions, completionHandler } from '../adapters/completion-handler.js'
import { engineActions } from '../adapters/engine-actions.js'
import { EtcdKeyValue } from '../adapters/etcd-key-value.js'
import { readInstanceList } from '../adapters/instance-list-client.js'
import { keyActions } from '../adapters/key-actions.js'
import { KeyRecorder } from '../adapters/key-recorder.js'
import { readLoads } from '../adapters/load-reader.js'
import { closeListener, trackAnswers } from '../adapters/listener-close.js'
import { createOperatorListener } from '../adapters/operator-listener.js'
import { orderActions } from '../adapters/order-actions.js'
import { OUTCOME_PATH, outcomeActions, outcomeEvents, outcomeHandler, type OutcomeQueries } from '../adapters/outcome-handler.js'
import type { Payloads } from '../adapters/payloads.js'
import { peerActions } from '../adapters/peer-actions.js'
import { dispatchMessage, peerEvents } from '../adapters/peer-events.js'
import { PeerTransport } from '../adapters/peer-transport.js'
import { securedListener, watchedTlsFiles } from '../adapters/secured-listener.js'
import { type Board, createBoard } from '../board/board.js'
import { BundleEventKind } from '../bundles/bundle-event.js'
import { CallEventKind } from '../calls/call-event.js'
import { controllers } from '../core/controllers.js'
import { Core } from '../core/core.js'
import { CoreActionKind } from '../core/core-action.js'
import type { Event } from '../core/event.js'
import { DrainActionKind } from '../drain/drain-action.js'
import { DrainEventKind } from '../drain/drain-event.js'
import { createLog, type Log } from '../logs/log.js'
import { createIncarnation } from '../members/incarnation.js'
import { MemberEventKind } from '../members/member-event.js'
import { PROBE_PERIOD_MS } from '../members/member-timing.js'
import { countActions } from '../metrics/metric-actions.js'
import { Metrics } from '../metrics/metrics.js'
import { OrderEventKind } from '../orders/order-event.js'
import { ServerEventKind } from '../placement/server-event.js'
import { Runtime } from '../runtime/runtime.js'
import type { EntrySettings } from '../settings/entry-settings.js'
import type { Listener } from '../settings/listener.js'

const ACCOUNT_PERIOD_MS = 500

const ORDER_PERIOD_MS = 1000

const CALL_PERIOD_MS = 1000

const SERVER_PERIOD_MS = 500

/** Everything an entry instance is made of. */
interface Parts {
  settings: EntrySettings
  board: Board
  log: Log
  metrics: Metrics
  emit: (event: Event) => void
  nextId: () => string
  payloads: Payloads
  calls: CallPayloads
  queries: OutcomeQueries
}

/** Starts an entry instance; SIGTERM and SIGINT drain it. */
export async function startEntry (settings: EntrySettings, exit: () => void): Promise<void> {
  const parts = createParts(settings)
  const { board, log } = parts
  const transport = createTransport(parts)
  const callers = securedListener(log, callerListener(parts), settings.callers)
  const answers = trackAnswers(callers)
  const runtime = createRuntime(parts, transport, () => { closeListener(callers, answers).then(exit, exit) })
  parts.emit = (event) => runtime.emit(event)
  runtime.start()
  await transport.listen(settings.peers.host, settings.peers.port)
  await listen(callers, settings.callers)
  await listen(securedListener(log, operatorListener(parts), settings.operators), settings.operators)
  startTicks(parts, runtime)
  process.on('SIGTERM', () => runtime.emit({ kind: DrainEventKind.DrainRequested }))
  process.on('SIGINT', () => runtime.emit({ kind: DrainEventKind.DrainRequested }))
  log.info('entry_started', { incarnation: board.self.incarnation, callers: board.self.callerAddress, peers: board.self.peerAddress })
}

function createParts (settings: EntrySettings): Parts {
  const { id, failureDomain, region, callers, peers, placement, addressLifetimeMs, drainLimitMs } = settings
  const incarnation = createIncarnation(Date.now(), randomBytes(4).toString('hex'))
  const board = createBoard({
    self: { id, incarnation, failureDomain, region, callerAddress: `${callers.host}:${callers.port}`, peerAddress: `${peers.host}:${peers.port}` },
    tuning: { placement, addressLifetimeMs, drainLimitMs },
    keySecret: randomBytes(16).toString('hex'),
    trustedKeys: settings.trustedKeys
  })
  let lastId = 0
  return {
    settings,
    board,
    log: createLog({ level: settings.logLevel, fields: { instance: id } }),
    metrics: new Metrics({ inFlight: () => board.requests.size + board.calls.size }),
    emit: () => undefined,
    nextId: () => {
      lastId += 1
      return `${id}-${incarnation}-${lastId}`
    },
    payloads: new Map(),
    calls: new Map(),
    queries: new Map()
  }
}

function createTransport (parts: Parts): PeerTransport {
  const { board, log } = parts
  const transport: PeerTransport = new PeerTransport({
    id: board.self.id,
    incarnation: board.self.incarnation,
    // A member that was dead before this instance heard of it has no address.
    addressOf: (id) => board.members.get(id)?.peerAddress || undefined,
    onMessage: (envelope) => dispatchMessage(handlers, envelope),
    onError: (detail) => log.debug('peer_connection_failed', { detail }),
    tls: watchedTlsFiles(log, parts.settings.peers)
  })
  const options = { ...parts, peers: transport, emit: (event: Event) => parts.emit(event), nowMs: Date.now }
  const handlers = { ...peerEvents(options), ...forwardEvents(options), ...outcomeEvents(options) }
  return transport
}

function createRuntime (parts: Parts, peers: PeerTransport, exit: () => void): Runtime {
  const { settings, board, log, metrics, payloads, calls, queries, nextId } = parts
  const emit = (event: Event): void => parts.emit(event)
  const keyValue = new EtcdKeyValue({ baseUrl: settings.keyValueUrl })
  const recorder = new KeyRecorder({ self: board.self, keyValue, instances: () => board.members.size + 1 })
  return new Runtime({
    core: new Core({ board, controllers }),
    random: Math.random,
    nextId,
    onError: (detail) => log.error('core_fault', { detail }),
    handlers: countActions({
      ...engineActions({ board, payloads, emit }),
      ...cacheActions({ board, emit }),
      ...completionActions(payloads),
      ...callActions({ board, calls, emit }),
      ...forwardActions({ board, calls, peers, emit }),
      ...keyActions({ recorder, emit, log }),
      ...outcomeActions({ queries, recorder, peers, emit }),
      ...peerActions({ self: board.self, peers, emit, nowMs: Date.now }),
      ...orderActions({ board, keyValue, emit, nowMs: Date.now }),
      ...bundleActions({ keyValue, emit }),
      [CoreActionKind.Log]: ({ name, fields }) => {
        metrics.events.inc({ event: name })
        log.info(name, fields)
      },
      [DrainActionKind.Exit]: exit
    }, { metrics, payloads })
  })
}

function callerListener (parts: Parts): Server {
  const { settings, board, payloads, calls, queries, nextId } = parts
  // The listener is created before the runtime that takes its events.
  const emit = (event: Event): void => parts.emit(event)
  return createCallerListener({
    board,
    emit,
    maxBodyBytes: settings.maxBodyBytes,
    handlers: {
      'GET /v1/addresses': addressHandler(board),
      'POST /v1/completions': completionHandler({ board, payloads, emit, nextId }),
      [`GET ${OUTCOME_PATH}`]: outcomeHandler({ board, queries, emit, nextId })
    },
    fallback: callHandler({ board, calls, emit, nextId })
  })
}

function operatorListener ({ board, metrics }: Parts): Server {
  const ready = (): boolean => board.bundle !== null && board.servers.size > 0 && board.drainingSinceMs === null
  return createOperatorListener({
    registry: metrics.registry,
    state: () => board,
    ready,
    bundle: () => bundleReport(board, ready())
  })
}

function startTicks ({ settings, board, emit }: Parts, runtime: Runtime): void {
  const readList = async (): Promise<void> => emit(await readInstanceList(settings.instanceListUrl))
  void readList()
  setInterval(() => { void readList() }, settings.instanceListPeriodMs)
  setInterval(() => { void readLoads(board, emit) }, settings.loadPeriodMs)
  runtime.emitPeriodically(settings.bundlePeriodMs, { kind: BundleEventKind.BundleTick })
  runtime.emitPeriodically(ACCOUNT_PERIOD_MS, { kind: ReservationEventKind.ReservationTick })
  runtime.emitPeriodically(ORDER_PERIOD_MS, { kind: OrderEventKind.OrderTick })
  runtime.emitPeriodically(CALL_PERIOD_MS, { kind: CallEventKind.CallTick })
  runtime.emitPeriodically(PROBE_PERIOD_MS, { kind: MemberEventKind.MemberTick })
  runtime.emitPeriodically(SERVER_PERIOD_MS, { kind: ServerEventKind.ServerTick })
}

async function listen (server: Server, { host, port }: Listener): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve())
  })
}
