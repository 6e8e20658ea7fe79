import { ReservationEventKind } from '../reservations/reservation-event.js'
import type { Board } from '../board/board.js'
import { BundleEventKind } from '../bundles/bundle-event.js'
import { toHex } from '../bundles/part.js'
import type { Event } from '../core/event.js'
import { MemberEventKind } from '../members/member-event.js'
import type { Peers } from '../ports/peers.js'
import { isWorkNeeded } from '../requests/held-work.js'
import { RequestEventKind } from '../requests/request-event.js'
import { fromWireUpdate } from './member-wire.js'
import { type PeerEnvelope, type PeerMessage, PeerMessageKind } from './peer-message.js'

interface PeerEventOptions {
  board: Board
  peers: Peers
  emit: (event: Event) => void
  nowMs: () => number
}

export type MessageHandlers = {
  [K in PeerMessageKind]?: (message: Extract<PeerMessage, { kind: K }>, from: string, incarnation: string) => void
}

/** Converts messages from other entry instances to events of the core. */
export function peerEvents (options: PeerEventOptions): MessageHandlers {
  return { ...reservationEvents(options), ...memberEvents(options), ...ownerEvents(options), ...bundleEvents(options) }
}

/** Passes a message to the handler of its kind. Kinds without a handler, as newer releases may send, are ignored. */
export function dispatchMessage (handlers: MessageHandlers, envelope: PeerEnvelope): void {
  const handler = handlers[envelope.message.kind] as ((message: PeerMessage, from: string, incarnation: string) => void) | undefined
  handler?.(envelope.message, envelope.from, envelope.incarnation)
}

function reservationEvents ({ emit, nowMs }: PeerEventOptions): MessageHandlers {
  return {
    [PeerMessageKind.ReservationRequest]: ({ kind, readyInMs, ...reservation }, from, incarnation) => {
      emit({ kind: ReservationEventKind.ReservationRequested, from, incarnation, readyMs: nowMs() + readyInMs, ...reservation })
    },
    [PeerMessageKind.ReservationAnswer]: ({ kind, transferInMs, ...answer }) => {
      emit({ kind: RequestEventKind.ReservationAnswered, transferMs: nowMs() + transferInMs, ...answer })
    },
    [PeerMessageKind.ReservationRelease]: ({ work, server }) => {
      emit({ kind: ReservationEventKind.ReservationReleased, work, server })
    }
  }
}

function memberEvents ({ emit }: PeerEventOptions): MessageHandlers {
  return {
    [PeerMessageKind.Probe]: ({ kind, updates, ...probe }, from, incarnation) => {
      emit({ kind: MemberEventKind.ProbeReceived, from, incarnation, updates: updates.map(fromWireUpdate), ...probe })
    },
    [PeerMessageKind.ProbeAck]: ({ kind, updates, ...ack }, from, incarnation) => {
      emit({ kind: MemberEventKind.ProbeAckReceived, from, incarnation, updates: updates.map(fromWireUpdate), ...ack })
    },
    [PeerMessageKind.ProbeRequest]: ({ kind, updates, ...request }, from, incarnation) => {
      emit({ kind: MemberEventKind.ProbeRequestReceived, from, incarnation, updates: updates.map(fromWireUpdate), ...request })
    }
  }
}

function bundleEvents ({ emit }: PeerEventOptions): MessageHandlers {
  return {
    [PeerMessageKind.BundleAnnounce]: ({ version, signed }, from) => {
      emit({ kind: BundleEventKind.BundleAnnounced, from, version, signed })
    },
    [PeerMessageKind.BundleRequest]: ({ kind, parts, ...request }, from) => {
      emit({ kind: BundleEventKind.BundleRequested, from, ...request, parts: parts.map(toHex) })
    },
    [PeerMessageKind.BundlePart]: ({ kind, ...answer }, from) => {
      emit({ kind: BundleEventKind.BundlePartsReceived, from, ...answer })
    }
  }
}

function ownerEvents ({ board, peers, emit }: PeerEventOptions): MessageHandlers {
  return {
    [PeerMessageKind.OwnerQuery]: ({ work, server, incarnationWanted }, from) => {
      const wanted = incarnationWanted === board.self.incarnation && isWorkNeeded(board, work, server)
      peers.send(from, { kind: PeerMessageKind.OwnerAnswer, work, server, wanted })
    },
    [PeerMessageKind.OwnerAnswer]: ({ work, server, wanted }) => {
      emit({ kind: ReservationEventKind.OwnerAnswered, work, server, wanted })
    }
  }
}
