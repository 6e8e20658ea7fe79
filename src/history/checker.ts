import type { HistoryRecord } from '../model/history.js'
import { checkAtMostOnce } from './checks/at-most-once.js'
import { checkBundleInForce, checkBundleNeverReverts } from './checks/bundles.js'
import { checkGracefulShutdown } from './checks/graceful-shutdown.js'
import { checkHeldMemory } from './checks/no-held-memory.js'
import { checkLeavingServer } from './checks/leaving-server.js'
import { checkOneAnswer } from './checks/one-answer.js'
import { checkSettled } from './checks/settled.js'
import { checkTruthfulRefusal } from './checks/truthful-refusal.js'
import { checkWholeAnswer } from './checks/whole-answer.js'
import { Guarantee, type Violation } from './violation.js'

/** One check for each guarantee; each reads only what callers, backend servers and the platform saw. */
export const checks: Record<Guarantee, (records: HistoryRecord[]) => Violation[]> = {
  [Guarantee.NoHeldMemory]: checkHeldMemory,
  [Guarantee.OneAnswer]: checkOneAnswer,
  [Guarantee.WholeAnswer]: checkWholeAnswer,
  [Guarantee.TruthfulRefusal]: checkTruthfulRefusal,
  [Guarantee.AtMostOnce]: checkAtMostOnce,
  [Guarantee.LeavingServer]: checkLeavingServer,
  [Guarantee.GracefulShutdown]: checkGracefulShutdown,
  [Guarantee.BundleInForce]: checkBundleInForce,
  [Guarantee.BundleNeverReverts]: checkBundleNeverReverts,
  [Guarantee.Settled]: checkSettled
}

/** Judges a whole history. */
export function checkHistory (records: HistoryRecord[]): Violation[] {
  return Object.values(checks).flatMap((check) => check(records))
}
