import { describe, expect, test } from '@jest/globals'
import { RunnerRole, ServerState } from '../../src/gateway/backend.js'
import { type SendOptions, ResponseMeaning } from '../../src/gateway/backend-client.js'
import { BackendTable } from '../../src/gateway/backend-table.js'
import { type Route, RouteKind } from '../../src/gateway/configuration.js'
import { ExchangeOutcome } from '../../src/gateway/exchange-outcome.js'
import { PromptQuarantine } from '../../src/gateway/prompt-quarantine.js'
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js'
import { PendingRequest } from '../../src/gateway/pending-request.js'
import { type Placement, PlacementRefusal, type RefusedPlacement } from '../../src/gateway/placement.js'
import type { Placer } from '../../src/gateway/placer.js'
import { RetryBudget } from '../../src/gateway/retry-budget.js'
import { ServerHealth } from '../../src/gateway/server-health.js'
import type { ServerPauses } from '../../src/gateway/server-pauses.js'
import { forwardStream } from '../../src/gateway/stream-forwarding.js'
import { backend, callerRequest, recordingLog, RecordingResponder, route, type ScriptedReaction, ScriptedBackendClient } from './gateway-fixtures.js'
import { soleInstanceLimits } from './limit-fixtures.js'
import { alternative, noRunner } from './placer-fixtures.js'

interface ForwardingRun {
  backends: BackendTable
  responder: RecordingResponder
  backendClient: ScriptedBackendClient
  placerCalls: string[]
  pending: PendingRequest
  pauses: ServerPauses
  log: ReturnType<typeof recordingLog>
  done: Promise<void>
}

const isPrefill = (options: SendOptions): boolean => options.prefillOnly === true

function startForwarding (options: { requestId?: string, sharedParts?: string[], quarantine?: PromptQuarantine, route?: Partial<Route>, placements?: Array<Placement | RefusedPlacement>, alternative?: Placement, slack?: number, disconnectsAfterPrefill?: boolean, respond: (options: SendOptions, sendNumber: number) => ScriptedReaction }): ForwardingRun {
  const nowMs = (): number => performance.now()
  const backends = new BackendTable({ nowMs })
  backends.put(backend({ id: 'p1', service: 'model', stage: RunnerRole.Prefill, address: '10.0.0.9:80' }))
  for (const id of ['d1', 'd2']) backends.put(backend({ id, service: 'model', stage: RunnerRole.Decode }))
  const placerCalls: string[] = []
  const placements = options.placements ?? [{ prefill: 'p1', decode: 'd1' }, { prefill: 'p1', decode: 'd2' }]
  const placer: Placer = {
    place: (_pending, excluded) => Promise.resolve(placements[excluded.length] ?? noRunner),
    placeAlternative: () => alternative(options.alternative ?? noRunner, (call) => placerCalls.push(`alternative ${call}`)),
    recordPrefillDone: (_id, tokensPerMs) => {
      placerCalls.push(tokensPerMs === null ? 'prefill ended, no rate measured' : 'prefill ended, rate measured')
      if (options.disconnectsAfterPrefill === true) responder.disconnect()
    },
    recordProgress: (_id, eventId) => placerCalls.push(`event ${eventId}`),
    recordRunnerFailure: (_service, server) => placerCalls.push(`failed ${server}`)
  }
  const backendClient = new ScriptedBackendClient(options.respond)
  const log = recordingLog()
  const responder = new RecordingResponder()
  const request = callerRequest({ id: options.requestId ?? 'q1', arrivedMs: nowMs(), generationParameters: { promptTokens: 100, maxOutputTokens: 100, estimatedOutputTokens: null, promptId: null, sharedParts: options.sharedParts ?? [] } })
  const pending = new PendingRequest({
    request,
    route: route({ kind: RouteKind.Streaming, attempts: 1, timeoutMs: 3000, ...options.route }),
    service: 'model',
    responder,
    nowMs
  })
  const limits = soleInstanceLimits(nowMs)
  const done = forwardStream({
    backends,
    backendClient,
    health: new ServerHealth({ nowMs }),
    retryBudget: new RetryBudget({ nowMs, allowance: () => ({ ratio: 0, slack: options.slack ?? 100, windowS: 1 }), instanceCount: () => 1 }),
    failureDomain: 'a',
    log,
    nowMs,
    metrics: new GatewayMetrics(),
    ...limits,
    random: () => 0,
    placer,
    quarantine: options.quarantine ?? new PromptQuarantine({ nowMs, log: recordingLog() })
  }, pending)
  return { backends, responder, backendClient, placerCalls, pending, pauses: limits.pauses, log, done }
}

