/** Reason for which the gateway refuses a request instead of sending a server's response. */
export enum GatewayRefusal {
  NoConfiguration = 'no-configuration',
  UnknownRoute = 'unknown-route',
  Malformed = 'malformed',
  /** The request has no key of an organisation, or one that the active configuration does not hold. */
  UnknownKey = 'unknown-key',
  /** The request has a key that the active configuration does not hold, but a newer configuration may; or its key was given to another organisation while it waited. */
  KeyNotYetKnown = 'key-not-yet-known',
  BodyTooLarge = 'body-too-large',
  /** The organisation has used up its quota. */
  OverQuota = 'over-quota',
  /** No instance that keeps the quota of the organisation has answered. */
  QuotaUndecided = 'quota-undecided',
  TooManyFields = 'too-many-fields',
  /** No server was available, or none could be reached. */
  NoServer = 'no-server',
  /** The request could not be placed on runners, or on plain servers in the time that it has. */
  Overloaded = 'overloaded',
  /** Recent requests with a part of this prompt crashed runners. */
  CrashingPrompt = 'crashing-prompt',
  /** Every server of the service has a limit, and all of them are used up. */
  RateLimited = 'rate-limited',
  /** Every server of the service has turned this instance away for a time. */
  Paused = 'paused',
  /** The process keeps too many bytes for all requests together, and this one occupies most of them. */
  OutOfMemory = 'out-of-memory',
  /** Every server that received the request rejected it without running it. */
  Rejected = 'rejected',
  /** This gateway instance is shutting down. */
  Stopping = 'stopping',
  /** The request timed out and is known not to have run. */
  TimedOutBeforeRun = 'timed-out-before-run',
  /** The request failed on a server that may have run it. */
  OutcomeUnknown = 'outcome-unknown',
  /** The request timed out and may have run. */
  TimedOut = 'timed-out'
}

/** HTTP status of each refusal. 503 guarantees that the request has not run; after 502 and 504 it may have run. */
export const refusalStatus: Record<GatewayRefusal, number> = {
  [GatewayRefusal.NoConfiguration]: 503,
  [GatewayRefusal.UnknownRoute]: 404,
  [GatewayRefusal.Malformed]: 400,
  [GatewayRefusal.UnknownKey]: 401,
  [GatewayRefusal.KeyNotYetKnown]: 503,
  [GatewayRefusal.BodyTooLarge]: 413,
  [GatewayRefusal.OverQuota]: 429,
  [GatewayRefusal.QuotaUndecided]: 503,
  [GatewayRefusal.TooManyFields]: 431,
  [GatewayRefusal.NoServer]: 503,
  [GatewayRefusal.Overloaded]: 503,
  [GatewayRefusal.CrashingPrompt]: 503,
  [GatewayRefusal.RateLimited]: 503,
  [GatewayRefusal.Paused]: 503,
  [GatewayRefusal.OutOfMemory]: 503,
  [GatewayRefusal.Rejected]: 503,
  [GatewayRefusal.Stopping]: 503,
  [GatewayRefusal.TimedOutBeforeRun]: 503,
  [GatewayRefusal.OutcomeUnknown]: 502,
  [GatewayRefusal.TimedOut]: 504
}
