import { describe, expect, test } from '@jest/globals'
import type { Bundle } from '../../src/bundles/bundle.js'
import type { Action } from '../../src/core/action.js'
import type { Core } from '../../src/core/core.js'
import { deployments } from '../../src/demo/deployment.js'
import { RefusalKind } from '../../src/errors/refusal.js'
import { ServerEventKind } from '../../src/placement/server-event.js'
import { RequestActionKind } from '../../src/requests/request-action.js'
import { RequestEventKind } from '../../src/requests/request-event.js'
import { contextAt, createCore, MODEL } from '../placement/fixture.js'

function bundleWith (change: { interactive?: boolean, firstTokenMs?: number, organisations?: Array<Partial<Bundle['organisations'][number]>> }): Bundle {
  const bundle = structuredClone(deployments(0)[0]?.bundle as Bundle)
  const [organisation] = bundle.organisations
  if (organisation === undefined || bundle.classes[0] === undefined) throw new Error('no organisation')
  bundle.classes[0].interactive = change.interactive ?? false
  bundle.classes[0].firstTokenMs = change.firstTokenMs ?? bundle.classes[0].firstTokenMs
  bundle.organisations = (change.organisations ?? [{}]).map((fields) => ({ ...organisation, ...fields }))
  return bundle
}

function arrive (core: Core, request: string, atMs: number, organisation = 'bellworks'): Action[] {
  return core.step({ kind: RequestEventKind.RequestArrived, request, organisation, model: MODEL, promptTokens: 6000, pieces: [], maxTokens: 64 }, contextAt(atMs))
}

function refusals (actions: Action[]): Array<[string, RefusalKind]> {
  return actions.flatMap((action) => action.kind === RequestActionKind.RefuseRequest ? [[action.request, action.refusal]] : [])
}

function reservationRequests (actions: Action[]): string[] {
  return actions.flatMap((action) => action.kind === RequestActionKind.RequestReservation ? [action.request] : [])
}

function reportPrefillQueues (core: Core, queuedTokens: number, atMs: number): Action[] {
  return ['prefill-0', 'prefill-1', 'prefill-2'].flatMap((server) => core.step({
    kind: ServerEventKind.LoadReported, server, load: { freePieces: 120, totalPieces: 120, batch: 0, queuedTokens, linkBusyMs: 0, reportedMs: atMs }
  }, contextAt(atMs)))
}

/** Grants the reservation that the request waits for and finishes its prefill. */
function grantAndFinishPrefill (core: Core, request: string, atMs: number): Action[] {
  const found = core.board.requests.get(request)
  const event = { request, attempt: found?.attempt ?? 0 }
  const granted = core.step({ kind: RequestEventKind.ReservationAnswered, ...event, server: found?.decodeServer ?? '', granted: true, transferMs: atMs, freePieces: 50 }, contextAt(atMs))
  return [...granted, ...core.step({ kind: RequestEventKind.PrefillFinished, ...event, handle: 'h', computedTokens: 1, cachedTokens: 0, expiresMs: atMs + 800 }, contextAt(atMs))]
}

