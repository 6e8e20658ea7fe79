import { afterEach, describe, expect, test } from '@jest/globals'
import { RunnerRole } from '../../src/gateway/backend.js'
import { BackendTable } from '../../src/gateway/backend-table.js'
import { RouteKind } from '../../src/gateway/configuration.js'
import { InstanceTable, UNRESPONSIVE_LIVENESS_MS } from '../../src/gateway/instance-table.js'
import { type PeerDatagram, PeerDatagramKind } from '../../src/gateway/peer-datagram.js'
import { PendingRequest } from '../../src/gateway/pending-request.js'
import { PlacementClient } from '../../src/gateway/placement-client.js'
import { PlacementScheduler } from '../../src/gateway/placement-scheduler.js'
import { backend, callerRequest, recordingLog, RecordingResponder, route } from './gateway-fixtures.js'

const engine = { slots: 64, memoryTokens: 100_000, tokensPerEvent: 73, roleChangeMs: 6000 }

interface Fixture {
  client: PlacementClient
  sent: Array<{ ip: string, message: PeerDatagram }>
  instances: InstanceTable
  responder: RecordingResponder
  pending: PendingRequest
  log: ReturnType<typeof recordingLog>
  /** Advances the instance table's clock by this many milliseconds, so that the peers' heartbeats grow old. */
  ageHeartbeats: (ms: number) => void
}

const pendingRequests: PendingRequest[] = []

afterEach(() => { for (const pending of pendingRequests.splice(0)) pending.complete() })

/** An instance with the IP address 10.0.0.1 and the given peers; `answer` is called for each message that a peer receives. */
function fixture (peers: string[], answer: (fixture: Fixture, ip: string, message: PeerDatagram) => void = () => {}): Fixture {
  const nowMs = (): number => performance.now()
  const backends = new BackendTable({ nowMs })
  backends.put(backend({ id: 'd1', service: 'model', stage: RunnerRole.Decode }))
  let agedMs = 0
  const instances = new InstanceTable({ ip: '10.0.0.1', nowMs: () => nowMs() + agedMs })
  for (const ip of peers) instances.recordHeartbeat({ ip, failureDomain: 'a', callers: `${ip}:80`, ready: true, configurationVersion: 1, storeRevision: 1, reachesStore: true, processorShare: 1 })
  const responder = new RecordingResponder()
  const log = recordingLog()
  const sent: Fixture['sent'] = []
  const result: Fixture = {
    sent,
    instances,
    responder,
    log,
    ageHeartbeats: (ms) => { agedMs += ms },
    pending: new PendingRequest({
      request: callerRequest({ arrivedMs: nowMs(), generationParameters: { promptTokens: 5000, maxOutputTokens: 9000, estimatedOutputTokens: 5000, promptId: null, sharedParts: [] } }),
      route: route({ kind: RouteKind.Streaming, timeoutMs: 5000, targetLatencyMs: 900 }),
      service: 'model',
      responder,
      nowMs
    }),
    client: new PlacementClient({
      ip: '10.0.0.1',
      failureDomain: 'a',
      instances,
      scheduler: new PlacementScheduler({ nowMs, backends, engine: () => engine }),
      localScheduler: new PlacementScheduler({ nowMs, backends, engine: () => engine }),
      engine: () => engine,
      pauses: () => [{ server: 'd9', leftMs: 700 }],
      canCoordinate: () => false,
      send: (ip, message) => {
        sent.push({ ip, message })
        setImmediate(() => answer(result, ip, message))
      },
      log,
      nowMs
    })
  }
  pendingRequests.push(result.pending)
  return result
}

const kinds = ({ sent }: Fixture): string[] => sent.map(({ message }) => message.kind)

