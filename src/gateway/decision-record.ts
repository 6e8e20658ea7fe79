import type { Log } from '../logs/log.js'
import type { GatewayMetrics } from './gateway-metrics.js'
import type { PlacementRefusal } from './placement.js'

/** A decision on a request that had to wait, with its inputs. */
export interface DecisionRecord {
  request: string
  service: string
  organisation: string
  /** 0 is the most urgent. */
  priority: number
  /** Whether the first event could still be sent before the objective. */
  onTime: boolean
  /** Whether the caller had been refused before. */
  returning: boolean
  /** Whether its priority went first because it had had little. */
  underserved: boolean
  /** How much of its share the organisation had had, in steps. */
  shareUse: number
  waitedMs: number
  outcome: 'placed' | PlacementRefusal
  waiting: number
  runs: number
}

/** Logs decisions and counts them. */
export function decisionRecorder ({ log, metrics }: { log: Log, metrics: GatewayMetrics }): (record: DecisionRecord) => void {
  return (record) => {
    metrics.placementDecisions.inc({ outcome: record.outcome, timing: record.onTime ? 'on-time' : 'late' })
    log.info('placement.decided', { ...record })
  }
}