const stream = { parts: ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'] }
const broken = { parts: ['id: 1\ndata: a\n\nid: 2\nda'], end: 'broken' as const }
const notRun = { status: 503, meaning: ResponseMeaning.NotRun }

describe('forwardStream', () => {
  test('runs the prefill on one runner and streams from another', async () => {
    const { responder, backendClient, done } = startForwarding({ respond: (options) => isPrefill(options) ? { parts: ['h1'] } : stream })
    await done
    expect(backendClient.sent.map(({ backend: { id }, prefillOnly, kvCache }) => ({ id, prefillOnly, kvCache }))).toEqual([
      { id: 'p1', prefillOnly: true, kvCache: undefined },
      { id: 'd1', prefillOnly: undefined, kvCache: { address: '10.0.0.9:80', handle: 'h1' } }
    ])
    expect(responder).toMatchObject({ text: stream.parts.join(''), ending: 'ended' })
  })

  test('lets the decode runner compute the prompt when the prefill runner fails', async () => {
    const { responder, backendClient, placerCalls, done } = startForwarding({ respond: (options) => isPrefill(options) ? ExchangeOutcome.Broken : stream })
    await done
    expect(backendClient.sent[1]?.kvCache).toBeNull()
    expect(placerCalls).toContain('failed p1')
    expect(responder.ending).toBe('ended')
  })

  // Guards against requests that are refused although their decode runner would serve them.
  test.each<[string, ScriptedReaction]>([
    ['breaks off', ExchangeOutcome.Broken],
    ['is silent', ExchangeOutcome.TimedOut],
    ['has an unreadable answer', { parts: [] }]
  ])('lets the decode runner compute the prompt when the prefill %s and the retry budget is exhausted', async (_name, reaction) => {
    const { responder, backendClient, done } = startForwarding({ slack: 0, respond: (options) => isPrefill(options) ? reaction : stream })
    await done
    expect(responder).toMatchObject({ text: stream.parts.join(''), ending: 'ended' })
    expect(backendClient.sent.map(({ backend: { id } }) => id)).toEqual(['p1', 'd1'])
  })

  // Guards against more arrivals than the retry budget allows: a rejected prefill counts as the first one.
  test('refuses a request whose prefill was rejected when the retry budget is exhausted', async () => {
    const { responder, backendClient, done } = startForwarding({ slack: 0, respond: (options) => isPrefill(options) ? notRun : stream })
    await done
    expect(responder.refusal).toBe('no-server')
    expect(backendClient.sent).toHaveLength(1)
  })

  test('retries on the same decode runner without the KV cache of the prompt when that has been evicted', async () => {
    const { responder, backendClient, done } = startForwarding({ respond: (options) => isPrefill(options) ? { parts: ['h1'] } : options.kvCache === null ? stream : notRun })
    await done
    expect(backendClient.sent.map(({ backend: { id } }) => id)).toEqual(['p1', 'd1', 'd1'])
    expect(responder.ending).toBe('ended')
  })

  test('resumes a broken stream on another runner after the last complete event if the route is resumable', async () => {
    const { responder, backendClient, done } = startForwarding({
      route: { resumable: true, attempts: 2 },
      respond: (options) => isPrefill(options) ? { parts: ['h1'] } : options.backend.id === 'd1' ? broken : { parts: ['id: 2\ndata: b\n\n'] }
    })
    await done
    expect(backendClient.sent.at(-1)).toMatchObject({ backend: { id: 'd2' }, lastEventId: '1' })
    expect(responder).toMatchObject({ text: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', ending: 'ended' })
  })

  // Guards against requests that reach a runner long after it has said that it leaves: it was checked only before the prefill.
  test.each([
    ['during the prefill', (options: SendOptions) => isPrefill(options), ['p1', 'd2']],
    ['before the request is sent again without the KV cache', (options: SendOptions) => options.kvCache != null, ['p1', 'd1', 'p1', 'd2']]
  ])('sends nothing to a decode runner that leaves %s', async (_name, leavesAt, servers) => {
    const run = startForwarding({
      respond: (options) => {
        if (options.backend.id !== 'd2' && leavesAt(options)) run.backends.put(backend({ id: 'd1', service: 'model', stage: RunnerRole.Decode, state: ServerState.Leaving }))
        return isPrefill(options) ? { parts: ['h1'] } : options.backend.id === 'd1' ? notRun : stream
      },
      route: { attempts: 2 }
    })
    await run.done
    expect(run.backendClient.sent.map(({ backend: { id } }) => id)).toEqual(servers)
    expect(run.responder).toMatchObject({ text: stream.parts.join(''), ending: 'ended' })
    expect(run.log.lines.filter((line) => line.startsWith('send.stale'))).toEqual([expect.stringContaining('server=d1 prefill=false state=leaving')])
    expect(run.backendClient.freed).toEqual([])
  })

  // Guards against a request that is placed again and again on a runner that leaves, until the coordinator has heard of it.
  test('is refused at once when this instance knows that all decode runners leave, though the coordinator does not', async () => {
    const run = startForwarding({
      placements: Array.from({ length: 50 }, () => ({ prefill: 'p1', decode: 'd1' })),
      respond: () => {
        for (const id of ['d1', 'd2']) run.backends.put(backend({ id, service: 'model', stage: RunnerRole.Decode, state: ServerState.Leaving }))
        return { parts: ['h1'] }
      }
    })
    await run.done
    expect(run.responder).toMatchObject({ ending: 'refused', refusal: 'overloaded' })
    // A placement request would have been answered with another time.
    expect(run.log.lines.filter((line) => line.startsWith('placement.refused'))).toEqual([expect.stringMatching(/reason=no-runner .*retryAfterMs=1500/)])
  })

  test('frees the KV cache of the prompt when no other runner can take it over', async () => {
    const run = startForwarding({
      placements: [{ prefill: 'p1', decode: 'd1' }],
      respond: () => {
        run.backends.put(backend({ id: 'd1', service: 'model', stage: RunnerRole.Decode, state: ServerState.Leaving }))
        return { parts: ['h1'] }
      }
    })
    await run.done
    expect([run.responder.refusal, run.backendClient.freed]).toEqual(['overloaded', [{ address: '10.0.0.9:80', handle: 'h1' }]])
  })

  test('counts a second prefill as a retry too, and lets the decode runner compute the prompt when the retry budget is exhausted', async () => {
    const { backendClient, done } = startForwarding({
      // A slack of 1.5 allows one retry: resuming on the second runner consumes it, so none is left for a second prefill.
      slack: 1.5,
      route: { resumable: true, attempts: 2 },
      respond: (options) => isPrefill(options) ? { parts: ['h1'] } : options.backend.id === 'd1' ? broken : { parts: ['id: 2\ndata: b\n\n'] }
    })
    await done
    expect(backendClient.sent.map(({ backend: { id }, kvCache }) => `${id} ${kvCache === undefined || kvCache === null ? 'without cache' : 'with cache'}`)).toEqual([
      'p1 without cache', 'd1 with cache', 'd2 without cache'
    ])
  })

  test('aborts a broken stream that is not resumable, so that the caller never receives parts of two runs as one stream', async () => {
    const { responder, backendClient, done } = startForwarding({ route: { attempts: 2 }, respond: (options) => isPrefill(options) ? { parts: ['h1'] } : broken })
    await done
    expect(backendClient.sent.filter((options) => !isPrefill(options))).toHaveLength(1)
    expect(responder.ending).toBe('aborted')
  })

  test('frees the KV cache of the prompt when the caller disconnects before decoding starts', async () => {
    const { backendClient, done } = startForwarding({ disconnectsAfterPrefill: true, respond: () => ({ parts: ['h1'] }) })
    await done
    expect(backendClient.sent.filter((options) => !isPrefill(options))).toHaveLength(0)
    expect(backendClient.freed).toEqual([{ address: '10.0.0.9:80', handle: 'h1' }])
  })

  test('refuses a request as overloaded, with the time after which to retry, when no placement is possible', async () => {
    const { responder, backendClient, done } = startForwarding({ placements: [{ refusal: PlacementRefusal.NoMemory, retryAfterMs: 900, waiting: 0, runs: 0 }], respond: () => stream })
    await done
    expect(backendClient.sent).toHaveLength(0)
    expect(responder).toMatchObject({ refusal: 'overloaded' })
    expect(responder.retryAfterMs).toBeGreaterThanOrEqual(900)
  })

  test('sends a 5xx response of a runner to the caller', async () => {
    const { responder, done } = startForwarding({ respond: (options) => isPrefill(options) ? { parts: ['h1'] } : { status: 500, parts: ['bad'] } })
    await done
    expect(responder).toMatchObject({ status: 500, text: 'bad', ending: 'ended' })
  })

  describe('with a runner that falls silent and goes on', () => {
    const pausing = { parts: ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'], pauseMs: 1700 }
    const respond = (options: SendOptions): ScriptedReaction => isPrefill(options) ? { parts: ['h1'] } : options.backend.id === 'd1' ? pausing : { parts: ['id: 2\ndata: b\n\n'] }
    const resumable = { resumable: true, attempts: 2 }

    // Guards against streams that are cut for a pause of their runner and end without an answer, as no other runner takes them.
    test.each([
      ['no other runner has a place', { route: resumable, placements: [{ prefill: 'p1', decode: 'd1' }] }],
      ['the attempts of the route are used up', { route: { resumable: true, attempts: 1 }, alternative: { prefill: 'p1', decode: 'd2' } }],
      ['the retry budget is exhausted', { route: resumable, slack: 0, alternative: { prefill: 'p1', decode: 'd2' } }],
      ['the other place is on the same runner', { route: resumable, alternative: { prefill: 'p1', decode: 'd1' } }],
      ['the other place is on a runner that has left', { route: resumable, alternative: { prefill: 'p1', decode: 'gone' } }]
    ])('keeps the stream when %s', async (_name, options) => {
      const run = startForwarding({ ...options, respond })
      await run.done
      expect(run.responder).toMatchObject({ text: pausing.parts.join(''), ending: 'ended' })
      expect(run.backendClient.sent.filter((sent) => !isPrefill(sent)).map(({ backend: { id } }) => id)).toEqual(['d1'])
      expect(run.placerCalls).not.toContain('alternative accepted')
    })

    // Guards against streams that stay with a silent runner until they time out, because their caller once read slowly.
    test('seeks another runner for a silent stream also after the caller has read slowly', async () => {
      const run = startForwarding({ route: { ...resumable, timeoutMs: 4000 }, alternative: { prefill: null, decode: 'd2' }, respond: (options) => options.backend.id === 'd1' ? { parts: ['id: 1\ndata: a\n\n'], end: 'open' } : respond(options) })
      run.responder.pauseAfterNextWriteMs = 50
      await run.done
      expect(run.responder).toMatchObject({ text: pausing.parts.join(''), ending: 'ended' })
    })

    // Guards against a second run of a stream: the watch over the first runner started again when the caller read on.
    test('seeks no other runner for a stream that has gone on elsewhere while its caller read slowly', async () => {
      const run = startForwarding({
        route: { resumable: true, attempts: 3, timeoutMs: 1800 },
        alternative: { prefill: null, decode: 'd1' },
        respond: (options) => isPrefill(options) ? { parts: ['h1'] } : options.backend.id === 'd1' ? broken : { parts: ['id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'], pauseMs: 1000, end: 'open' }
      })
      run.responder.pauseAfterNextWriteMs = 50
      await new Promise<void>((resolve) => run.pending.whenEnded(resolve))
      expect(run.backendClient.sent.filter((sent) => !isPrefill(sent)).map(({ backend: { id } }) => id)).toEqual(['d1', 'd2'])
      expect(run.log.lines.filter((line) => line.startsWith('stream.silent'))).toEqual([])
    })

    // Guards against streams that are cut before the next runner has accepted them.
    test.each<[string, ScriptedReaction]>([
      ['rejects the request', notRun],
      ['answers with an error', { status: 500, parts: ['bad'] }],
      ['can not be reached', ExchangeOutcome.NotSent]
    ])('keeps the stream when the other runner %s', async (_name, reaction) => {
      const run = startForwarding({ route: resumable, alternative: { prefill: null, decode: 'd2' }, respond: (options) => options.backend.id === 'd2' ? reaction : respond(options) })
      await run.done
      expect(run.responder).toMatchObject({ text: pausing.parts.join(''), ending: 'ended' })
      expect(run.placerCalls).not.toContain('alternative accepted')
    })

    test.each<[string, ScriptedReaction]>([
      ['fails', ExchangeOutcome.Broken],
      ['is rejected', notRun]
    ])('keeps the stream or moves it when a second prefill %s, and does not end it', async (_name, reaction) => {
      let prefills = 0
      // A slack of 3 allows the move and its prefill, but no retry for the failed prefill.
      const run = startForwarding({ route: resumable, slack: 3, alternative: { prefill: 'p1', decode: 'd2' }, respond: (options) => isPrefill(options) && prefills++ > 0 ? reaction : respond(options) })
      await run.done
      expect(run.responder).toMatchObject({ text: pausing.parts.join(''), ending: 'ended' })
    })

    // Guards against two runs of one stream: the first runner went on while the other one prepared to take over.
    test('keeps the stream when its runner goes on during the prefill of the move', async () => {
      let prefills = 0
      const run = startForwarding({
        route: resumable,
        alternative: { prefill: 'p1', decode: 'd2' },
        respond: (options) => {
          if (!isPrefill(options)) return respond(options)
          prefills += 1
          return prefills === 1 ? { parts: ['h1'] } : { parts: ['h', '2'], pauseMs: 800 }
        }
      })
      await run.done
      expect(run.backendClient.sent.map(({ backend: { id } }) => id)).toEqual(['p1', 'd1', 'p1'])
      expect(run.responder).toMatchObject({ text: pausing.parts.join(''), ending: 'ended' })
      await new Promise((resolve) => setTimeout(resolve, 500))
      expect(run.backendClient.freed).toEqual([{ address: '10.0.0.9:80', handle: 'h2' }])
    })

    // Guards against two runs of one stream: a runner that is slow to answer may already work on it.
    test('cuts the first runner when the other one neither accepts nor rejects the request soon', async () => {
      const run = startForwarding({ route: { ...resumable, timeoutMs: 2200 }, alternative: { prefill: null, decode: 'd2' }, respond: (options) => options.backend.id === 'd2' ? 'silent' : respond(options) })
      await new Promise<void>((resolve) => run.pending.whenEnded(resolve))
      expect(run.log.lines.find((line) => line.startsWith('stream.moved'))).toMatch(/server=d1 to=d2/)
      expect(run.responder.text).toBe('id: 1\ndata: a\n\n')
    })

    // Guards against answers that end in the middle, because the next runner rejects the request after the first one was cut.
    test('goes back to the first runner when the other one rejects the request late', async () => {
      let runs = 0
      const run = startForwarding({
        route: resumable,
        placements: [{ prefill: null, decode: 'd1' }],
        alternative: { prefill: null, decode: 'd2' },
        respond: ({ backend: { id } }) => id === 'd2' ? { ...notRun, silentMs: 300 } : runs++ === 0 ? { parts: ['id: 1\ndata: a\n\n'], end: 'open' } : { parts: ['id: 2\ndata: b\n\n'] }
      })
      await new Promise<void>((resolve) => run.pending.whenEnded(resolve))
      expect(run.responder).toMatchObject({ text: pausing.parts.join(''), ending: 'ended' })
      expect(run.backendClient.sent.map(({ backend: { id }, lastEventId }) => [id, lastEventId])).toEqual([['d1', null], ['d2', '1'], ['d1', '1']])
    })

    // Guards against a stream that is cut for a runner that will not take its resumption.
    test('keeps the stream when the other place is on a runner that has turned this instance away', async () => {
      const run = startForwarding({ route: resumable, alternative: { prefill: null, decode: 'd2' }, respond })
      run.pauses.record(backend({ id: 'd2', service: 'model', stage: RunnerRole.Decode }), 5000)
      await run.done
      expect(run.responder).toMatchObject({ text: pausing.parts.join(''), ending: 'ended' })
      expect(run.log.lines).toContainEqual(expect.stringMatching(/^stream\.kept .*reason=runner-paused/))
    })

    test('resumes the stream on another runner once that has a place, and consumes one retry', async () => {
      // A slack of 1.5 allows one retry.
      const run = startForwarding({ route: resumable, slack: 1.5, alternative: { prefill: null, decode: 'd2' }, respond })
      await run.done
      expect(run.backendClient.sent.at(-1)).toMatchObject({ backend: { id: 'd2' }, lastEventId: '1' })
      expect(run.responder).toMatchObject({ text: pausing.parts.join(''), ending: 'ended' })
      expect(run.placerCalls.filter((call) => call.startsWith('alternative'))).toEqual(['alternative accepted'])
    })
  })

  // Guards against a connection closed in the middle of an answer, where a truthful failure could still be sent.
  test('answers a request whose runner broke off in the middle of a failure, instead of aborting it', async () => {
    const { responder, pending, done } = startForwarding({ respond: (options) => isPrefill(options) ? { parts: ['h1'] } : { status: 500, parts: ['ba'], end: 'broken' } })
    await done
    expect([responder.status, responder.text, responder.ending, pending.ending]).toEqual([null, '', 'refused', 'outcome-unknown'])
  })

  // Guards against a truncated answer that looks complete: a response without a length ends like one whose runner crashed.
  test('treats a stream that ends inside an event as broken off', async () => {
    const insideEvent = { parts: ['id: 1\ndata: a\n\nid: 2\nda'], end: 'whole' as const }
    const final = startForwarding({ respond: (options) => isPrefill(options) ? { parts: ['h1'] } : insideEvent })
    await final.done
    expect(final.responder.ending).toBe('aborted')
    const resumed = startForwarding({
      route: { resumable: true, attempts: 2 },
      respond: (options) => isPrefill(options) ? { parts: ['h1'] } : options.backend.id === 'd1' ? insideEvent : { parts: ['id: 2\ndata: b\n\n'] }
    })
    await resumed.done
    expect(resumed.responder).toMatchObject({ text: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', ending: 'ended' })
  })

  // Guards against an instance that runs out of memory because a faulty runner sends bytes without end.
  test.each([
    ['an event', [`id: 1\ndata: ${'a'.repeat(300 * 1024)}`]],
    ['a stream of events', Array.from({ length: 70 }, (_, id) => `id: ${id}\ndata: ${'a'.repeat(250 * 1024)}\n\n`)]
  ])('closes the connection of a runner that sends %s without end, and aborts the answer', async (_name, parts) => {
    const { responder, placerCalls, pending, log, done } = startForwarding({ respond: (options) => isPrefill(options) ? { parts: ['h1'] } : { parts, end: 'open' } })
    await done
    expect([responder.ending, pending.ending]).toEqual(['aborted', 'aborted: outcome-unknown'])
    expect(responder.text.length).toBeLessThan(17 * 1024 * 1024)
    expect(placerCalls).toContain('failed d1')
    expect(log.lines.some((line) => line.startsWith('stream.oversized'))).toBe(true)
  })

  // Guards against a request that waits until its time runs out for a prefill whose answer has a head but no end.
  test('lets the decode runner compute the prompt when the body of the prefill response does not end in time', async () => {
    const { responder, backendClient, done } = startForwarding({ respond: (options) => isPrefill(options) ? { parts: ['h'], end: 'open' } : stream })
    await done
    expect(backendClient.sent[1]?.kvCache).toBeNull()
    expect(responder).toMatchObject({ text: stream.parts.join(''), ending: 'ended' })
  })

  // Guards against further requests being placed on a runner that has just crashed, until its entry lapses.
  test('reports a runner that broke a stream off to the coordinator, also if the stream is not resumed', async () => {
    const { placerCalls, done } = startForwarding({ respond: (options) => isPrefill(options) ? { parts: ['h1'] } : broken })
    await done
    expect(placerCalls).toContain('failed d1')
  })

  test('treats blank lines after the last event as part of a complete stream', async () => {
    for (const resumable of [false, true]) {
      const { responder, done } = startForwarding({ route: { resumable }, respond: (options) => isPrefill(options) ? { parts: ['h1'] } : { parts: ['id: 1\ndata: a\n\n\n'] } })
      await done
      expect(responder).toMatchObject({ text: 'id: 1\ndata: a\n\n\n', ending: 'ended' })
    }
  })

  describe('with prompt parts that crash runners', () => {
    const noEvent = { parts: ['id: 1\nda'], end: 'broken' as const }
    const sound = { parts: [1, 2, 3, 4].map((id) => `id: ${id}\ndata: a\n\n`) }

    async function forward (quarantine: PromptQuarantine, sharedParts: string[], { decode = noEvent as ScriptedReaction, runnerGone = true, route: routeOptions = {} as Partial<Route> } = {}): Promise<ForwardingRun> {
      const run = startForwarding({ quarantine, sharedParts, route: routeOptions, requestId: `q-${sharedParts.join('-')}-${Math.random()}`, respond: (options) => isPrefill(options) ? { parts: ['h1'] } : decode })
      if (runnerGone) run.backendClient.runnerState = null
      await run.done
      await new Promise((resolve) => setTimeout(resolve, 5))
      return run
    }

    // Guards against requests of one kind that crash one runner after the other, at whichever instance they arrive.
    test('refuses requests with the part as not run, without sending them, while sound requests that share the other parts are served', async () => {
      const quarantine = new PromptQuarantine({ nowMs: () => performance.now(), log: recordingLog() })
      await forward(quarantine, ['first', 'usual'], { decode: sound })
      await forward(quarantine, ['first', 'bad'])
      await forward(quarantine, ['first', 'usual'], { decode: sound })
      await forward(quarantine, ['first', 'bad'])
      const { responder, backendClient } = await forward(quarantine, ['first', 'bad'])
      expect(backendClient.sent).toEqual([])
      expect(responder).toMatchObject({ ending: 'refused', refusal: 'crashing-prompt' })
      expect(responder.retryAfterMs).toBeGreaterThan(20_000)
      expect((await forward(quarantine, ['first', 'usual'], { decode: sound })).responder.ending).toBe('ended')
    })

    // Guards against a request that crashes a second runner because it is resumed there.
    test('does not resume a request whose runner crashed as it began to answer', async () => {
      const quarantine = new PromptQuarantine({ nowMs: () => performance.now(), log: recordingLog() })
      const { responder, backendClient } = await forward(quarantine, ['first', 'bad'], { route: { resumable: true, attempts: 2 } })
      expect(backendClient.sent.filter((options) => !isPrefill(options)).map(({ backend: { id } }) => id)).toEqual(['d1'])
      expect(responder.ending).toBe('aborted')
      const lostConnection = await forward(quarantine, ['first', 'bad'], { route: { resumable: true, attempts: 2 }, runnerGone: false })
      expect(lostConnection.backendClient.sent.filter((options) => !isPrefill(options)).map(({ backend: { id } }) => id)).toEqual(['d1', 'd2'])
    })

    test('does not blame a prompt for a lost connection to a runner that is still there', async () => {
      const quarantine = new PromptQuarantine({ nowMs: () => performance.now(), log: recordingLog() })
      for (let request = 0; request < 3; request += 1) await forward(quarantine, ['first', 'part'], { runnerGone: false })
      expect(quarantine.suspectCount).toBe(0)
    })

    test('does not blame a prompt whose stream had begun when the runner crashed', async () => {
      const quarantine = new PromptQuarantine({ nowMs: () => performance.now(), log: recordingLog() })
      for (let request = 0; request < 3; request += 1) await forward(quarantine, ['first', 'part'], { decode: { ...sound, end: 'broken' } })
      expect(quarantine.suspectCount).toBe(0)
    })

    test('does not start the answer, and frees the KV cache, when the part is quarantined during the prefill', async () => {
      const quarantine = new PromptQuarantine({ nowMs: () => performance.now(), log: recordingLog() })
      const quarantineBad = (): void => quarantine.merge('10.0.0.2', [{ part: 'bad', service: 'model', position: 1, crashes: [], successAgeMs: null, recentlySuccessful: false, quarantineLeftMs: 9000, quarantines: 1 }])
      const { responder, backendClient, done } = startForwarding({
        quarantine,
        sharedParts: ['first', 'bad'],
        respond: () => {
          quarantineBad()
          return { parts: ['h1'] }
        }
      })
      await done
      expect(backendClient.sent.map(isPrefill)).toEqual([true])
      expect(backendClient.freed).toEqual([{ address: '10.0.0.9:80', handle: 'h1' }])
      expect(responder.refusal).toBe('crashing-prompt')
    })

    test('does not resume a stream at another runner when its part is quarantined meanwhile, and tells truthfully that it may have run', async () => {
      const quarantine = new PromptQuarantine({ nowMs: () => performance.now(), log: recordingLog() })
      const { responder, backendClient, done } = startForwarding({
        quarantine,
        sharedParts: ['bad'],
        route: { resumable: true, attempts: 2 },
        respond: (options) => {
          if (isPrefill(options)) return { parts: ['h1'] }
          quarantine.merge('10.0.0.2', [{ part: 'bad', service: 'model', position: 0, crashes: [], successAgeMs: null, recentlySuccessful: false, quarantineLeftMs: 9000, quarantines: 1 }])
          return ExchangeOutcome.Broken
        }
      })
      await done
      expect(backendClient.sent).toHaveLength(2)
      expect(responder.refusal).toBe('outcome-unknown')
    })
  })
})
