import { expect, test } from '@jest/globals'
import { cancellationController } from '../../src/requests/cancellation.js'
import { RequestActionKind } from '../../src/requests/request-action.js'
import { requestController } from '../../src/requests/request-controller.js'
import { RequestEventKind } from '../../src/requests/request-event.js'
import { CoreRun } from './core-run.js'

/** Grants a link that is free in `linkMs` and returns how long the prefill of 4,000 tokens, 200 ms of work, is put off. */
function delayOf (linkMs: number, queuedTokens: number, prepare: (run: CoreRun) => void = () => undefined): number {
  const run = new CoreRun([requestController, cancellationController])
  for (const id of ['p1', 'p2']) run.setLoad(id, queuedTokens)
  prepare(run)
  run.arrive()
  run.grant(linkMs)
  const grantedMs = run.nowMs
  for (let waited = 0; waited < 5000 && run.all(RequestActionKind.StartPrefill).length === 0; waited += 10) run.advance(10)
  return run.nowMs - grantedMs
}

test('the result is ready when the link is free: neither the link nor the result waits', () => {
  expect(delayOf(0, 0)).toBe(0)
  expect(delayOf(1000, 0)).toBe(800)
  expect(delayOf(1000, 2000)).toBe(700)
})

test('tokens that this instance assigned count although the load report does not show them yet', () => {
  const assign = (run: CoreRun): void => {
    for (const id of ['p1', 'p2']) run.board.servers.get(id)!.assignedTokens = 4000
  }
  expect(delayOf(1000, 0, assign)).toBe(600)
})

test('cached leading pieces shorten the prefill, which must start later then', () => {
  const cache = (run: CoreRun): void => {
    for (const id of ['p1', 'p2']) for (const piece of ['a', 'b']) run.board.prefixes.index.add('m', piece, id)
  }
  expect(delayOf(1000, 0, cache)).toBe(900)
})

test('a long queue that vanishes does not make the result ready so early that it is evicted before the link is free', () => {
  // 40,000 queued tokens are 2 s of work; without them the result is ready 200 ms after the start and lives for 800 ms.
  expect(delayOf(3000, 40000)).toBeGreaterThan(3000 - 200 - 800)
})

test('a caller that leaves before the prefill is due costs no prefill', () => {
  const run = new CoreRun([requestController, cancellationController])
  run.arrive()
  run.grant(1000)
  run.step({ kind: RequestEventKind.CallerDisconnected, request: 'r' })
  run.advance(2000)
  expect(run.all(RequestActionKind.StartPrefill)).toHaveLength(0)
  expect(run.all(RequestActionKind.ReleaseReservation)).toHaveLength(1)
})
