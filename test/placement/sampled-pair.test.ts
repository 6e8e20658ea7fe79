import { describe, expect, test } from '@jest/globals'
import type { Core } from '../../src/core/core.js'
import type { Action } from '../../src/core/action.js'
import { RequestActionKind, type RequestReservation } from '../../src/requests/request-action.js'
import { RequestEventKind } from '../../src/requests/request-event.js'
import { ServerEventKind } from '../../src/placement/server-event.js'
import { contextAt, createCore, MODEL } from './fixture.js'

function arrive (core: Core, request: string, pieces: string[] = [], atMs = 10): Action[] {
  return core.step({ kind: RequestEventKind.RequestArrived, request, organisation: 'bellworks', model: MODEL, promptTokens: 6000, pieces, maxTokens: 64 }, contextAt(atMs))
}

function reservationRequest (actions: Action[]): RequestReservation | undefined {
  return actions.find((action) => action.kind === RequestActionKind.RequestReservation)
}

describe('sampledPair', () => {
  test('a prompt goes to the runner that holds its prefix, even if the random sample of a large pool does not include it', () => {
    const core = createCore({ runners: 500 })
    core.step({ kind: ServerEventKind.CacheReset, server: 'prefill-321', sequence: 4, pieces: ['a', 'b'] }, contextAt(1))
    arrive(core, 'one', ['a', 'b', 'c'])
    expect(core.board.requests.get('one')?.prefillServer).toBe('prefill-321')
  })

  test('a runner that holds the prefix is not chosen when its queue takes longer than the prefill that the prefix saves', () => {
    const core = createCore()
    core.step({ kind: ServerEventKind.CacheReset, server: 'prefill-1', sequence: 4, pieces: ['a', 'b'] }, contextAt(1))
    const load = { freePieces: 120, totalPieces: 120, batch: 0, queuedTokens: 20000, linkBusyMs: 0, reportedMs: 2 }
    core.step({ kind: ServerEventKind.LoadReported, server: 'prefill-1', load }, contextAt(2))
    arrive(core, 'one', ['a', 'b', 'c'])
    expect(core.board.requests.get('one')?.prefillServer).not.toBe('prefill-1')
  })

  test('requests between two load reports are spread over the runners: with uncorrected reports all would go to one runner', () => {
    // Several rounds, since one round may be spread evenly by chance.
    for (let round = 0; round < 5; round += 1) {
      const core = createCore({ domains: 'a' })
      const requests = Array.from({ length: 6 }, (_, index) => `request-${index}`)
      for (const request of requests) arrive(core, request)
      const chosen = (field: 'decodeServer' | 'prefillServer'): Array<string | null | undefined> =>
        requests.map((request) => core.board.requests.get(request)?.[field]).sort()
      const twice = (role: string): string[] => [0, 0, 1, 1, 2, 2].map((index) => `${role}-${index}`)
      expect(chosen('prefillServer')).toEqual(twice('prefill'))
      expect(chosen('decodeServer')).toEqual(twice('decode'))
    }
  })

  test('the free pieces in a denial replace those of an older load report, so that the next requests go to other runners', () => {
    const core = createCore()
    const reservation = reservationRequest(arrive(core, 'one'))
    const fullRunner = reservation?.server ?? ''
    core.step({ kind: RequestEventKind.ReservationAnswered, request: 'one', attempt: 1, server: fullRunner, granted: false, transferMs: 0, freePieces: 0 }, contextAt(11))
    const others = ['two', 'three', 'four', 'five'].map((request) => reservationRequest(arrive(core, request, [], 12))?.server)
    expect(others).not.toContain(fullRunner)
  })

  test('corrections are removed when their request ends: otherwise the runner would seem loaded for ever and get no work', () => {
    const core = createCore()
    arrive(core, 'one')
    core.step({ kind: RequestEventKind.CallerDisconnected, request: 'one' }, contextAt(20))
    expect(core.board.corrections.byRequest.size).toBe(0)
    expect([...core.board.corrections.byServer.values()].map(({ assignments }) => assignments.size)).toEqual([0, 0])
  })
})
