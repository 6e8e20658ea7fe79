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

/** Calls that start a stage of a request on an engine. */
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
  /** The call that starts this work, while it has not returned: it may reach the engine after a cancel, so no cancel is final yet. */
  awaited: StageCall | null
  /** Number of the first cancel sent after that call returned; a confirmation of an earlier one is ignored. */
  finalFrom: number
}

/** Placement policies, including the baselines that the product's own policy is compared with. */
export enum PlacementPolicy {
  Reserved = 'reserved',
  LeastLoad = 'least-load',
  RoundRobin = 'round-robin'
}

/** Settings of this instance that controllers read. */
export interface Tuning {
  placement: PlacementPolicy
  addressLifetimeMs: number
  drainLimitMs: number
}

/** The blackboard of one entry instance: the state that its controllers share. */
export interface Board {
  self: Identity
  tuning: Tuning
  bundle: ActiveBundle | null
  bundleSpread: BundleDistribution
  servers: Map<string, BackendServer>
  members: Map<string, Member>
  /** State of the failure detector and of gossip. */
  membership: Membership
  requests: Map<string, ModelRequest>
  cancels: Map<string, PendingCancel>
  admission: AdmissionTable
  /** Retry budgets of model services, by service. */
  retryBudgets: Map<string, RetryBudget>
  /** Which runners hold which prompt prefixes. */
  prefixes: PrefixTable
  /** What this instance knows about the load of runners beyond their last load reports. */
  corrections: LoadCorrections
  /** Runners by model and role. */
  pools: RunnerPools
  /** The runner chosen by the last placement, by role and model; it is a candidate of the next placement too. */
  bestRunners: Map<string, string>
  /** Number of placements made by the round-robin policy. */
  placementTurns: number
  /** Reservation ledgers of the decode runners that this instance coordinates, by server. */
  accounts: Map<string, ReservationLedger>
  /** State of the orders to runners, by service, for the services whose orders this instance plans. */
  orderPools: Map<string, OrderPool>
  /** Streams in the last listings of the runners that this instance coordinates, by server, then by work id. */
  watchedStreams: Map<string, Map<string, WatchedStream>>
  /** Entry instances in the last instance list. */
  listedInstances: Set<string>
  /** Entry instances that were removed from the instance list, with the time of the first list without them. */
  departedInstances: Map<string, number>
  calls: Map<string, CallAttempt>
  /** Backend servers that report themselves as leaving, with the time when this instance noticed; the instance list lags behind such reports. */
  leavingServers: Map<string, number>
  /** Keys issued by this incarnation, and records of all keys whose calls it may dispatch. */
  issuedKeys: IssuedKeys
  /** Calls of each organisation on this instance, for its limits. */
  callUsage: Map<string, CallUsage>
  /** Retries left in the budget of each plain service. */
  retryTokens: Map<string, number>
  /** When this instance began to shut down; null before that. */
  drainingSinceMs: number | null
}

export const tuningDefaults: Tuning = {
  placement: PlacementPolicy.Reserved,
  addressLifetimeMs: 5000,
  drainLimitMs: 120000
}

/** Creates the empty blackboard of an instance that has just started. */
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
