import { describe, expect, test } from '@jest/globals'
import { ResponseMeaning } from '../../src/gateway/backend-client.js'
import { BackendTable } from '../../src/gateway/backend-table.js'
import { type Route, RouteKind } from '../../src/gateway/configuration.js'
import { ExchangeOutcome } from '../../src/gateway/exchange-outcome.js'
import { PendingRequest } from '../../src/gateway/pending-request.js'
import { forwardPlain } from '../../src/gateway/plain-forwarding.js'
import { RetryBudget } from '../../src/gateway/retry-budget.js'
import { ServerHealth } from '../../src/gateway/server-health.js'
import { backend, callerRequest, recordingLog, RecordingResponder, route, type Script, ScriptedCalls } from './gateway-fixtures.js'

interface ForwardingRun {
  responder: RecordingResponder
  backendClient: ScriptedCalls
  log: ReturnType<typeof recordingLog>
  pending: PendingRequest
  done: Promise<void>
}

function startForwarding (options: { route?: Partial<Route>, servers?: number, faulty?: boolean, slack?: number, answer: (number: number) => Script }): ForwardingRun {
  const nowMs = (): number => performance.now()
  const backends = new BackendTable({ nowMs })
  const health = new ServerHealth({ nowMs })
  for (let server = 1; server <= (options.servers ?? 2); server += 1) {
    backends.put(backend({ id: `b${server}` }))
    if (options.faulty === true) for (let failure = 0; failure < 3; failure += 1) health.recordFailure(backend({ id: `b${server}` }), ExchangeOutcome.Failed)
  }
  const backendClient = new ScriptedCalls((_dispatch, number) => options.answer(number))
  const responder = new RecordingResponder()
  const log = recordingLog()
  const pending = new PendingRequest({ request: callerRequest({ arrivedMs: nowMs() }), route: route(options.route), service: 'plain', responder, nowMs })
  const done = forwardPlain({
    backends,
    backendClient,
    health,
    retryBudget: new RetryBudget({ nowMs, allowance: () => ({ ratio: 0, slack: options.slack ?? 100, windowS: 1 }), instances: () => 1 }),
    failureDomain: 'a',
    log,
    nowMs,
    random: () => 0
  }, pending)
  return { responder, backendClient, log, pending, done }
}

const unsafe = { kind: RouteKind.NonIdempotent }