describe('admissionController', () => {
  test('an interactive request is refused at once, before any work, when its first token is not expected in time', () => {
    const core = createCore({ bundle: bundleWith({ interactive: true }) })
    reportPrefillQueues(core, 80000, 10)
    const actions = arrive(core, 'one', 20)
    expect(refusals(actions)).toEqual([['one', RefusalKind.DeadlineUnreachable]])
    const refusal = actions.find((action) => action.kind === RequestActionKind.RefuseRequest)
    expect(refusal?.kind === RequestActionKind.RefuseRequest && refusal.retryAfterMs).toBeGreaterThan(1300)
    expect(reservationRequests(actions)).toEqual([])
    reportPrefillQueues(core, 0, 30)
    expect(reservationRequests(arrive(core, 'two', 40))).toEqual(['two'])
  })

  test('a request that is not interactive is queued when it misses its target, is served after requests that can meet theirs, and is refused when it cannot meet its deadline', () => {
    const core = createCore({ bundle: bundleWith({}) })
    for (let index = 0; index < 8; index += 1) arrive(core, `first-${index}`, 10)
    arrive(core, 'late', 12)
    core.board.admission.grantPeriodMs.set(MODEL, 50)
    arrive(core, 'in-time', 2900)
    const order: string[] = []
    for (let next = [...core.board.admission.asking.keys()][0]; next !== undefined && order.length < 30; next = [...core.board.admission.asking.keys()][0]) {
      order.push(next)
      grantAndFinishPrefill(core, next, 2901)
    }
    expect(order.slice(-2)).toEqual(['in-time', 'late'])
    expect(core.board.admission.late.has('late')).toBe(true)
    const other = createCore({ bundle: bundleWith({}) })
    for (let index = 0; index < 20; index += 1) arrive(other, `first-${index}`, 10)
    const queued = other.board.admission.queue.length
    expect(refusals(reportPrefillQueues(other, 0, 14000)).map(([, kind]) => kind)).toEqual(Array(queued).fill(RefusalKind.DeadlineUnreachable))
  })

  test('waiting organisations are served in proportion to their shares, however many requests one of them sends', () => {
    const core = createCore({ bundle: bundleWith({ firstTokenMs: 12000, organisations: [{ id: 'one', share: 1 }, { id: 'three', share: 3 }] }) })
    for (let index = 0; index < 50; index += 1) arrive(core, `one-${index}`, 10, 'one')
    for (let index = 0; index < 50; index += 1) arrive(core, `three-${index}`, 10, 'three')
    const admittedAtOnce = core.board.admission.asking.size
    const served: string[] = []
    for (let turn = 0; turn < admittedAtOnce + 24; turn += 1) {
      const next = [...core.board.admission.asking.keys()][0] as string
      if (turn >= admittedAtOnce) served.push(next.split('-')[0] as string)
      grantAndFinishPrefill(core, next, 20)
    }
    const servedOfThree = served.filter((organisation) => organisation === 'three').length
    expect(servedOfThree / served.length).toBeGreaterThanOrEqual(0.7)
    expect(servedOfThree / served.length).toBeLessThanOrEqual(0.8)
  })

  test('the queue is bounded by requests and by tokens: otherwise it could hold more than can be served in time or kept in memory', () => {
    const core = createCore({ bundle: bundleWith({}) })
    const refused = Array.from({ length: 400 }, (_, index) => refusals(arrive(core, `${index}`, 10))).flat()
    expect(new Set(refused.map(([, kind]) => kind))).toEqual(new Set([RefusalKind.Overloaded]))
    expect(core.board.admission.queue.length).toBeLessThanOrEqual(256)
    const long = createCore({ bundle: bundleWith({}) })
    for (let index = 0; index < 100; index += 1) {
      long.step({ kind: RequestEventKind.RequestArrived, request: `${index}`, organisation: 'bellworks', model: MODEL, promptTokens: 60000, pieces: [], maxTokens: 64 }, contextAt(10))
    }
    expect(long.board.admission.queuedTokens).toBeLessThanOrEqual(2000000)
  })

  test('the shares of eight instances add up to the limits of an organisation, and a request that ends no longer counts', () => {
    const bundle = bundleWith({ organisations: [{ concurrency: 19, requestsPerSecond: 2 }] })
    const cores = Array.from({ length: 8 }, () => createCore({ bundle, entries: 8 }))
    // Each core gets an id of its own, with the seven other instances as its members.
    cores.forEach((core, index) => {
      core.board.members.delete(`entry-${index}`)
      core.board.self.id = `entry-${index}`
      if (index > 0) core.board.members.set('entry-0', { ...[...core.board.members.values()][0] as NonNullable<ReturnType<typeof core.board.members.get>>, id: 'entry-0' })
    })
    const admitAll = (atMs: number): number => {
      let count = 0
      for (const core of cores) for (let index = 0; index < 5; index += 1) if (refusals(arrive(core, `${atMs}-${index}`, atMs)).length === 0) count += 1
      return count
    }
    // At 0 ms the rate limit is reached before the concurrency limit: each instance allows a burst of 8 s at 0.25 requests per second.
    expect(admitAll(0)).toBe(16)
    expect(admitAll(8000)).toBe(3)
    const [core] = cores
    if (core === undefined) throw new Error('no core')
    core.step({ kind: RequestEventKind.CallerDisconnected, request: '8000-0' }, contextAt(8001))
    expect(refusals(arrive(core, 'again', 8002))).toEqual([])
    expect(refusals(arrive(core, 'more', 8003))).toEqual([['more', RefusalKind.OrganisationLimit]])
  })
})
