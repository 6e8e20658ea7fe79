import type { CallerRequest } from './caller-request.js'
import { type Quota, QuotaUnit } from './configuration.js'

type CostedRequest = Pick<CallerRequest, 'generationParameters'>

const costHandlers: Record<QuotaUnit, (request: CostedRequest, quota: Quota) => number> = {
  [QuotaUnit.Requests]: () => 1,
  [QuotaUnit.Tokens]: ({ generationParameters }, { plainTokens }) => generationParameters === null
    ? plainTokens
    : Math.max(0, generationParameters.promptTokens) + Math.max(0, generationParameters.maxOutputTokens)
}

/** Units of its organisation's quota that a request costs. */
export function quotaCost (request: CostedRequest, quota: Quota): number {
  return costHandlers[quota.unit](request, quota)
}
