import { RouteKind, type Route } from './configuration.js'

/** What an exchange with a backend server says about the request having run. */
export enum ExchangeOutcome {
  /** A complete answer, or the head of a stream, of the server itself. */
  Answered = 'answered',
  /** A complete answer in which the server says that it failed. */
  Failed = 'failed',
  /** The connection was never established: nothing was sent. */
  NotSent = 'not-sent',
  /** The server states that it did not run the request. */
  Rejected = 'rejected',
  /** Another server has the address; it did not run the request. */
  Misdirected = 'misdirected',
  /** The answer broke off, was of another request, or was no valid answer. */
  Broken = 'broken',
  /** No answer in time. */
  TimedOut = 'timed-out'
}

/** The one place that decides whether a request surely did not run. */
const surelyNotRun: Record<ExchangeOutcome, boolean> = {
  [ExchangeOutcome.Answered]: false,
  [ExchangeOutcome.Failed]: false,
  [ExchangeOutcome.NotSent]: true,
  [ExchangeOutcome.Rejected]: true,
  [ExchangeOutcome.Misdirected]: true,
  [ExchangeOutcome.Broken]: false,
  [ExchangeOutcome.TimedOut]: false
}

/** Whether an outcome leaves it certain that the request has not run and never will. */
export function isSurelyNotRun (outcome: ExchangeOutcome): boolean {
  return surelyNotRun[outcome]
}

/** Whether the request counts as sent to the server, for the route's number of attempts. */
export function countsAsAttempt (outcome: ExchangeOutcome): boolean {
  return outcome !== ExchangeOutcome.NotSent && outcome !== ExchangeOutcome.Misdirected
}

/** Whether a request may be sent again although it may have run. */
export function mayRunTwice (route: Route): boolean {
  return route.kind === RouteKind.Idempotent || (route.kind === RouteKind.Streaming && route.resumable)
}

/** Whether the request may go to another server after this outcome. */
export function mayTryElsewhere (route: Route, outcome: ExchangeOutcome): boolean {
  return outcome !== ExchangeOutcome.Answered && (isSurelyNotRun(outcome) || mayRunTwice(route))
}
