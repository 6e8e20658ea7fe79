import type { BackendTable } from '../../src/gateway/backend-table.js'
import type { ForwardingContext } from '../../src/gateway/forwarding.js'
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js'
import { HttpExchangeClient } from '../../src/gateway/http-exchange.js'
import { RetryBudget } from '../../src/gateway/retry-budget.js'
import { ServerHealth } from '../../src/gateway/server-health.js'
import { HttpBackendClient } from '../../platform/http-backend-client.js'
import { recordingLog, unboundedBuffers } from '../gateway/gateway-fixtures.js'
import { soleInstanceLimits } from '../gateway/limit-fixtures.js'

/** Context of an instance in failure domain `a` that sends to the given servers over real connections. */
export function httpForwardingContext (backends: BackendTable): ForwardingContext & { log: ReturnType<typeof recordingLog> } {
  const nowMs = (): number => performance.now()
  const log = recordingLog()
  return {
    backends,
    backendClient: new HttpBackendClient({ buffers: unboundedBuffers(), exchangeClient: new HttpExchangeClient(), log }),
    health: new ServerHealth({ nowMs }),
    retryBudget: new RetryBudget({ nowMs, allowance: () => ({ ratio: 0, slack: 100, windowS: 1 }), instanceCount: () => 1 }),
    failureDomain: 'a',
    log,
    metrics: new GatewayMetrics(),
    ...soleInstanceLimits(nowMs),
    nowMs,
    random: () => 0
  }
}
