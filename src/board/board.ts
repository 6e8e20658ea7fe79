import type { Bundle } from '../bundles/bundle.js'
import type { BundleIndex } from '../bundles/bundle-index.js'
import { type LoadCorrections, createLoadCorrections } from '../placement/load-corrections.js'
import { createRunnerPools, type RunnerPools } from '../placement/runner-pools.js'
import { type AdmissionTable, createAdmissionTable } from './admission-table.js'
import type { TrustedKey } from '../settings/entry-settings.js'
import type { ReservationLedger } from './reservation-ledger.js'
import type { BackendServer } from './backend-server.js'
import { type BundleDistribution, createBundleDistribution } from './bundle-distribution.js'
import type { CallAttempt, CallUsage, IssuedKeys } from './call-attempt.js'
import type { Identity } from './identity.js'
import type { Member } from './member.js'
import { createMembership, type Membership } from './membership.js'
import type { ModelRequest } from './model-request.js'
import type { OrderPool } from './order-pool.js'
import { createPrefixTable, type PrefixTable } from './prefix-table.js'
import type { RetryBudget } from './retry-budget.js'
import type { WatchedStream } from './watched-stream.js'

export interface ActiveBundle {
  version: number
  hash: string
  sinceMs: number
  content: Bundle
  index: BundleIndex
}

/** A call that starts a stage on an engine. */
export enum StageCall {
  Prefill = 'prefill',
  Transfer = 'transfer'
}

/** A cancel that the engine has not confirmed yet. */
export interface PendingCancel {
  work: string
  server: string
  sinceMs: number
  attempts: number
  /** Call of this work that has not returned: it may reach the engine after the cancel, which is then not final. */
  awaited: StageCall | null
  /** Number of the first cancel sent after that call returned. */
  finalFrom: number
}

/** Baselines and product policies of placement, by name. */
export enum PlacementPolicy {
  Reserved = 'reserved',
  LeastLoad = 'least-load',
  RoundRobin = 'round-robin'
}

/** Local choices from the settings that decisions need. */
export interface Tuning {
  placement: PlacementPolicy
  addressLifetimeMs: number
  drainLimitMs: number
}

/** The blackboard of one entry instance: everything its controllers know. */
export interface Board {
  self: Identity
  tuning: Tuning
  bundle: ActiveBundle | null
  bundleSpread: BundleDistribution
  servers: Map<string, BackendServer>
  members: Map<string, Member>
  /** State of the probing of other instances. */
  membership: Membership
  requests: Map<string, ModelRequest>
  cancels: Map<string, PendingCancel>
  admission: AdmissionTable
  /** Retry budgets by service. */
  retryBudgets: Map<string, RetryBudget>
  /** Which runners hold which prompt prefixes. */
  prefixes: PrefixTable
  /** Own knowledge that load reports do not show yet. */
  corrections: LoadCorrections
  /** Runners by model and role. */
  pools: RunnerPools
  /** The runner chosen last, by role and model: a candidate of the next decision. */
  bestRunners: Map<string, string>
  /** Counts the choices of the round-robin policy. */
  placementTurns: number
  /** Accounts of the decode runners that this instance keeps. */
  accounts: Map<string, ReservationLedger>
  /** Orders to the runners of services that this instance plans, by service. */
  orderPools: Map<string, OrderPool>
  /** Streams in the last listings of the runners that this instance keeps, by server and work. */
  watchedStreams: Map<string, Map<string, WatchedStream>>
  /** Entry instances in the last instance list. */
  listedInstances: Set<string>
  /** Entry instances that were listed before and are no longer, with the time of that list. */
  departedInstances: Map<string, number>
  calls: Map<string, CallAttempt>
  /** Backend servers that said themselves that they are leaving, with the time; the instance list lags behind them. */
  leavingServers: Map<string, number>
  /** Records of keys issued by this incarnation, by key. */
  issuedKeys: IssuedKeys
  /** Calls of each organisation on this instance, for its limits. */
  callUsage: Map<string, CallUsage>
  /** Retries left to each plain service. */
  retryTokens: Map<string, number>
  /** Set when the shutdown of this instance began. */
  drainingSinceMs: number | null
}

export const tuningDefaults: Tuning = {
  placement: PlacementPolicy.Reserved,
  addressLifetimeMs: 5000,
  drainLimitMs: 120000
}

/** An empty blackboard for an instance that has just started. */
export function createBoard (options: { self: Identity, tuning?: Partial<Tuning>, keySecret?: string, trustedKeys?: TrustedKey[] }): Board {
  return {
    self: options.self,
    tuning: { ...tuningDefaults, ...options.tuning },
    bundle: null,
    bundleSpread: createBundleDistribution(options.trustedKeys ?? []),
    servers: new Map(),
    members: new Map(),
    membership: createMembership(),
    requests: new Map(),
    cancels: new Map(),
    admission: createAdmissionTable(),
    retryBudgets: new Map(),
    prefixes: createPrefixTable(),
    corrections: createLoadCorrections(),
    pools: createRunnerPools(),
    bestRunners: new Map(),
    placementTurns: 0,
    accounts: new Map(),
    orderPools: new Map(),
    watchedStreams: new Map(),
    listedInstances: new Set(),
    departedInstances: new Map(),
    calls: new Map(),
    issuedKeys: { lastNumber: 0, expiredNumber: 0, marks: [], secret: options.keySecret ?? '', records: new Map(), answers: new Map(), answerBytes: 0 },
    callUsage: new Map(),
    retryTokens: new Map(),
    leavingServers: new Map(),
    drainingSinceMs: null
  }
}