describe('PlacementClient', () => {
  test('uses the placement from the coordinator, reports progress to it and releases the run at the end', async () => {
    const setup = fixture(['10.0.0.2'], ({ client }, _ip, message) => {
      if (message.kind === PeerDatagramKind.Place) client.handleAnswer({ kind: PeerDatagramKind.Placed, id: message.request.id, prefill: 'p1', decode: 'd1' })
    })
    expect(await setup.client.place(setup.pending, [])).toEqual({ prefill: 'p1', decode: 'd1' })
    setup.client.recordPrefillDone('q1', 40)
    setup.client.recordProgress('q1', '1')
    setup.client.sendReports()
    setup.responder.disconnect()
    expect(kinds(setup)).toEqual(['place', 'prefilled', 'report', 'release'])
    expect(setup.sent[2]?.message).toMatchObject({ runs: [{ id: 'q1', decode: 'd1', madeTokens: 73 }] })
  })

  test('sends the request again when a datagram is lost', async () => {
    let lost = 1
    const setup = fixture(['10.0.0.2'], ({ client }, _ip, message) => {
      if (message.kind !== PeerDatagramKind.Place || lost-- > 0) return
      client.handleAnswer({ kind: PeerDatagramKind.Placed, id: message.request.id, prefill: null, decode: 'd1' })
    })
    expect(await setup.client.place(setup.pending, [])).toEqual({ prefill: null, decode: 'd1' })
    expect(kinds(setup)).toEqual(['place', 'place'])
  })

  test('sends the placement request to the next coordinator when the first is dead, and decides alone when that is dead too', async () => {
    const setup = fixture(['10.0.0.2', '10.0.0.3'])
    setup.ageHeartbeats(UNRESPONSIVE_LIVENESS_MS)
    expect(await setup.client.place(setup.pending, [])).toEqual({ prefill: null, decode: 'd1' })
    expect(new Set(setup.sent.filter(({ message }) => message.kind === PeerDatagramKind.Place).map(({ ip }) => ip)).size).toBe(2)
    expect(setup.log.lines.filter((line) => line.startsWith('keeper.silent'))).toHaveLength(2)
  })

  test('tries no other coordinator, which would not know the placed runs, while the silent one is alive', async () => {
    const setup = fixture(['10.0.0.2', '10.0.0.3'])
    expect(await setup.client.place(setup.pending, [])).toEqual({ prefill: null, decode: 'd1' })
    expect(new Set(setup.sent.filter(({ message }) => message.kind === PeerDatagramKind.Place).map(({ ip }) => ip)).size).toBe(1)
  })

  test('releases the second placement request of a caller request too when the caller disconnects', async () => {
    let placeRequests = 0
    const setup = fixture(['10.0.0.2'], ({ client, responder }, _ip, message) => {
      if (message.kind !== PeerDatagramKind.Place) return
      placeRequests += 1
      if (placeRequests === 1) return client.handleAnswer({ kind: PeerDatagramKind.Placed, id: message.request.id, prefill: null, decode: 'd1' })
      client.handleAnswer({ kind: PeerDatagramKind.Waiting, id: message.request.id })
      responder.disconnect()
    })
    await setup.client.place(setup.pending, [])
    await setup.client.place(setup.pending, ['d1'])
    await new Promise((resolve) => setTimeout(resolve, 400))
    expect(setup.sent.at(-1)?.message.kind).toBe(PeerDatagramKind.Release)
    expect(setup.log.lines).toEqual([])
  })

  test('keeps the latency objective of a request with a short deadline, because a short deadline does not show that the request is a retry after a refusal', async () => {
    const setup = fixture(['10.0.0.2'], ({ client }, _ip, message) => {
      if (message.kind === PeerDatagramKind.Place) client.handleAnswer({ kind: PeerDatagramKind.Placed, id: message.request.id, prefill: null, decode: 'd1' })
    })
    setup.pending.request.deadlineMs = 4000
    await setup.client.place(setup.pending, [])
    const sentRequest = setup.sent.map(({ message }) => message).find((message) => message.kind === PeerDatagramKind.Place)
    expect(sentRequest?.request.objectiveLeftMs).toBeGreaterThan(800)
  })

  test('releases a request that waits at the coordinator when its caller disconnects', async () => {
    const setup = fixture(['10.0.0.2'], ({ client, responder }, _ip, message) => {
      if (message.kind !== PeerDatagramKind.Place) return
      client.handleAnswer({ kind: PeerDatagramKind.Waiting, id: message.request.id })
      responder.disconnect()
    })
    await setup.client.place(setup.pending, [])
    expect(kinds(setup)).toEqual(['place', 'release'])
  })

  describe('placeAlternative', () => {
    const placed = (decode: string) => ({ client }: Fixture, _ip: string, message: PeerDatagram): void => {
      if (message.kind === PeerDatagramKind.Place) client.handleAnswer({ kind: PeerDatagramKind.Placed, id: message.request.id, prefill: null, decode: message.request.id === 'q1' ? 'd1' : decode })
    }
    const released = ({ sent }: Fixture): string[] => sent.flatMap(({ message }) => message.kind === PeerDatagramKind.Release ? [message.id] : [])

    // Guards against a silent run that loses its memory at the coordinator although it may go on.
    test('keeps the present run until the alternative is accepted, then reports and releases the new one', async () => {
      const setup = fixture(['10.0.0.2'], placed('d2'))
      await setup.client.place(setup.pending, [])
      const search = setup.client.placeAlternative(setup.pending, 1200)
      expect(await search.decision).toEqual({ prefill: null, decode: 'd2' })
      expect(released(setup)).toEqual([])
      search.accept()
      expect(released(setup)).toEqual(['q1'])
      setup.client.recordProgress('q1', '1')
      setup.client.sendReports()
      expect(setup.sent.at(-1)?.message).toMatchObject({ runs: [{ id: 'q1/1', decode: 'd2', madeTokens: 73 }] })
      setup.responder.disconnect()
      expect(released(setup)).toEqual(['q1', 'q1/1'])
    })

    // Guards against places that stay reserved for a stream that did not move.
    test.each([
      ['withdrawn after the decision', async (setup: Fixture) => {
        const search = setup.client.placeAlternative(setup.pending, 1200)
        await search.decision
        search.withdraw()
        search.accept()
      }],
      ['withdrawn before the decision', async (setup: Fixture) => {
        const search = setup.client.placeAlternative(setup.pending, 1200)
        search.withdraw()
        await search.decision
      }],
      ['not used before the request ends', async (setup: Fixture) => {
        await setup.client.placeAlternative(setup.pending, 1200).decision
        setup.responder.disconnect()
      }]
    ])('releases an alternative that is %s', async (_name, use) => {
      const setup = fixture(['10.0.0.2'], placed('d2'))
      await setup.client.place(setup.pending, [])
      await use(setup)
      await new Promise((resolve) => setTimeout(resolve, 20))
      expect(released(setup)).toContain('q1/1')
      setup.client.sendReports()
      expect(setup.sent.flatMap(({ message }) => message.kind === PeerDatagramKind.Report ? message.runs.map(({ id }) => id) : [])).not.toContain('q1/1')
    })

    // Guards against streams cut for a place that an instance chose alone, without knowing the runs of the others.
    test('is refused while the coordinator does not answer, and withdrawn from it', async () => {
      const setup = fixture(['10.0.0.2'], placed('d2'))
      await setup.client.place(setup.pending, [])
      const silent = fixture(['10.0.0.2'])
      const search = silent.client.placeAlternative(silent.pending, 1200)
      expect(await search.decision).toMatchObject({ refusal: 'no-coordinator' })
      search.withdraw()
      expect(silent.sent.at(-1)).toMatchObject({ ip: '10.0.0.2', message: { kind: PeerDatagramKind.Release, id: 'q1/1' } })
    })

    // Guards against begun streams that never get another place, as each search ranked behind all requests that arrived later.
    test('asks for the next event before the caller gives up', async () => {
      const setup = fixture(['10.0.0.2'], placed('d2'))
      await setup.client.placeAlternative(setup.pending, 1200).decision
      expect(setup.sent[0]?.message).toMatchObject({ request: { objectiveLeftMs: 4 * 900 - 1200, patienceMs: 4 * 900 - 1200 - 250 } })
    })
  })
})
