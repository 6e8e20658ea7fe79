/** What must always hold, as the checker judges it. */
export enum Guarantee {
  NoHeldMemory = 'no-held-memory',
  OneAnswer = 'one-answer',
  WholeAnswer = 'whole-answer',
  TruthfulRefusal = 'truthful-refusal',
  AtMostOnce = 'at-most-once',
  LeavingServer = 'leaving-server',
  GracefulShutdown = 'graceful-shutdown',
  BundleInForce = 'bundle-in-force',
  BundleNeverReverts = 'bundle-never-reverts',
  Settled = 'settled'
}

/** One breach of a guarantee. */
export interface Violation {
  guarantee: Guarantee
  atMs: number
  detail: string
}
