import type { ReservationAction } from '../reservations/reservation-action.js'
import type { BundleAction } from '../bundles/bundle-action.js'
import type { CallAction } from '../calls/call-action.js'
import type { DrainAction } from '../drain/drain-action.js'
import type { MemberAction } from '../members/member-action.js'
import type { OrderAction } from '../orders/order-action.js'
import type { ServerAction } from '../placement/server-action.js'
import type { RequestAction } from '../requests/request-action.js'
import type { CoreAction } from './core-action.js'

/** Every side effect that the core can request from the runtime. */
export type Action =
  | ReservationAction
  | BundleAction
  | CallAction
  | CoreAction
  | DrainAction
  | MemberAction
  | OrderAction
  | RequestAction
  | ServerAction

export type ActionKind = Action['kind']

export type ActionOf<K extends ActionKind> = Extract<Action, { kind: K }>