describe('forwardPlain', () => {
  test('passes a whole answer on', async () => {
    const { responder, done } = startForwarding({ answer: () => ({ parts: ['who', 'le'] }) })
    await done
    expect(responder).toMatchObject({ status: 200, text: 'whole', ending: 'ended' })
  })

  test.each([
    ['a reset', ExchangeOutcome.Broken as const],
    ['an answer of another request', { meaning: ResponseMeaning.Invalid }],
    ['an answer cut short', { parts: ['x'], end: 'broken' as const }]
  ])('never sends a non-idempotent request twice, nor says that it did not run, after %s', async (_name, script) => {
    const { responder, backendClient, done } = startForwarding({ route: unsafe, answer: () => script })
    await done
    expect(backendClient.sent).toHaveLength(1)
    expect(responder.refusal).toBe('outcome-unknown')
  })

  test.each([
    ['was never connected', ExchangeOutcome.NotSent as const],
    ['reached a server that had the address before', { status: 421, meaning: ResponseMeaning.OtherServer }]
  ])('sends a non-idempotent request elsewhere when it %s', async (_name, script) => {
    const { responder, backendClient, done } = startForwarding({ route: { ...unsafe, attempts: 1 }, answer: (number) => number === 1 ? script : { parts: ['ok'] } })
    await done
    expect(new Set(backendClient.sent.map(({ backend: { id } }) => id)).size).toBe(2)
    expect(responder.text).toBe('ok')
  })

  test('sends no request to more servers than the route allows, and says truthfully that it did not run', async () => {
    const { responder, backendClient, done } = startForwarding({ servers: 4, answer: () => ({ status: 503, meaning: ResponseMeaning.NotRun }) })
    await done
    expect(backendClient.sent).toHaveLength(2)
    expect(responder).toMatchObject({ refusal: 'rejected' })
    expect(responder.retryAfterMs).toBeGreaterThan(0)
  })

  test('does not say that a request did not run when one server broke off and the next rejected it', async () => {
    const { responder, done } = startForwarding({ answer: (number) => number === 1 ? ExchangeOutcome.Broken : { status: 503, meaning: ResponseMeaning.NotRun } })
    await done
    expect(responder.refusal).toBe('outcome-unknown')
  })

  test('keeps to the shared budget of repeats', async () => {
    const { backendClient, done } = startForwarding({ slack: 0, answer: () => ExchangeOutcome.Broken })
    await done
    expect(backendClient.sent).toHaveLength(1)
  })

  test('passes the failure of a server that is otherwise sound on: the request may fail wherever it runs', async () => {
    const { responder, backendClient, done } = startForwarding({ answer: () => ({ status: 500, parts: ['bad'] }) })
    await done
    expect(backendClient.sent).toHaveLength(1)
    expect(responder).toMatchObject({ status: 500, text: 'bad', ending: 'ended' })
  })

  test('tries an idempotent request that a faulty server failed elsewhere, and passes the failure on if that is no better', async () => {
    const better = startForwarding({ faulty: true, answer: (number) => number === 1 ? { status: 500, parts: ['bad'] } : { parts: ['good'] } })
    await better.done
    expect(better.responder).toMatchObject({ status: 200, text: 'good' })
    const worse = startForwarding({ faulty: true, answer: (number) => number === 1 ? { status: 500, parts: ['bad'] } : ExchangeOutcome.Broken })
    await worse.done
    expect(worse.responder).toMatchObject({ status: 500, text: 'bad', ending: 'ended' })
  })

  test('passes on the failure of a server that ran a non-idempotent request', async () => {
    const { responder, backendClient, done } = startForwarding({ route: unsafe, answer: () => ({ status: 500, parts: ['bad'] }) })
    await done
    expect(backendClient.sent).toHaveLength(1)
    expect(responder).toMatchObject({ status: 500, text: 'bad' })
  })

  test('gives a slow server up for an idempotent request only', async () => {
    const { responder, backendClient, done } = startForwarding({ route: { timeoutMs: 2000 }, answer: (number) => number === 1 ? ExchangeOutcome.TimedOut : { parts: ['ok'] } })
    await done
    expect(responder.text).toBe('ok')
    expect(backendClient.sent[0]?.headTimeoutMs).toBeLessThan(500)
    const single = startForwarding({ route: { ...unsafe, timeoutMs: 2000 }, answer: () => ({ parts: ['ok'] }) })
    await single.done
    expect(single.backendClient.sent[0]?.headTimeoutMs).toBeGreaterThan(1900)
  })

  test('answers 504 soon after the route\'s timeout when a server stays silent, and lets the server go', async () => {
    const { responder, backendClient, pending } = startForwarding({ route: { ...unsafe, timeoutMs: 60 }, answer: () => 'silent' })
    await new Promise((resolve) => setTimeout(resolve, 200))
    expect(pending.ended).toBe(true)
    expect(responder.refusal).toBe('timed-out')
    expect(backendClient.cancelled).toEqual([backendClient.sent[0]?.backend.id])
  })

  test('frees the server at once when the caller leaves', async () => {
    const { responder, backendClient, pending } = startForwarding({ answer: () => 'silent' })
    await new Promise((resolve) => setTimeout(resolve, 5))
    responder.leave()
    expect(pending.ending).toBe('left')
    expect(backendClient.cancelled).toHaveLength(1)
  })

  test('refuses at once when no server is known', async () => {
    const { responder, done } = startForwarding({ servers: 0, answer: () => 'silent' })
    await done
    expect(responder.refusal).toBe('no-server')
  })
})
