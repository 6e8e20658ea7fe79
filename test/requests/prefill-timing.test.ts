import { expect, test } from '@jest/globals'
import { cancellationController } from '../../src/requests/cancellation.js'
import { RequestActionKind } from '../../src/requests/request-action.js'
import { requestController } from '../../src/requests/request-controller.js'
import { RequestEventKind } from '../../src/requests/request-event.js'
import { CoreRun } from './core-run.js'

/** Grants a reservation whose link is free in `linkFreeInMs` milliseconds and returns the delay in milliseconds until its prefill starts; a prefill of 4,000 tokens takes 200 ms. */
function measurePrefillDelay (linkFreeInMs: number, queuedTokens: number, prepare: (run: CoreRun) => void = () => undefined): number {
  const run = new CoreRun([requestController, cancellationController])
  for (const id of ['p1', 'p2']) run.setLoad(id, queuedTokens)
  prepare(run)
  run.arriveAndAdmit()
  run.grantReservation(linkFreeInMs)
  const grantedMs = run.nowMs
  for (let waitedMs = 0; waitedMs < 5000 && run.actionsOf(RequestActionKind.StartPrefill).length === 0; waitedMs += 10) run.advance(10)
  return run.nowMs - grantedMs
}

test('a prefill is delayed so that its result is ready when the link is free', () => {
  expect(measurePrefillDelay(0, 0)).toBe(0)
  expect(measurePrefillDelay(1000, 0)).toBe(800)
  expect(measurePrefillDelay(1000, 2000)).toBe(700)
})

test('tokens assigned by this instance count before the load report shows them', () => {
  const assign = (run: CoreRun): void => {
    for (const id of ['p1', 'p2']) run.board.servers.get(id)!.assignedTokens = 4000
  }
  expect(measurePrefillDelay(1000, 0, assign)).toBe(600)
})

test('a cached prefix shortens the prefill, so that it starts later', () => {
  const cache = (run: CoreRun): void => {
    for (const id of ['p1', 'p2']) for (const piece of ['a', 'b']) run.board.prefixes.index.add('m', piece, id)
  }
  expect(measurePrefillDelay(1000, 0, cache)).toBe(900)
})

test('a long queue that empties early does not make the result ready so early that it is evicted before the link is free', () => {
  // 40,000 queued tokens take 2 s. Without them the result is ready 200 ms after the start and is evicted 800 ms later.
  expect(measurePrefillDelay(3000, 40000)).toBeGreaterThan(3000 - 200 - 800)
})

test('no prefill starts for a caller that disconnects before the prefill is due', () => {
  const run = new CoreRun([requestController, cancellationController])
  run.arriveAndAdmit()
  run.grantReservation(1000)
  run.step({ kind: RequestEventKind.CallerDisconnected, request: 'r' })
  run.advance(2000)
  expect(run.actionsOf(RequestActionKind.StartPrefill)).toHaveLength(0)
  expect(run.actionsOf(RequestActionKind.ReleaseReservation)).toHaveLength(1)
})
