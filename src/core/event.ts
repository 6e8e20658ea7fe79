import type { ReservationEvent } from '../reservations/reservation-event.js'
import type { BundleEvent } from '../bundles/bundle-event.js'
import type { CallEvent } from '../calls/call-event.js'
import type { DrainEvent } from '../drain/drain-event.js'
import type { MemberEvent } from '../members/member-event.js'
import type { OrderEvent } from '../orders/order-event.js'
import type { ServerEvent } from '../placement/server-event.js'
import type { RequestEvent } from '../requests/request-event.js'

/** Every event that the core can handle. */
export type Event =
  | ReservationEvent
  | BundleEvent
  | CallEvent
  | DrainEvent
  | MemberEvent
  | OrderEvent
  | RequestEvent
  | ServerEvent

export type EventKind = Event['kind']

export type EventOf<K extends EventKind> = Extract<Event, { kind: K }>
