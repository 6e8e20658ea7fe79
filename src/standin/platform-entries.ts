import { RunnerStage } from './platform-runner-standin.js'

/** Host of all routes. */
const HOST = 'soak.example'

export const configurationKey = 'op/config'

export const serverPrefix = 'servers/'

export function serverKey (id: string): string {
  return `${serverPrefix}${id}`
}

interface PlatformConfigurationOptions {
  version: number
  addedPaths: string[]
  timeoutMs?: number
  idleTimeoutMs?: number
  bodyBytes?: number
  /** Organisations whose keys are needed; without them, no key is. */
  organisations?: Array<{ name: string, keys: string[] }> | undefined
}

/** A configuration as an operator writes it: orders, checks and streams, and the given paths to the plain service. */
export function platformConfiguration ({ version, addedPaths, timeoutMs = 3000, idleTimeoutMs = 15_000, bodyBytes = 65_536, organisations }: PlatformConfigurationOptions): unknown {
  const route = (path: string, kind: string, service: string, more: object = {}): object => ({
    Name: path, Host: HOST, PathPrefix: path, Kind: kind, TimeoutMs: timeoutMs, TargetLatencyMs: 500, Service: service, Attempts: 2, ...more
  })
  return {
    Version: version,
    Routes: [
      route('/orders/', 'non_idempotent', 'plain'),
      route('/checks/', 'idempotent', 'plain'),
      route('/streams/', 'streaming', 'model', { Attempts: 1, TargetGapMs: 300 }),
      ...addedPaths.map((path) => route(path, 'idempotent', 'plain'))
    ],
    Services: [
      { Name: 'plain', MaxConnections: 100 },
      { Name: 'model', MaxConnections: 100, Engine: { Slots: 16, KvCacheTokens: 20_000, Stride: 40 } }
    ],
    Limits: { HeaderBytes: 16384, BodyBytes: bodyBytes, HeaderTimeoutMs: 3000, IdleTimeoutMs: idleTimeoutMs },
    ...(organisations === undefined ? {} : { Tenants: organisations.map(({ name, keys }) => ({ Name: name, ApiKeys: keys })) })
  }
}

/** The entry of a server that has just started or, with `leaving`, is about to exit. */
export function platformServer ({ service, address, stage, leaving = false, slots = 16 }: { service: string, address: string, stage: RunnerStage, leaving?: boolean, slots?: number }): unknown {
  return {
    Service: service,
    Address: address,
    Zone: 'a',
    State: leaving ? 'draining' : 'ready',
    Slots: slots,
    Sequence: 1,
    born: Date.now(),
    ...(stage === RunnerStage.Plain ? {} : { Stage: stage })
  }
}
