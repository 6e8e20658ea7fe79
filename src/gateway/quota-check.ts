import type { Log } from '../logs/log.js'
import { RETRY_ELSEWHERE_MS } from './forwarding.js'
import type { GatewayMetrics } from './gateway-metrics.js'
import type { PendingRequest } from './pending-request.js'
import { type QuotaAdmission, type QuotaClient, QuotaVerdict } from './quota-client.js'
import { quotaCost } from './quota-cost.js'
import type { OrganisationLimit } from './quota-ledger.js'
import { GatewayRefusal } from './refusal.js'
import { endAfterFault } from './request-fault.js'

interface QuotaCheckOptions {
  client: Pick<QuotaClient, 'acquire' | 'release'>
  /** Version of the active configuration. */
  version: () => number
  log: Log
  metrics: Pick<GatewayMetrics, 'countQuotaDecision'>
}

/** Forwards requests that are within the quotas of their organisations, and refuses the others. */
export class QuotaCheck {
  readonly #options: QuotaCheckOptions

  constructor (options: QuotaCheckOptions) {
    this.#options = options
  }

  /** Calls `forward` once the request is admitted, at once if no quota applies; refuses the request otherwise. */
  whenAdmitted (pending: PendingRequest, forward: () => void): void {
    const { organisation, request } = pending
    if (organisation?.quota == null) return forward()
    const { perS, burst } = organisation.quota
    const limit = { organisation: organisation.name, perS, burst, version: this.#options.version() }
    const admission = this.#options.client.acquire(limit, quotaCost(request, organisation.quota))
    if (!(admission instanceof Promise)) return this.#apply(pending, { limit, admission, forward })
    pending.onTimeout = (refusal) => pending.refuse(refusal)
    admission
      .then((decided) => this.#apply(pending, { limit, admission: decided, forward }))
      .catch((error: unknown) => endAfterFault(pending, error, this.#options.log))
  }

  #apply (pending: PendingRequest, { limit, admission, forward }: { limit: OrganisationLimit, admission: QuotaAdmission, forward: () => void }): void {
    const { client, metrics } = this.#options
    const { verdict, cost, decidedBy } = admission
    metrics.countQuotaDecision(limit.organisation, verdict)
    pending.addLogFields({ quotaCost: cost, quotaBy: decidedBy ?? 'uncounted' })
    if (verdict !== QuotaVerdict.Granted) return this.#refuse(pending, limit, admission)
    // Also called at once if the caller has left or the time has run out meanwhile.
    pending.whenEnded(() => { if (!pending.sendStarted) client.release(limit, admission) })
    if (!pending.ended) forward()
  }

  #refuse (pending: PendingRequest, { organisation, perS, burst, version }: OrganisationLimit, { verdict, cost, waitMs, decidedBy }: QuotaAdmission): void {
    this.#options.log.info('quota.refused', { request: pending.request.id, organisation, verdict, cost, perS, burst, version, waitMs: waitMs === null ? 'none' : Math.round(waitMs), by: decidedBy ?? 'none' })
    if (verdict === QuotaVerdict.Refused) pending.refuse(GatewayRefusal.OverQuota, waitMs)
    else pending.refuse(GatewayRefusal.QuotaUndecided, RETRY_ELSEWHERE_MS)
  }
}
