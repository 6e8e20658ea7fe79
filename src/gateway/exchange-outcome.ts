import { RouteKind, type Route } from './configuration.js'

/** Result of sending a request to a backend server; it determines whether the request may have run. */
export enum ExchangeOutcome {
  /** The head of the server's own response arrived; the body follows. */
  Answered = 'answered',
  /** The server sent a complete response with a 5xx status. */
  Failed = 'failed',
  /** No connection was established, so nothing was sent. */
  NotSent = 'not-sent',
  /** The server stated that it did not run the request. */
  Rejected = 'rejected',
  /** The address now belongs to another server, which did not run the request. */
  Misdirected = 'misdirected',
  /** The response was incomplete, invalid or belonged to another request. */
  Broken = 'broken',
  /** No response head arrived in time. */
  TimedOut = 'timed-out'
}

/** Whether each outcome proves that the request did not run. This is the only place that decides it. */
const notRunByOutcome: Record<ExchangeOutcome, boolean> = {
  [ExchangeOutcome.Answered]: false,
  [ExchangeOutcome.Failed]: false,
  [ExchangeOutcome.NotSent]: true,
  [ExchangeOutcome.Rejected]: true,
  [ExchangeOutcome.Misdirected]: true,
  [ExchangeOutcome.Broken]: false,
  [ExchangeOutcome.TimedOut]: false
}

/** Whether the outcome proves that the request has not run and never will. */
export function provesNotRun (outcome: ExchangeOutcome): boolean {
  return notRunByOutcome[outcome]
}

/** Whether a send with this outcome counts towards the route's limit of attempts. */
export function countsAsAttempt (outcome: ExchangeOutcome): boolean {
  return outcome !== ExchangeOutcome.NotSent && outcome !== ExchangeOutcome.Misdirected
}

/** Whether a request on this route may be retried even if it may have run already. */
export function mayRunTwice (route: Route): boolean {
  return route.kind === RouteKind.Idempotent || (route.kind === RouteKind.Streaming && route.resumable)
}

/** Whether the request may be sent to another server after this outcome. */
export function mayTryOtherServer (route: Route, outcome: ExchangeOutcome): boolean {
  return outcome !== ExchangeOutcome.Answered && (provesNotRun(outcome) || mayRunTwice(route))
}
