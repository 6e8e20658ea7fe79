import { RunnerRole, ServerKind } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import { MemberState } from '../board/member.js'
import type { Action } from '../core/action.js'
import type { Controller } from '../core/controller.js'
import { MemberEventKind } from '../members/member-event.js'
import { coordinatorOf } from '../placement/coordinator.js'
import { ReservationActionKind } from './reservation-action.js'
import { ReservationEventKind } from './reservation-event.js'
import { ask, createReservationLedger, denyExpired, release, serveWaiting, takeListing } from './granting.js'

/** Keeps the accounts of the decode runners that rendezvous hashing gives to this instance. */
export const reservationController: Controller = {
  name: 'accounts',
  handlers: {
    [ReservationEventKind.ReservationRequested]: (board, event, { nowMs }) => {
      const known = board.accounts.get(event.server)
      const account = known ?? createReservationLedger(event.server)
      board.accounts.set(event.server, account)
      const actions = ask(board, account, event, nowMs)
      // A new keeper grants only after it has read the runner's own listing.
      return account.read ? actions : [...actions, { kind: ReservationActionKind.ListStreams, server: event.server }]
    },
    [ReservationEventKind.ReservationReleased]: (board, { work, server }, { nowMs }) => {
      const account = board.accounts.get(server)
      if (account === undefined) return []
      release(account, work, nowMs)
      return serveWaiting(board, account, nowMs)
    },
    [ReservationEventKind.ReservationRequestExpired]: (board, { work, server }) => {
      const account = board.accounts.get(server)
      return account === undefined ? [] : denyExpired(account, work)
    },
    [ReservationEventKind.ReservationTick]: (board, _event, { nowMs }) => listKept(board, nowMs),
    // A death moves accounts; a new keeper must not lose half a second of the time in which held memory is due.
    [MemberEventKind.MemberChanged]: (board, { state }, { nowMs }) => state === MemberState.Dead ? listKept(board, nowMs) : [],
    [ReservationEventKind.StreamsListed]: (board, { server, ...listing }, { nowMs }) => {
      const account = board.accounts.get(server) ?? createReservationLedger(server)
      board.accounts.set(server, account)
      takeListing(account, listing, nowMs)
      return serveWaiting(board, account, nowMs)
    }
  }
}

/** Lists the runners that this instance keeps and serves asks that wait for their places. */
function listKept (board: Board, nowMs: number): Action[] {
  const actions: Action[] = []
  for (const { id: server, kind, role } of board.servers.values()) {
    if (kind !== ServerKind.Model) continue
    if (coordinatorOf(board, server) === board.self.id) actions.push({ kind: ReservationActionKind.ListStreams, server })
    else board.accounts.delete(server)
    const account = board.accounts.get(server)
    if (role === RunnerRole.Decode && account !== undefined) actions.push(...serveWaiting(board, account, nowMs))
  }
  return actions
}
