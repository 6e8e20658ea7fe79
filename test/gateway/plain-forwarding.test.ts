import { describe, expect, test } from '@jest/globals'
import { ResponseMeaning } from '../../src/gateway/backend-client.js'
import { BackendTable } from '../../src/gateway/backend-table.js'
import { type Route, RouteKind } from '../../src/gateway/configuration.js'
import { ExchangeOutcome } from '../../src/gateway/exchange-outcome.js'
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js'
import { PendingRequest } from '../../src/gateway/pending-request.js'
import { forwardPlain } from '../../src/gateway/plain-forwarding.js'
import { RetryBudget } from '../../src/gateway/retry-budget.js'
import { ServerHealth } from '../../src/gateway/server-health.js'
import { backend, callerRequest, recordingLog, RecordingResponder, route, type ScriptedReaction, ScriptedBackendClient } from './gateway-fixtures.js'
import { soleInstanceLimits } from './limit-fixtures.js'

interface ForwardingRun {
  responder: RecordingResponder
  backendClient: ScriptedBackendClient
  log: ReturnType<typeof recordingLog>
  pending: PendingRequest
  done: Promise<void>
  health: ServerHealth
  retryBudget: RetryBudget
}

function startForwarding (options: { route?: Partial<Route>, serverCount?: number, faulty?: boolean, slack?: number, prepareHealth?: (health: ServerHealth) => void, prepareBudget?: (budget: RetryBudget) => void, prepare?: (limits: ReturnType<typeof soleInstanceLimits>) => void, respond: (sendNumber: number) => ScriptedReaction }): ForwardingRun {
  const nowMs = (): number => performance.now()
  const backends = new BackendTable({ nowMs })
  const health = new ServerHealth({ nowMs })
  for (let serverNumber = 1; serverNumber <= (options.serverCount ?? 2); serverNumber += 1) {
    backends.put(backend({ id: `b${serverNumber}` }))
    if (options.faulty === true) for (let failure = 0; failure < 3; failure += 1) health.recordFailure(backend({ id: `b${serverNumber}` }), ExchangeOutcome.Failed)
  }
  options.prepareHealth?.(health)
  const limits = soleInstanceLimits(nowMs)
  options.prepare?.(limits)
  const backendClient = new ScriptedBackendClient((_options, sendNumber) => options.respond(sendNumber))
  const retryBudget = new RetryBudget({ nowMs, allowance: () => ({ ratio: 0, slack: options.slack ?? 100, windowS: 1 }), instanceCount: () => 1 })
  options.prepareBudget?.(retryBudget)
  const responder = new RecordingResponder()
  const log = recordingLog()
  const pending = new PendingRequest({ request: callerRequest({ arrivedMs: nowMs() }), route: route(options.route), service: 'plain', responder, nowMs })
  const done = forwardPlain({
    backends,
    backendClient,
    health,
    retryBudget,
    failureDomain: 'a',
    log,
    nowMs,
    metrics: new GatewayMetrics(),
    ...limits,
    random: () => 0
  }, pending)
  return { responder, backendClient, log, pending, done, health, retryBudget }
}

const nonIdempotent = { kind: RouteKind.NonIdempotent }

