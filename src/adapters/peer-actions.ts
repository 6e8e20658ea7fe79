import { ReservationActionKind } from '../reservations/reservation-action.js'
import { ReservationEventKind } from '../reservations/reservation-event.js'
import type { Identity } from '../board/identity.js'
import { BundleActionKind } from '../bundles/bundle-action.js'
import type { Event } from '../core/event.js'
import { type MemberAction, MemberActionKind } from '../members/member-action.js'
import type { Peers } from '../ports/peers.js'
import { RequestActionKind } from '../requests/request-action.js'
import { RequestEventKind } from '../requests/request-event.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import { toWireUpdate } from './member-wire.js'
import { type PeerMessage, PeerMessageKind } from './peer-message.js'

interface PeerActionOptions {
  self: Identity
  peers: Peers
  emit: (event: Event) => void
  nowMs: () => number
}

/** Delivers actions that are addressed to an entry instance: as an event to this instance's own core, or as a message to another instance. */
export function peerActions (options: PeerActionOptions): ActionHandlers {
  return { ...reservationActions(options), ...memberActions(options.peers), ...bundlePeerActions(options.peers) }
}

function reservationActions ({ self, peers, emit, nowMs }: PeerActionOptions): ActionHandlers {
  return {
    [RequestActionKind.RequestReservation]: ({ kind, coordinator, ...reservation }) => {
      if (coordinator === self.id) {
        emit({ kind: ReservationEventKind.ReservationRequested, from: self.id, incarnation: self.incarnation, ...reservation })
        return
      }
      const { readyMs, ...rest } = reservation
      peers.send(coordinator, { kind: PeerMessageKind.ReservationRequest, readyInMs: readyMs - nowMs(), ...rest })
    },
    [RequestActionKind.ReleaseReservation]: ({ coordinator, work, server }) => {
      if (coordinator === self.id) {
        emit({ kind: ReservationEventKind.ReservationReleased, work, server })
        return
      }
      peers.send(coordinator, { kind: PeerMessageKind.ReservationRelease, work, server })
    },
    [ReservationActionKind.AnswerReservation]: ({ kind, to, ...answer }) => {
      if (to === self.id) {
        emit({ kind: RequestEventKind.ReservationAnswered, ...answer })
        return
      }
      const { transferMs, ...rest } = answer
      peers.send(to, { kind: PeerMessageKind.ReservationAnswer, transferInMs: transferMs - nowMs(), ...rest })
    },
    [ReservationActionKind.QueryOwner]: ({ owner, incarnation, work, server }) => {
      peers.send(owner, { kind: PeerMessageKind.OwnerQuery, work, server, incarnationWanted: incarnation })
    }
  }
}

function memberActions (peers: Peers): ActionHandlers {
  return {
    [MemberActionKind.SendProbe]: (action) => peers.send(action.to, probeMessage(action)),
    [MemberActionKind.SendProbeAck]: (action) => peers.send(action.to, probeMessage(action)),
    [MemberActionKind.SendProbeRequest]: (action) => peers.send(action.to, probeMessage(action))
  }
}

/** Builds the message that an action of the membership protocol sends. */
export function probeMessage (action: MemberAction): PeerMessage {
  const updates = action.updates.map(toWireUpdate)
  switch (action.kind) {
    case MemberActionKind.SendProbe: {
      const { probe, onBehalfOf, bundleVersion, digest } = action
      return { kind: PeerMessageKind.Probe, probe, onBehalfOf, bundleVersion, digest, updates }
    }
    case MemberActionKind.SendProbeAck: {
      const { probe, subject, bundleVersion, digest } = action
      return { kind: PeerMessageKind.ProbeAck, probe, subject, bundleVersion, digest, updates }
    }
    case MemberActionKind.SendProbeRequest: {
      const { probe, subject } = action
      return { kind: PeerMessageKind.ProbeRequest, probe, subject, updates }
    }
  }
}

function bundlePeerActions (peers: Peers): ActionHandlers {
  return {
    [BundleActionKind.AnnounceBundle]: ({ peers: recipients, version, signed }) => {
      for (const peer of recipients) peers.send(peer, { kind: PeerMessageKind.BundleAnnounce, version, signed })
    },
    [BundleActionKind.RequestBundle]: ({ to, ask, have, wanted, parts }) => {
      peers.send(to, { kind: PeerMessageKind.BundleRequest, ask, have, wanted, parts: parts.map((hash) => Buffer.from(hash, 'hex')) })
    },
    [BundleActionKind.SendParts]: ({ kind, to, ...answer }) => peers.send(to, { kind: PeerMessageKind.BundlePart, ...answer })
  }
}
