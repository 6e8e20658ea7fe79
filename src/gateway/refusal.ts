/** Reason why the gateway answers a request itself instead of with a server's response. */
export enum GatewayRefusal {
  NoConfiguration = 'no-configuration',
  UnknownRoute = 'unknown-route',
  Malformed = 'malformed',
  BodyTooLarge = 'body-too-large',
  NoServer = 'no-server',
  Overloaded = 'overloaded',
  Rejected = 'rejected',
  Stopping = 'stopping',
  TimedOutBeforeRun = 'timed-out-before-run',
  OutcomeUnknown = 'outcome-unknown',
  TimedOut = 'timed-out'
}

/** HTTP status of each refusal. 503 guarantees that the request has not run; after 502 and 504 it may have run. */
export const refusalStatus: Record<GatewayRefusal, number> = {
  [GatewayRefusal.NoConfiguration]: 503,
  [GatewayRefusal.UnknownRoute]: 404,
  [GatewayRefusal.Malformed]: 400,
  [GatewayRefusal.BodyTooLarge]: 413,
  [GatewayRefusal.NoServer]: 503,
  [GatewayRefusal.Overloaded]: 503,
  [GatewayRefusal.Rejected]: 503,
  [GatewayRefusal.Stopping]: 503,
  [GatewayRefusal.TimedOutBeforeRun]: 503,
  [GatewayRefusal.OutcomeUnknown]: 502,
  [GatewayRefusal.TimedOut]: 504
}
