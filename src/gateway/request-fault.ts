import type { Log } from '../logs/log.js'
import type { PendingRequest } from './pending-request.js'
import { GatewayRefusal } from './refusal.js'

/** Logs an unexpected error and ends its request. It may have occurred after the request was written, so it can't be said that it has not run. */
export function endAfterFault (pending: PendingRequest, error: unknown, log: Log): void {
  log.error('request.fault', { request: pending.request.id, detail: error instanceof Error ? String(error.stack) : String(error) })
  try {
    pending.refuse(GatewayRefusal.OutcomeUnknown)
  } catch (refusalError) {
    log.error('request.fault', { request: pending.request.id, detail: String(refusalError) })
    pending.abort(GatewayRefusal.OutcomeUnknown)
  }
}