describe('forwardPlain', () => {
  test('sends a complete response to the caller', async () => {
    const { responder, done } = startForwarding({ respond: () => ({ parts: ['who', 'le'] }) })
    await done
    expect(responder).toMatchObject({ status: 200, text: 'whole', ending: 'ended' })
  })

  test.each([
    ['a connection reset', ExchangeOutcome.Broken as const],
    ['a response to another request', { meaning: ResponseMeaning.Invalid }],
    ['an incomplete response', { parts: ['x'], end: 'broken' as const }]
  ])('neither retries a non-idempotent request nor reports that it did not run after %s', async (_name, reaction) => {
    const { responder, backendClient, done } = startForwarding({ route: nonIdempotent, respond: () => reaction })
    await done
    expect(backendClient.sent).toHaveLength(1)
    expect(responder.refusal).toBe('outcome-unknown')
  })

  test.each([
    ['no connection was established', ExchangeOutcome.NotSent as const],
    ['the address now belongs to another server', { status: 421, meaning: ResponseMeaning.OtherServer }]
  ])('retries a non-idempotent request on another server when %s', async (_name, reaction) => {
    const { responder, backendClient, done } = startForwarding({ route: { ...nonIdempotent, attempts: 1 }, respond: (sendNumber) => sendNumber === 1 ? reaction : { parts: ['ok'] } })
    await done
    expect(new Set(backendClient.sent.map(({ backend: { id } }) => id)).size).toBe(2)
    expect(responder.text).toBe('ok')
  })

  test('sends a request to no more servers than the route allows and refuses it as not run if all of them rejected it', async () => {
    const { responder, backendClient, done } = startForwarding({ serverCount: 4, respond: () => ({ status: 503, meaning: ResponseMeaning.NotRun }) })
    await done
    expect(backendClient.sent).toHaveLength(2)
    expect(responder).toMatchObject({ refusal: 'rejected' })
    expect(responder.retryAfterMs).toBeGreaterThan(0)
  })

  test('does not report a request as not run when the first server broke off its response and the second rejected the request', async () => {
    const { responder, done } = startForwarding({ respond: (sendNumber) => sendNumber === 1 ? ExchangeOutcome.Broken : { status: 503, meaning: ResponseMeaning.NotRun } })
    await done
    expect(responder.refusal).toBe('outcome-unknown')
  })

  test('does not retry when the retry budget is exhausted', async () => {
    const { backendClient, done } = startForwarding({ slack: 0, respond: () => ExchangeOutcome.Broken })
    await done
    expect(backendClient.sent).toHaveLength(1)
  })

  // Guards against failures that a caller gets although another server would answer the request.
  test('retries an idempotent request after the first 5xx response of a sound server', async () => {
    const { responder, backendClient, done } = startForwarding({ respond: (sendNumber) => sendNumber === 1 ? { status: 500, parts: ['bad'] } : { parts: ['good'] } })
    await done
    expect(responder).toMatchObject({ status: 200, text: 'good', ending: 'ended' })
    expect(backendClient.sent).toHaveLength(2)
  })

  // Guards against retries that are spent on requests that fail on every server.
  test.each<[string, Partial<Parameters<typeof startForwarding>[0]>]>([
    ['the last retries of the service failed too', { prepareHealth: (health) => { for (let retry = 0; retry < 4; retry += 1) health.recordRetry('plain', { failed: true }) } }],
    ['half of the retry budget is used up', { slack: 2.8, prepareBudget: (budget) => { budget.tryConsume('plain') } }]
  ])('sends the 5xx response of a sound server to the caller without a retry when %s', async (_name, options) => {
    const { responder, backendClient, done } = startForwarding({ ...options, respond: () => ({ status: 500, parts: ['bad'] }) })
    await done
    expect(backendClient.sent).toHaveLength(1)
    expect(responder).toMatchObject({ status: 500, text: 'bad', ending: 'ended' })
  })

  test('records how the retry of a 5xx response ended', async () => {
    const { responder, health, done } = startForwarding({ prepareHealth: (health) => { for (let retry = 0; retry < 3; retry += 1) health.recordRetry('plain', { failed: true }) }, respond: () => ({ status: 500, parts: ['bad'] }) })
    await done
    expect(responder).toMatchObject({ status: 500, text: 'bad' })
    expect(health.retryMayHelp('plain')).toBe(false)
  })

  test('retries an idempotent request after a 5xx response of a faulty server, and sends the first 5xx response to the caller if the retry fails too', async () => {
    const retrySucceeds = startForwarding({ faulty: true, respond: (sendNumber) => sendNumber === 1 ? { status: 500, parts: ['bad'] } : { parts: ['good'] } })
    await retrySucceeds.done
    expect(retrySucceeds.responder).toMatchObject({ status: 200, text: 'good' })
    const retryFails = startForwarding({ faulty: true, respond: (sendNumber) => sendNumber === 1 ? { status: 500, parts: ['bad'] } : ExchangeOutcome.Broken })
    await retryFails.done
    expect(retryFails.responder).toMatchObject({ status: 500, text: 'bad', ending: 'ended' })
  })

  test('sends the 5xx response to a non-idempotent request to the caller without a retry', async () => {
    const { responder, backendClient, done } = startForwarding({ route: nonIdempotent, respond: () => ({ status: 500, parts: ['bad'] }) })
    await done
    expect(backendClient.sent).toHaveLength(1)
    expect(responder).toMatchObject({ status: 500, text: 'bad' })
  })

  // Guards against requests that wait for a silent server until their deadline, and against second runs of a request that may run once only.
  test('sends a request to another server while the first one is silent only if it is idempotent', async () => {
    const { responder, backendClient, pending, health, done } = startForwarding({ route: { timeoutMs: 2000 }, respond: (sendNumber) => sendNumber === 1 ? 'silent' : { parts: ['ok'] } })
    await done
    expect(responder.text).toBe('ok')
    expect(pending.ageMs()).toBeLessThan(500)
    expect(backendClient.cancelled).toContain('b1')
    expect(health.failureShare(backend({ id: 'b1' }))).toBeGreaterThan(0.3)
    const nonIdempotentRun = startForwarding({ route: { ...nonIdempotent, timeoutMs: 700 }, respond: () => 'silent' })
    await nonIdempotentRun.done
    expect(nonIdempotentRun.backendClient.sent).toHaveLength(1)
    expect(nonIdempotentRun.responder.refusal).toBe('timed-out')
    expect(nonIdempotentRun.pending.ageMs()).toBeGreaterThan(700)
  })

  describe('with a server that answers after a second', () => {
    const late = { parts: ['late'], silentMs: 1000 }
    const other = backend({ id: 'b2' })
    const useUp = ({ limits, limitKeeper }: ReturnType<typeof soleInstanceLimits>): void => {
      limits.observe(other, 0.5, 0)
      while (limitKeeper.tryTake(other));
    }

    // Guards against requests that end with 502 although their server would still answer them and no other one does.
    test.each<[string, Partial<Parameters<typeof startForwarding>[0]>, number]>([
      ['the attempts of the route are used up', { route: { timeoutMs: 2000, attempts: 1 } }, 1],
      ['there is no other server', { serverCount: 1 }, 1],
      ['the retry budget is exhausted', { slack: 0 }, 1],
      ['the limit of the other server is used up', { prepare: useUp }, 1],
      ['the other server has turned this instance away', { prepare: ({ pauses }) => pauses.record(other, 5000) }, 1],
      ['the other server is silent', { respond: (sendNumber) => sendNumber === 1 ? late : 'silent' }, 2],
      ['the other server can not be reached', { respond: (sendNumber) => sendNumber === 1 ? late : ExchangeOutcome.NotSent }, 2],
      ['the other server breaks off', { respond: (sendNumber) => sendNumber === 1 ? late : ExchangeOutcome.Broken }, 2],
      ['the other server rejects the request', { respond: (sendNumber) => sendNumber === 1 ? late : { status: 503, meaning: ResponseMeaning.NotRun } }, 2],
      ['the other server answers 500', { respond: (sendNumber) => sendNumber === 1 ? late : { status: 500, parts: ['bad'] } }, 2]
    ])('sends its response to the caller when %s', async (_name, options, sends) => {
      const { responder, backendClient, done } = startForwarding({ route: { timeoutMs: 2000 }, respond: () => late, ...options })
      await done
      expect(responder).toMatchObject({ status: 200, text: 'late', ending: 'ended' })
      expect(backendClient.sent).toHaveLength(sends)
    })
  })

  // Guards against second runs of a request whose first server has gone on meanwhile.
  test.each<[string, ScriptedReaction]>([
    ['has answered', { parts: ['late'], silentMs: 250 }],
    ['has begun to answer', { parts: ['la', 'te'], silentMs: 250, pauseMs: 300 }]
  ])('sends nothing to another server if the first one %s by the time that a permit for the other is there', async (_name, reaction) => {
    const { responder, backendClient, retryBudget, done } = startForwarding({
      slack: 2,
      route: { timeoutMs: 2000 },
      prepare: ({ limits, limitClient }) => {
        limits.observe(backend({ id: 'b2' }), 100, 0)
        limitClient.acquire = () => new Promise((resolve) => setTimeout(resolve, 100, { admitted: true, waitMs: 0 }))
      },
      respond: () => reaction
    })
    await done
    await new Promise((resolve) => setTimeout(resolve, 150))
    expect(responder).toMatchObject({ status: 200, text: 'late' })
    expect(backendClient.sent).toHaveLength(1)
    expect(retryBudget.tryConsume('plain')).toBe(true)
  })

  // Guards against more servers at work on a request than its route allows, now that several may work at once.
  test('sends a request to no more servers than the route allows while all are silent, and cancels all exchanges when the caller leaves', async () => {
    const { responder, backendClient, pending } = startForwarding({ route: { timeoutMs: 2000, attempts: 3 }, serverCount: 5, respond: () => 'silent' })
    await new Promise((resolve) => setTimeout(resolve, 1200))
    expect(backendClient.sent).toHaveLength(3)
    responder.disconnect()
    expect(pending.ending).toBe('left')
    expect([...backendClient.cancelled].sort()).toEqual(backendClient.sent.map(({ backend: { id } }) => id).sort())
  })

  // Guards against a shrinking retry budget without retries.
  test('consumes no retry when no other server takes the request', async () => {
    const { responder, backendClient, retryBudget, done } = startForwarding({ serverCount: 1, respond: () => ExchangeOutcome.Broken })
    await done
    expect(backendClient.sent).toHaveLength(1)
    expect(responder.refusal).toBe('outcome-unknown')
    let left = 0
    while (retryBudget.tryConsume('plain')) left += 1
    expect(left).toBe(70)
  })

  test('refuses a request as timed out soon after the route\'s timeout when the server does not respond, and cancels the exchange', async () => {
    const { responder, backendClient, pending } = startForwarding({ route: { ...nonIdempotent, timeoutMs: 60 }, respond: () => 'silent' })
    await new Promise((resolve) => setTimeout(resolve, 200))
    expect(pending.ended).toBe(true)
    expect(responder.refusal).toBe('timed-out')
    expect(backendClient.cancelled).toEqual([backendClient.sent[0]?.backend.id])
  })

  test('cancels the exchange immediately when the caller disconnects', async () => {
    const { responder, backendClient, pending } = startForwarding({ respond: () => 'silent' })
    await new Promise((resolve) => setTimeout(resolve, 5))
    responder.disconnect()
    expect(pending.ending).toBe('left')
    expect(backendClient.cancelled).toHaveLength(1)
  })

  test('refuses a request immediately when its service has no server', async () => {
    const { responder, done } = startForwarding({ serverCount: 0, respond: () => 'silent' })
    await done
    expect(responder.refusal).toBe('no-server')
  })
})
