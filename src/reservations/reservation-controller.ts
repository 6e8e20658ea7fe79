import { RunnerRole, ServerKind } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import { MemberState } from '../board/member.js'
import type { Action } from '../core/action.js'
import type { Controller } from '../core/controller.js'
import { MemberEventKind } from '../members/member-event.js'
import { coordinatorOf } from '../placement/coordinator.js'
import { ReservationActionKind } from './reservation-action.js'
import { ReservationEventKind } from './reservation-event.js'
import { requestReservation, createReservationLedger, denyExpiredRequest, releaseReservation, serveWaiting, applyListing } from './granting.js'

/** Maintains the reservation ledgers of the decode runners that rendezvous hashing assigns to this instance. */
export const reservationController: Controller = {
  name: 'accounts',
  handlers: {
    [ReservationEventKind.ReservationRequested]: (board, event, { nowMs }) => {
      const existing = board.accounts.get(event.server)
      const ledger = existing ?? createReservationLedger(event.server)
      board.accounts.set(event.server, ledger)
      const actions = requestReservation(board, ledger, event, nowMs)
      // A new coordinator grants reservations only after it has read the runner's own listing.
      return ledger.read ? actions : [...actions, { kind: ReservationActionKind.ListStreams, server: event.server }]
    },
    [ReservationEventKind.ReservationReleased]: (board, { work, server }, { nowMs }) => {
      const ledger = board.accounts.get(server)
      if (ledger === undefined) return []
      releaseReservation(ledger, work, nowMs)
      return serveWaiting(board, ledger, nowMs)
    },
    [ReservationEventKind.ReservationRequestExpired]: (board, { work, server }) => {
      const ledger = board.accounts.get(server)
      return ledger === undefined ? [] : denyExpiredRequest(ledger, work)
    },
    [ReservationEventKind.ReservationTick]: (board, _event, { nowMs }) => listCoordinatedRunners(board, nowMs),
    // When an instance dies, its runners get a new coordinator, which lists them at once instead of up to half a second later:
    // memory held for the dead instance must be free within 5 s.
    [MemberEventKind.MemberChanged]: (board, { state }, { nowMs }) => state === MemberState.Dead ? listCoordinatedRunners(board, nowMs) : [],
    [ReservationEventKind.StreamsListed]: (board, { server, ...listing }, { nowMs }) => {
      const ledger = board.accounts.get(server) ?? createReservationLedger(server)
      board.accounts.set(server, ledger)
      applyListing(ledger, listing, nowMs)
      return serveWaiting(board, ledger, nowMs)
    }
  }
}

/** Lists the runners that this instance coordinates, drops the ledgers of all others and serves waiting reservation requests. */
function listCoordinatedRunners (board: Board, nowMs: number): Action[] {
  const actions: Action[] = []
  for (const { id: server, kind, role } of board.servers.values()) {
    if (kind !== ServerKind.Model) continue
    if (coordinatorOf(board, server) === board.self.id) actions.push({ kind: ReservationActionKind.ListStreams, server })
    else board.accounts.delete(server)
    const ledger = board.accounts.get(server)
    if (role === RunnerRole.Decode && ledger !== undefined) actions.push(...serveWaiting(board, ledger, nowMs))
  }
  return actions
}
