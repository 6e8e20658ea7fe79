import { describe, expect, jest, test } from '@jest/globals'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { RunnerRole, ServerState } from '../../src/gateway/backend.js'
import { REREGISTRATION_GRACE_MS, RESTORED_ENTRY_DOUBT_MS, Staleness } from '../../src/gateway/backend-table.js'
import { ResponseMeaning } from '../../src/gateway/backend-client.js'
import { RouteKind } from '../../src/gateway/configuration.js'
import { ExchangeOutcome } from '../../src/gateway/exchange-outcome.js'
import { Gateway } from '../../src/gateway/gateway.js'
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js'
import { type GatewaySettings, gatewaySettingsSchema } from '../../src/gateway/gateway-settings.js'
import { decodeDatagram, encodeDatagram, type PeerDatagram, PeerDatagramKind } from '../../src/gateway/peer-datagram.js'
import { createPeerListener } from '../../src/gateway/peer-listener.js'
import { fetchSnapshot } from '../../src/gateway/peer-snapshot.js'
import { type PlatformStore, type StoreChange, StoreChangeKind } from '../../src/gateway/platform-store.js'
import { GatewayRefusal } from '../../src/gateway/refusal.js'
import { backend, callerRequest, configuration, recordingLog, RecordingResponder, route, type ScriptedReaction, ScriptedBackendClient, unboundedBuffers } from './gateway-fixtures.js'

/** Time after which an instance no longer waits for the heartbeats of others, in milliseconds. */
const LISTENING_MS = 1000

interface Fixture {
  gateway: Gateway
  log: ReturnType<typeof recordingLog>
  clock: { ms: number }
  settings: GatewaySettings
  /** Messages sent to other instances. */
  sent: PeerDatagram[]
}

function createInstance (respond: () => ScriptedReaction = () => 'silent'): Fixture {
  const settings = gatewaySettingsSchema.parse({
    id: 'n1',
    ip: '10.0.0.1',
    failureDomain: 'a',
    listeners: { callers: '10.0.0.1:1', readiness: '10.0.0.1:2', directory: '10.0.0.1:3', peerPort: 4, metricsPort: 5 },
    storeAddress: '10.9.0.1:1',
    repeats: { ratio: 0.2, slack: 50, windowS: 10 }
  })
  const clock = { ms: 0 }
  const log = recordingLog()
  const sent: PeerDatagram[] = []
  const gateway = new Gateway({
    settings,
    backendClient: new ScriptedBackendClient(respond),
    store: {} as PlatformStore,
    log,
    metrics: new GatewayMetrics(),
    send: (_ips, message) => { sent.push(message) },
    nowMs: () => clock.ms,
    random: () => 0
  })
  return { gateway, log, clock, settings, sent }
}

/** A ready instance with a configuration, one server of a plain service and one decode runner. */
function servingInstance (respond?: () => ScriptedReaction): Fixture {
  const fixture = createInstance(respond)
  fixture.gateway.applyConfiguration(configuration({
    version: 7,
    routes: [
      route({ name: 'order', pathPrefix: '/order/', kind: RouteKind.NonIdempotent }),
      route({ name: 'stream', pathPrefix: '/stream/', kind: RouteKind.Streaming, attempts: 1, services: [{ service: 'model', weight: 1 }] })
    ]
  }), 'store')
  fixture.gateway.applyListing({ era: 1, revision: 12, changes: [] })
  fixture.gateway.backends.put(backend())
  fixture.gateway.backends.put(backend({ id: 'd1', service: 'model', stage: RunnerRole.Decode }))
  fixture.clock.ms = LISTENING_MS
  fixture.log.lines.length = 0
  return fixture
}

/** Waits until the pending callbacks of the event loop have run. */
async function flushEventLoop (): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await new Promise((resolve) => setImmediate(resolve))
}

