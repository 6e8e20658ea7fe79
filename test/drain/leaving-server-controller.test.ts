import { expect, test } from '@jest/globals'
import { ServerState } from '../../src/board/backend-server.js'
import { leavingServerController } from '../../src/drain/leaving-server-controller.js'
import { serverController } from '../../src/placement/server-controller.js'
import { ServerEventKind } from '../../src/placement/server-event.js'
import { cancellationController } from '../../src/requests/cancellation.js'
import { RequestActionKind } from '../../src/requests/request-action.js'
import { requestController } from '../../src/requests/request-controller.js'
import { RequestEventKind, StageFailure } from '../../src/requests/request-event.js'
import { CoreRun } from '../requests/core-run.js'

const { RequestReservation, ReleaseReservation, StartPrefill, StartTransfer } = RequestActionKind

class LeavingRun extends CoreRun {
  constructor () {
    super([serverController, leavingServerController, requestController, cancellationController])
  }

  /** Steps the core with an instance list that shows the servers `leaving` as leaving. */
  listServers (...leaving: string[]): void {
    const servers = [...this.board.servers.values()].map((server) => ({ ...server, state: leaving.includes(server.id) ? ServerState.Leaving : ServerState.Live }))
    this.step({ kind: ServerEventKind.InstanceListRead, servers: servers.map(({ load, breaker, inFlight, assignedTokens, ...listed }) => listed), instances: [] })
  }

  reportLoad (server: string, leaving: boolean): void {
    this.step({ kind: ServerEventKind.LoadReported, server, load: { freePieces: 1, totalPieces: 1, batch: 0, queuedTokens: 0, linkBusyMs: 0, reportedMs: this.nowMs, leaving } })
  }
}

test('a server that reports it is leaving gets no new work although the instance list shows it live, until it reports otherwise', () => {
  const run = new LeavingRun()
  run.reportLoad('d1', true)
  run.listServers()
  for (let i = 0; i < 5; i += 1) run.arriveAndAdmit({ request: `r${i}` })
  expect(new Set(run.actionsOf(RequestReservation).map((reservation) => reservation.server))).toEqual(new Set(['d2']))
  run.reportLoad('d1', false)
  run.listServers()
  expect(run.board.servers.get('d1')?.state).toBe(ServerState.Live)
})

test('an unused reservation on a leaving runner is released and its request is placed again at once', () => {
  for (const markLeaving of [(run: LeavingRun, id: string) => run.listServers(id), (run: LeavingRun, id: string) => run.reportLoad(id, true)]) {
    const run = new LeavingRun()
    run.arriveAndAdmit()
    run.grantReservation(2000)
    const { server } = run.lastAction(RequestReservation)
    markLeaving(run, server)
    expect(run.lastAction(ReleaseReservation)).toMatchObject({ server, work: 'r.1' })
    expect(run.lastAction(RequestReservation).server).not.toBe(server)
    run.advance(5000)
    expect(run.actionsOf(StartPrefill)).toHaveLength(0)
  }
})

test('a prefill result goes to another decode runner when the reserved one starts to leave during the prefill', () => {
  const run = new LeavingRun()
  run.arriveAndAdmit()
  run.grantReservation()
  const { server } = run.lastAction(RequestReservation)
  run.listServers(server)
  run.finishPrefill()
  expect(run.actionsOf(StartTransfer)).toHaveLength(0)
  run.grantReservation()
  expect(run.lastAction(StartTransfer)).toMatchObject({ handle: 'h' })
  expect(run.lastAction(StartTransfer).server).not.toBe(server)
  expect(run.actionsOf(StartPrefill)).toHaveLength(1)
})

test('a server that refuses work because it is leaving is marked as leaving; the refusal counts neither in its breaker nor in the retry budget', () => {
  const run = new LeavingRun()
  run.arriveAndAdmit()
  run.grantReservation()
  const { server } = run.lastAction(StartPrefill)
  run.stepRequest({ kind: RequestEventKind.PrefillFailed, failure: StageFailure.Leaving })
  expect(run.board.servers.get(server)).toMatchObject({ state: ServerState.Leaving, breaker: { failures: 0 } })
  expect(run.board.retryBudgets.get('m')?.tokens).toBe(20)
  run.advance(200)
  run.grantReservation()
  expect(run.lastAction(StartPrefill).server).not.toBe(server)
})
