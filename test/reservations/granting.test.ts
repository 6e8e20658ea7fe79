import { describe, expect, test } from '@jest/globals'
import { ReservationActionKind, type AnswerReservation } from '../../src/reservations/reservation-action.js'
import { ReservationEventKind, type HeldStream, type ReservationRequested, StreamStage } from '../../src/reservations/reservation-event.js'
import type { Action } from '../../src/core/action.js'
import type { Core } from '../../src/core/core.js'
import { contextAt, createCore } from '../placement/fixture.js'

const SERVER = 'decode-0'

function requestReservation (core: Core, work: string, atMs: number, fields: Partial<ReservationRequested> = {}): Array<[string, boolean, number]> {
  const event = { from: 'entry-9', incarnation: '1', request: work, attempt: 1, work, server: SERVER, pieces: 60, promptTokens: 5000, maxTokens: 50, readyMs: atMs + 200, waitedMs: 0, ...fields }
  return answers(core.step({ kind: ReservationEventKind.ReservationRequested, ...event }, contextAt(atMs)))
}

function listStreams (core: Core, freePieces: number, works: Array<[string, number]>, atMs: number): Array<[string, boolean, number]> {
  const streams = works.map(([work, pieces]): HeldStream => ({ work, pieces, owner: 'entry-9', incarnation: '1', stage: StreamStage.Decode }))
  return answers(core.step({ kind: ReservationEventKind.StreamsListed, server: SERVER, totalPieces: 120, freePieces, streams }, contextAt(atMs)))
}

function release (core: Core, work: string, atMs: number): Array<[string, boolean, number]> {
  return answers(core.step({ kind: ReservationEventKind.ReservationReleased, work, server: SERVER }, contextAt(atMs)))
}

/** Returns request, granted and transfer time in ms of each reservation answer. */
function answers (actions: Action[]): Array<[string, boolean, number]> {
  return actions.filter((action): action is AnswerReservation => action.kind === ReservationActionKind.AnswerReservation)
    .map(({ request, granted, transferMs }) => [request, granted, Math.round(transferMs)])
}

describe('granting reservations', () => {
  test('a new coordinator grants nothing before it has read the listing, and then only what the listing leaves free', () => {
    const core = createCore()
    expect(requestReservation(core, 'one', 0)).toEqual([])
    expect(requestReservation(core, 'two', 1)).toEqual([])
    expect(listStreams(core, 60, [['of-the-old-coordinator', 60]], 10)).toEqual([['one', true, 200]])
  })

  test('capacity that becomes free before the prefill result is ready is reserved at once; a request for capacity that becomes free later waits and is denied in the end', () => {
    const core = createCore()
    listStreams(core, 120, [], 0)
    requestReservation(core, 'one', 0)
    requestReservation(core, 'two', 0)
    const endMs = core.board.accounts.get(SERVER)?.reservations.get('one')?.endMs ?? 0
    expect(requestReservation(core, 'early', 100)).toEqual([])
    expect(answers(core.step({ kind: ReservationEventKind.ReservationRequestExpired, work: 'early', server: SERVER }, contextAt(300)))).toEqual([['early', false, 0]])
    expect(requestReservation(core, 'soon', endMs - 900, { readyMs: endMs + 400 })).toEqual([['soon', true, Math.round(endMs + 400)]])
    // The same capacity is not reserved twice.
    expect(requestReservation(core, 'again', endMs - 900, { readyMs: endMs + 50 })).toEqual([])
  })

  test('a release serves the request that was admitted first, not the one whose reservation request arrived first', () => {
    const core = createCore()
    listStreams(core, 120, [], 0)
    requestReservation(core, 'one', 0)
    requestReservation(core, 'two', 0)
    requestReservation(core, 'young', 10)
    requestReservation(core, 'old', 20, { waitedMs: 100 })
    expect(release(core, 'one', 30).map(([request]) => request)).toEqual(['old'])
    expect(release(core, 'young', 40)).toEqual([])
    expect(release(core, 'two', 50)).toEqual([])
  })

  test('the link is reserved for one transfer at a time and is free again after a release', () => {
    const core = createCore()
    listStreams(core, 120, [], 0)
    const small = { pieces: 6, readyMs: 200 }
    const transferTimesMs = ['one', 'two', 'three'].map((work) => requestReservation(core, work, 0, small)[0]?.[2])
    expect(transferTimesMs).toEqual([200, 252, 305])
    release(core, 'two', 10)
    expect(requestReservation(core, 'four', 20, small)[0]?.[2]).toBe(252)
    expect(requestReservation(core, 'five', 20, small)[0]?.[2]).toBe(357)
  })

  test('a reservation that is neither used nor released expires: a lost release must not hold pieces for ever', () => {
    const core = createCore()
    listStreams(core, 120, [], 0)
    requestReservation(core, 'one', 0)
    requestReservation(core, 'two', 0)
    expect(requestReservation(core, 'three', 9000)).toEqual([])
    expect(requestReservation(core, 'four', 20000).map(([request]) => request)).toEqual(['three', 'four'])
  })

  test('the pieces of a stream released while a listing is in progress count as free, and a reservation request retried after a lost answer reserves nothing twice', () => {
    const core = createCore()
    listStreams(core, 120, [], 0)
    requestReservation(core, 'one', 0)
    expect(requestReservation(core, 'one', 5)).toEqual([['one', true, 200]])
    listStreams(core, 60, [['one', 60]], 100)
    release(core, 'one', 200)
    listStreams(core, 60, [['one', 60]], 201)
    expect(requestReservation(core, 'two', 210).concat(requestReservation(core, 'three', 210)).map(([, granted]) => granted)).toEqual([true, true])
  })
})