describe('Gateway', () => {
  test('applies changed settings without a restart and logs which of them wait for the next start', () => {
    const { gateway, log, settings } = createInstance()
    gateway.reloadSettings({ ...settings, graceS: 5, repeats: { ...settings.repeats, slack: 20 }, storeAddress: '10.9.0.2:1', seeds: ['10.0.0.7'] })
    expect(settings).toMatchObject({ graceS: 5, repeats: { slack: 20 }, storeAddress: '10.9.0.1:1' })
    expect(gateway.instances.knownAddresses()).toEqual(['10.0.0.7'])
    expect(log.lines.at(-1)).toBe('settings.reloaded applied=seeds,graceS,repeats atNextStart=storeAddress')
    const before = log.lines.length
    gateway.reloadSettings(settings)
    expect(log.lines).toHaveLength(before)
  })

  // Guards against requests to a server whose entry names none: around an outage of the store it was kept as missing.
  test.each([
    ['while the store is reached', true],
    ['around an outage of the store', false]
  ])('removes a server whose entry was overwritten by an unreadable value, %s', (_name, reached) => {
    const { gateway } = servingInstance()
    if (!reached) gateway.recordStoreReachability(false)
    const [server] = gateway.backends.all()
    gateway.applyChange({ kind: StoreChangeKind.Unreadable, key: `servers/${server?.id}`, detail: 'no JSON', backendId: server?.id ?? '' }, { era: 1, revision: 13 })
    expect(gateway.backends.get(server?.id ?? '')).toBeUndefined()
  })

  test('refuses with no-configuration before it has a configuration, and with unknown-route only when the configuration lacks the route', () => {
    jest.useFakeTimers()
    const { gateway } = createInstance()
    const earlyResponder = new RecordingResponder()
    gateway.serve(callerRequest(), earlyResponder)
    jest.advanceTimersByTime(600)
    jest.useRealTimers()
    expect(earlyResponder.refusal).toBe('no-configuration')
    expect(earlyResponder.retryAfterMs).toBeGreaterThanOrEqual(500)
    gateway.applyConfiguration(configuration({ version: 5, routes: [] }), 'store')
    const unroutedResponder = new RecordingResponder()
    gateway.serve(callerRequest(), unroutedResponder)
    expect(unroutedResponder.refusal).toBe('unknown-route')
  })

  // Guards against callers that use up their attempts while all instances start.
  test('serves a request that arrived before the first listing, and sends it elsewhere at once if another instance is ready', () => {
    const { gateway } = createInstance(() => ({ parts: ['ok'] }))
    const responder = new RecordingResponder()
    gateway.serve(callerRequest(), responder)
    expect([responder.ending, gateway.inFlight]).toEqual([null, 1])
    gateway.applyListing({ era: 1, revision: 5, changes: [{ kind: StoreChangeKind.Configuration, configuration: configuration({ routes: [] }) }] })
    expect(responder.refusal).toBe('unknown-route')
    const { gateway: other } = createInstance()
    other.instances.recordHeartbeat({ ...gateway.status(), ip: '10.0.0.7', ready: true })
    const sentElsewhere = new RecordingResponder()
    other.serve(callerRequest(), sentElsewhere)
    expect(sentElsewhere).toMatchObject({ refusal: 'no-configuration', retryAfterMs: 50 })
  })

  test('does not replace the active configuration by an older one', () => {
    const { gateway } = createInstance()
    gateway.applyConfiguration(configuration({ version: 5 }), 'store')
    gateway.applyConfiguration(configuration({ version: 4 }), '10.0.0.2')
    expect(gateway.configuration?.version).toBe(5)
  })

  test('is ready once it has a configuration and a listing and has waited for the heartbeats of others, until it stops', () => {
    const { gateway, clock } = createInstance()
    gateway.applyConfiguration(configuration(), 'store')
    gateway.applyListing({ era: 1, revision: 1, changes: [] })
    expect(gateway.ready).toBe(false)
    clock.ms = LISTENING_MS
    expect(gateway.ready).toBe(true)
    gateway.stop()
    expect(gateway.ready).toBe(false)
  })

  test('applies the newer configuration of a peer, and its servers only if its store revision is newer', () => {
    const { gateway } = servingInstance()
    gateway.applyPeerSnapshot('10.0.0.2', { era: 1, revision: 11, configuration: configuration({ version: 9 }), backends: [] })
    expect(gateway.configuration?.version).toBe(9)
    expect(gateway.backends.all()).toHaveLength(2)
    gateway.applyPeerSnapshot('10.0.0.2', { era: 1, revision: 13, configuration: null, backends: [backend({ id: 'b9' })] })
    expect(gateway.backends.get('b9')).toBeDefined()
  })

  // Guards against a request that is said not to have run although it was written before the fault.
  test('answers a request that a fault ends as one of unknown outcome', async () => {
    const { gateway } = servingInstance(() => { throw new Error('scripted') })
    const responder = new RecordingResponder()
    gateway.serve(callerRequest({ path: '/order/x', target: '/order/x', arrivedMs: LISTENING_MS }), responder)
    await flushEventLoop()
    expect(responder.refusal).toBe('outcome-unknown')
  })

  // Guards against an instance that has just joined, or was cut off, and sends requests with a part that the others have quarantined.
  test('learns quarantined prompt parts from the datagrams that follow each heartbeat of another instance', () => {
    const { gateway: knowing, sent } = servingInstance()
    const { gateway: joining } = servingInstance()
    knowing.quarantine.merge('10.0.0.3', [{ part: 'bad', service: 'model', position: 1, crashes: [], successAgeMs: null, recentlySuccessful: false, quarantineLeftMs: 9000, quarantines: 1 }])
    knowing.heartbeats.introduce(['10.0.0.2'])
    for (const message of sent) joining.handleDatagram('10.0.0.1', decodeDatagram(encodeDatagram(message)) as PeerDatagram)
    const responder = new RecordingResponder()
    const generationParameters = { promptTokens: 500, maxOutputTokens: 900, estimatedOutputTokens: null, promptId: 'own', sharedParts: ['first', 'bad'] }
    joining.serve(callerRequest({ path: '/stream/x', target: '/stream/x', arrivedMs: LISTENING_MS, generationParameters }), responder)
    expect(responder.refusal).toBe('crashing-prompt')
  })

  // Guards against requests to a server that has gone: the snapshot of a peer that still kept it made it ready again, for good.
  test.each([
    ['known to this instance', false, Staleness.Missing],
    ['already removed by this instance', true, Staleness.Removed]
  ])('does not take a server that a peer misses for one that is back: %s', async (_name, removed, expected) => {
    const peer = servingInstance().gateway
    const { gateway } = servingInstance()
    const server = backend()
    if (removed) gateway.backends.remove(server.id)
    peer.recordStoreReachability(false)
    peer.applyListing({ era: 1, revision: 14, changes: [{ kind: StoreChangeKind.Backend, backend: backend({ id: 'd1', service: 'model', stage: RunnerRole.Decode }) }] })
    const listener = createPeerListener(peer)
    listener.listen(0, '127.0.0.1')
    await once(listener, 'listening')
    const { snapshot } = await fetchSnapshot({ ip: '127.0.0.1', port: (listener.address() as AddressInfo).port, buffers: unboundedBuffers() })
    listener.close()
    gateway.applyPeerSnapshot('10.0.0.2', snapshot)
    expect(gateway.backends.staleness(server)).toBe(expected)
  })

  // Guards against requests to a leaving server: a delayed response of the store made it ready again after a peer's newer snapshot.
  test('ignores the servers of a store response that is older than the snapshot of a peer', () => {
    const { gateway, log } = servingInstance()
    const ready = backend({ id: 'b5' })
    const leaving = backend({ id: 'b5', state: ServerState.Leaving })
    gateway.applyPeerSnapshot('10.0.0.2', { era: 1, revision: 20, configuration: null, backends: [leaving] })
    gateway.applyChange({ kind: StoreChangeKind.Backend, backend: ready }, { era: 1, revision: 18 })
    gateway.applyChange({ kind: StoreChangeKind.BackendRemoved, id: 'b5' }, { era: 1, revision: 19 })
    expect(gateway.backends.get('b5')?.state).toBe(ServerState.Leaving)
    gateway.applyListing({ era: 1, revision: 19, changes: [{ kind: StoreChangeKind.Backend, backend: ready }, { kind: StoreChangeKind.Configuration, configuration: configuration({ version: 8 }) }] })
    expect([gateway.backends.get('b5')?.state, gateway.configuration?.version]).toEqual([ServerState.Leaving, 8])
    gateway.applyChange({ kind: StoreChangeKind.BackendRemoved, id: 'b5' }, { era: 1, revision: 21 })
    expect(gateway.backends.get('b5')).toBeUndefined()
    expect(log.lines.filter((line) => line.startsWith('store.'))).toEqual([18, 19, 19].map((revision) => `store.superseded era=1 revision=${revision} snapshotEra=1 snapshotRevision=20`))
  })

  // Guards against requests to a server that has gone: the listing that no longer had it was ignored after a peer's snapshot.
  test('applies a listing of the same revision as the snapshot of a peer', () => {
    const { gateway } = servingInstance()
    gateway.applyPeerSnapshot('10.0.0.2', { era: 1, revision: 20, configuration: null, backends: [backend({ id: 'b5' }), backend({ id: 'b6' })] })
    gateway.applyListing({ era: 1, revision: 20, changes: [{ kind: StoreChangeKind.Backend, backend: backend({ id: 'b6' }) }] })
    expect(gateway.backends.all().map(({ id }) => id)).toEqual(['b6'])
  })

  // Guards against answers at the exit of the process that say of a request that has run that it has not, or the reverse.
  test('refuses the pending requests before the exit of the process as not run only if no server has got them', async () => {
    const { gateway } = servingInstance()
    // The coordinator has just begun, so it places nothing yet.
    gateway.tick()
    const [sent, waiting] = [new RecordingResponder(), new RecordingResponder()]
    gateway.serve(callerRequest({ path: '/order/x', arrivedMs: LISTENING_MS }), sent)
    gateway.serve(callerRequest({ id: 'q2', path: '/stream/x', arrivedMs: LISTENING_MS, generationParameters: { promptTokens: 500, maxOutputTokens: 900, estimatedOutputTokens: null, promptId: null, sharedParts: [] } }), waiting)
    await flushEventLoop()
    gateway.endPendingRequests()
    expect([sent.refusal, waiting.refusal, waiting.retryAfterMs]).toEqual([GatewayRefusal.OutcomeUnknown, GatewayRefusal.Stopping, 50])
    expect(gateway.inFlight).toBe(0)
  })

  // Guards against requests to servers that have left: after the store had returned from a copy, its listings and changes were ignored until it reached the revision of a peer's snapshot again.
  test('applies the servers of a store that has returned from a copy with lower revisions', () => {
    const { gateway } = servingInstance()
    gateway.applyPeerSnapshot('10.0.0.2', { era: 1, revision: 57, configuration: null, backends: [backend({ id: 'b5' }), backend({ id: 'b6' })] })
    gateway.applyListing({ era: 2, revision: 30, changes: ['b5', 'b6', 'b7'].map((id) => ({ kind: StoreChangeKind.Backend, backend: backend({ id }) })) })
    expect(gateway.backends.get('b7')).toBeDefined()
    gateway.applyChange({ kind: StoreChangeKind.Backend, backend: backend({ id: 'b6', state: ServerState.Leaving }) }, { era: 2, revision: 31 })
    expect(gateway.backends.get('b6')?.state).toBe(ServerState.Leaving)
    expect(gateway.status()).toMatchObject({ storeEra: 2, storeRevision: 31 })
  })

  // Guards against requests to servers that have left: the snapshot of a peer that still had the revisions of a lost history replaced a newer table.
  test('takes the servers of a peer from a newer era whatever its revision, and none from an older era', () => {
    const { gateway } = servingInstance()
    gateway.applyPeerSnapshot('10.0.0.2', { era: 2, revision: 5, configuration: null, backends: [backend({ id: 'b5' })] })
    gateway.applyPeerSnapshot('10.0.0.3', { era: 1, revision: 57, configuration: null, backends: [backend({ id: 'b6' })] })
    gateway.applyPeerSnapshot('10.0.0.4', { revision: 58, configuration: null, backends: [backend({ id: 'b7' })] })
    expect(gateway.backends.present().map(({ id }) => id)).toEqual(['b5'])
  })

  // Guards against an instance without the store that asks the peers that are stuck in the lost history for a snapshot, and never those that follow the store.
  test('asks a peer in a newer era for its state, and none in an older era with a higher revision', () => {
    const { gateway } = servingInstance()
    gateway.applyListing({ era: 2, revision: 30, changes: [] })
    gateway.recordStoreReachability(false)
    const peer = { ...gateway.status(), reachesStore: true }
    gateway.instances.recordHeartbeat({ ...peer, ip: '10.0.0.2', storeEra: 1, storeRevision: 57 })
    gateway.instances.recordHeartbeat({ ...peer, ip: '10.0.0.3', storeEra: undefined, storeRevision: 58 })
    expect(gateway.peerWithNewerState()).toBeUndefined()
    gateway.instances.recordHeartbeat({ ...peer, ip: '10.0.0.4', storeEra: 3, storeRevision: 4 })
    expect(gateway.peerWithNewerState()?.ip).toBe('10.0.0.4')
  })

  // Guards against statuses that lose the era on the way, or that beside instances of older versions are dropped for lack of it.
  test.each([2, undefined])('sends and receives a heartbeat whose era is %s', (storeEra) => {
    const { gateway, sent } = servingInstance()
    gateway.heartbeats.introduce(['10.0.0.2'])
    const heartbeat = sent.find(({ kind }) => kind === PeerDatagramKind.Heartbeat) as Extract<PeerDatagram, { kind: PeerDatagramKind.Heartbeat }>
    const status = JSON.parse(JSON.stringify({ ...heartbeat.status, storeEra })) as typeof heartbeat.status
    expect(decodeDatagram(encodeDatagram({ ...heartbeat, status }))).toEqual({ ...heartbeat, status })
  })

  // Guards against refusals: a server that had registered after the copy of the store was made was dropped by the first listing of the new era.
  test.each([
    ['listing', (gateway: Gateway) => gateway.applyListing({ era: 2, revision: 9, changes: [{ kind: StoreChangeKind.Backend, backend: backend() }] })],
    ['snapshot of a peer', (gateway: Gateway) => gateway.applyPeerSnapshot('10.0.0.2', { era: 2, revision: 9, configuration: null, backends: [backend()] })]
  ])('keeps a server that the first %s of a new era lacks until its time to register again has passed', (_name, apply) => {
    const { gateway, clock } = servingInstance()
    const later = backend({ id: 'b2' })
    gateway.applyChange({ kind: StoreChangeKind.Backend, backend: later }, { era: 1, revision: 13 })
    apply(gateway)
    expect([gateway.backends.staleness(later), gateway.backends.accepts(later)]).toEqual([Staleness.Missing, true])
    clock.ms += REREGISTRATION_GRACE_MS
    gateway.tick()
    expect(gateway.backends.get('b2')).toBeUndefined()
  })

  // Guards against requests to a leaving server: the copy that the store returned from still listed it as ready.
  test.each([
    ['listing', (gateway: Gateway) => gateway.applyListing({ era: 2, revision: 9, changes: [{ kind: StoreChangeKind.Backend, backend: backend() }] })],
    ['change', (gateway: Gateway) => gateway.applyChange({ kind: StoreChangeKind.Backend, backend: backend() }, { era: 2, revision: 10 })],
    ['snapshot of a peer', (gateway: Gateway) => gateway.applyPeerSnapshot('10.0.0.2', { era: 2, revision: 9, configuration: null, backends: [backend()] })]
  ])('keeps a server leaving that a %s of a new era has as ready, until it restarts', (_name, apply) => {
    const { gateway } = servingInstance()
    gateway.applyChange({ kind: StoreChangeKind.Backend, backend: backend({ state: ServerState.Leaving }) }, { era: 1, revision: 13 })
    apply(gateway)
    expect([gateway.backends.get('b1')?.state, gateway.backends.ready('plain')]).toEqual([ServerState.Leaving, []])
    gateway.applyChange({ kind: StoreChangeKind.Backend, backend: backend({ startedAtMs: 2 }) }, { era: 2, revision: 11 })
    expect(gateway.backends.ready('plain')).toHaveLength(1)
  })

  // Guards against requests to a server that has gone: the copy that the store returned from still listed it, and with no entry of its own it was used again.
  test.each([
    ['its entry was removed', (gateway: Gateway) => gateway.applyChange({ kind: StoreChangeKind.BackendRemoved, id: 'b1' }, { era: 1, revision: 13 })],
    ['its entry disappeared around an outage', (gateway: Gateway) => {
      gateway.recordStoreReachability(false)
      gateway.applyListing({ era: 1, revision: 13, changes: [] })
    }],
    ['its entry was overwritten by an unreadable one', (gateway: Gateway) => gateway.applyChange({ kind: StoreChangeKind.Unreadable, key: 'servers/b1', detail: 'no JSON', backendId: 'b1' }, { era: 1, revision: 13 })]
  ])('does not use a server again because a new era lists it, when %s', (_name, lose) => {
    const { gateway, clock } = servingInstance()
    lose(gateway)
    clock.ms += REREGISTRATION_GRACE_MS
    gateway.tick()
    const listing = { era: 2, revision: 9, changes: [{ kind: StoreChangeKind.Backend, backend: backend() } as const] }
    gateway.applyListing(listing)
    gateway.applyListing({ ...listing, revision: 10 })
    expect([gateway.backends.ready('plain'), gateway.backends.present()]).toEqual([[], []])
    clock.ms += RESTORED_ENTRY_DOUBT_MS - 100
    gateway.tick()
    expect(gateway.backends.ready('plain')).toEqual([])
    clock.ms += 100
    gateway.tick()
    expect(gateway.backends.ready('plain')).toHaveLength(1)
  })

  // Guards against requests to a server that has gone: it was missing when the era changed, and the next listing took it for a new one.
  test('does not use a server that was missing before the era and was dropped in it because it is listed again', () => {
    const { gateway, clock } = servingInstance()
    gateway.recordStoreReachability(false)
    gateway.applyListing({ era: 1, revision: 13, changes: [] })
    clock.ms += 500
    const changes = [{ kind: StoreChangeKind.Backend, backend: backend() } as const]
    gateway.applyListing({ era: 2, revision: 9, changes })
    expect(gateway.backends.staleness(backend())).toBe(Staleness.Missing)
    clock.ms += REREGISTRATION_GRACE_MS
    gateway.tick()
    gateway.applyListing({ era: 2, revision: 10, changes })
    expect(gateway.backends.ready('plain')).toEqual([])
  })

  // Guards against refusals: a server that the copy lacked registered late and would be taken for one that the copy has.
  test('uses a server that the first listing of an era lacked when a later one has it', () => {
    const { gateway, clock } = servingInstance()
    gateway.applyListing({ era: 2, revision: 9, changes: [] })
    clock.ms += REREGISTRATION_GRACE_MS
    gateway.tick()
    gateway.applyListing({ era: 2, revision: 10, changes: [{ kind: StoreChangeKind.Backend, backend: backend() }] })
    expect(gateway.backends.ready('plain')).toHaveLength(1)
  })

  // Guards against requests to a server that has gone: an instance that had never known it learned of it from the copy of the store.
  test('does not use a server that a new era lists and that a peer remembers as gone', () => {
    const { gateway: peer, clock } = servingInstance()
    peer.applyChange({ kind: StoreChangeKind.BackendRemoved, id: 'b1' }, { era: 1, revision: 14 })
    clock.ms += 500
    const { gateway } = createInstance()
    gateway.applyPeerSnapshot('10.0.0.2', { era: 1, revision: 14, configuration: null, backends: [], departed: peer.backends.departed() })
    gateway.applyListing({ era: 2, revision: 9, changes: [{ kind: StoreChangeKind.Backend, backend: backend() }] })
    expect([peer.backends.departed(), gateway.backends.ready('plain')]).toEqual([[{ id: 'b1', startedAtMs: 1, leaving: false, ageMs: 500 }], []])
  })

  // Guards against refusals: a server that was only thought to have gone would stay unused although it reports to the store.
  test('uses a server that had gone before the era as soon as it writes its entry, or a newer incarnation is listed', () => {
    const { gateway, clock } = servingInstance()
    for (const id of ['b2', 'b3']) gateway.applyChange({ kind: StoreChangeKind.Backend, backend: backend({ id }) }, { era: 1, revision: 13 })
    for (const id of ['b1', 'b2', 'b3']) gateway.applyChange({ kind: StoreChangeKind.BackendRemoved, id }, { era: 1, revision: 14 })
    clock.ms += 1
    const listed = [backend(), backend({ id: 'b2', startedAtMs: 2 }), backend({ id: 'b3' })].map((server) => ({ kind: StoreChangeKind.Backend, backend: server } as const))
    gateway.applyListing({ era: 2, revision: 9, changes: listed })
    expect(gateway.backends.ready('plain').map(({ id }) => id)).toEqual(['b2'])
    gateway.applyChange({ kind: StoreChangeKind.Backend, backend: backend() }, { era: 2, revision: 10 })
    gateway.applyChange({ kind: StoreChangeKind.BackendRemoved, id: 'b3' }, { era: 2, revision: 11 })
    expect(gateway.backends.ready('plain').map(({ id }) => id)).toEqual(['b2', 'b1'])
  })

  // Guards against requests to a server that has gone: the snapshot of a peer that only knew the copy of the store made it usable again.
  test('does not use a server again because the snapshot of a peer in a new era has it', () => {
    const { gateway, clock } = servingInstance()
    gateway.applyChange({ kind: StoreChangeKind.BackendRemoved, id: 'b1' }, { era: 1, revision: 13 })
    clock.ms += 1
    gateway.applyPeerSnapshot('10.0.0.2', { era: 2, revision: 9, configuration: null, backends: [backend()] })
    expect(gateway.backends.ready('plain')).toEqual([])
  })

  // Guards against requests to a server that has left for good: with its entry gone, nothing said that it had been leaving.
  test('keeps a server leaving that had said so before its entry was removed, also when it writes its entry again', () => {
    const { gateway } = servingInstance()
    gateway.applyChange({ kind: StoreChangeKind.Backend, backend: backend({ state: ServerState.Leaving }) }, { era: 1, revision: 13 })
    gateway.applyChange({ kind: StoreChangeKind.BackendRemoved, id: 'b1' }, { era: 1, revision: 14 })
    gateway.applyListing({ era: 2, revision: 9, changes: [{ kind: StoreChangeKind.Backend, backend: backend() }] })
    gateway.applyChange({ kind: StoreChangeKind.Backend, backend: backend() }, { era: 2, revision: 10 })
    expect([gateway.backends.get('b1')?.state, gateway.backends.ready('plain')]).toEqual([ServerState.Leaving, []])
  })

  // Guards against requests to the address of an incarnation that no longer runs: the copy of the store had it, and the one that runs now was forgotten.
  test('keeps the newer incarnation of a server that a new era lists with an older one, and drops it if it does not register again', () => {
    const { gateway, clock } = servingInstance()
    const restarted = backend({ startedAtMs: 2, address: '10.0.0.2:80' })
    gateway.applyChange({ kind: StoreChangeKind.Backend, backend: restarted }, { era: 1, revision: 13 })
    const changes = [{ kind: StoreChangeKind.Backend, backend: backend() } as const]
    gateway.applyListing({ era: 2, revision: 9, changes })
    expect([gateway.backends.get('b1'), gateway.backends.staleness(restarted)]).toEqual([restarted, Staleness.Missing])
    clock.ms += REREGISTRATION_GRACE_MS
    gateway.tick()
    gateway.applyListing({ era: 2, revision: 10, changes })
    expect(gateway.backends.get('b1')).toBeUndefined()
  })

  // Guards against a configuration that comes back older: the copy that the store returned from holds the one before.
  test('keeps its configuration when a new era holds an older version, and takes the same version again without effect', () => {
    const { gateway, log } = servingInstance()
    const written = (version: number): StoreChange => ({ kind: StoreChangeKind.Configuration, configuration: configuration({ version }) })
    gateway.applyListing({ era: 2, revision: 9, changes: [written(5)] })
    gateway.applyChange(written(7), { era: 2, revision: 10 })
    expect([gateway.configuration?.version, gateway.configuration?.routes.length, log.lines.filter((line) => line.startsWith('configuration.'))]).toEqual([7, 2, []])
    gateway.applyChange(written(8), { era: 2, revision: 11 })
    expect(gateway.configuration?.version).toBe(8)
  })

  // Guards against an instance that serves an older configuration than the others: it started when the store had just returned from a copy, and could reach it.
  test('asks a peer for a newer configuration than that of the store, although it reaches the store in a newer era', () => {
    const { gateway } = createInstance()
    gateway.applyListing({ era: 2, revision: 9, changes: [{ kind: StoreChangeKind.Configuration, configuration: configuration({ version: 5 }) }] })
    gateway.recordStoreReachability(true)
    gateway.instances.recordHeartbeat({ ...gateway.status(), ip: '10.0.0.2', configurationVersion: 7, storeEra: 1, storeRevision: 57 })
    expect(gateway.peerWithNewerState()?.ip).toBe('10.0.0.2')
    gateway.applyPeerSnapshot('10.0.0.2', { era: 1, revision: 57, configuration: configuration({ version: 7 }), backends: [] })
    expect([gateway.configuration?.version, gateway.peerWithNewerState()]).toEqual([7, undefined])
  })

  test('logs once that a newer configuration is known but not in force, and exposes since when', () => {
    const { gateway, log, clock } = servingInstance()
    gateway.instances.recordHeartbeat({ ...gateway.status(), ip: '10.0.0.2', configurationVersion: 9 })
    for (const ms of [0, 900, 1200, 1300]) {
      clock.ms = LISTENING_MS + ms
      gateway.tick()
    }
    expect(log.lines.filter((line) => line.startsWith('configuration.'))).toEqual(['configuration.behind version=7 newest=9 behindMs=1200 reachesStore=false storeRevision=12'])
    expect(gateway.configurationBehindMs).toBe(1300)
    gateway.applyConfiguration(configuration({ version: 9 }), 'store')
    gateway.tick()
    expect(gateway.configurationBehindMs).toBe(0)
  })

  test.each([
    ['a non-idempotent request of unknown outcome', '/order/x', () => ExchangeOutcome.Broken],
    ['a non-idempotent request that the server rejected', '/order/x', () => ({ status: 503, meaning: ResponseMeaning.NotRun })],
    ['a stream that broke off', '/stream/x', () => ({ parts: ['id: 1\ndata: a\n\n'], end: 'broken' })],
    ['a path without a route', '/none/x', () => 'silent']
  ] as Array<[string, string, () => ScriptedReaction]>)('logs lines that explain %s', async (_name, path, respond) => {
    const { gateway, log } = servingInstance(respond)
    const generationParameters = path.startsWith('/stream') ? { promptTokens: 500, maxOutputTokens: 900, estimatedOutputTokens: null, promptId: null, sharedParts: [] } : null
    gateway.serve(callerRequest({ path, target: path, arrivedMs: LISTENING_MS, generationParameters }), new RecordingResponder())
    await flushEventLoop()
    expect(log.lines.filter((line) => line.includes('request=q1'))).toMatchSnapshot()
  })

  // Guards against a runner that gets nothing for 25 s after each listing, because of an order that was carried out long before.
  test.each([
    ['again in the same era', 1, 13],
    ['by the copy of the store', 2, 11]
  ])('takes an order record for a new order only once, also when it is listed %s', (_name, era, revision) => {
    const { gateway } = createInstance()
    const runner = { kind: StoreChangeKind.Backend, backend: backend({ id: 'd1', service: 'model', stage: RunnerRole.Decode }) } as const
    const record = { kind: StoreChangeKind.OrderRecord, service: 'model', record: { holder: 'n2', server: 'd1', revision: 5 } } as const
    gateway.applyListing({ era: 1, revision: 12, changes: [record, runner] })
    gateway.applyListing({ era, revision, changes: [record, runner] })
    expect(gateway.isChangingRole('d1')).toBe(false)
    gateway.applyChange({ ...record, record: { ...record.record, revision: 14 } }, { era, revision: 14 })
    expect(gateway.isChangingRole('d1')).toBe(true)
  })
})
