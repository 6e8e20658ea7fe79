import { type BackendServer, RunnerRole } from './backend.js'

/** Minimum factor by which a role change must raise the request rate that the runner pools can serve; during the change, one runner serves nothing for some seconds. */
const MIN_CAPACITY_GAIN = 1.15

/** The same for a change during which the other runners can serve all requests. */
const MIN_FREE_CAPACITY_GAIN = 1.1

/** Share of their capacity that the runners must have been asked for before one changes its role: below it, a change brings nothing, and the speeds under load are not known. */
const MIN_USED_SHARE = 0.7

/** The same for the change of a runner that its pool does not need; below it, the measured speeds are those of idle runners. */
const MIN_SPARE_USED_SHARE = 0.35

/** Factor by which a pool without one of its runners must exceed the capacity of the best split for that runner not to be needed: measured speeds and the mix of requests vary. */
const MIN_SPARE_FACTOR = 1.25

/** Time within which a role change must serve more additional requests than it has cost, in milliseconds; the load may be different later. */
const PAYBACK_MS = 30_000

/** Speed at which a decode runner processes prompts, as a share of a prefill runner's speed; its streams pause meanwhile. */
const DECODE_PREFILL_SPEED_SHARE = 0.5

const MS_PER_SECOND = 1000

/** Average request of a service and the speed and memory of its runners. */
export interface RequestMix {
  promptTokens: number
  outputTokens: number
  /** Prompt tokens that a prefill runner processes per millisecond. */
  prefillTokensPerMs: number
  /** Time that a full decode runner needs for each output token of a run, in milliseconds. */
  msPerToken: number
  /** Memory that runs may fill on a decode runner, in tokens. */
  memoryTokens: number
  /** Maximum number of runs on a decode runner. */
  slots: number
}

/** Rates at which requests of a service arrive, per second. */
export interface Demand {
  currentPerS: number
  /** Highest rate of the recent past. */
  peakPerS: number
}

export interface RoleChange {
  backend: BackendServer
  /** The runner's new role. */
  role: RunnerRole.Prefill | RunnerRole.Decode
}

interface RoleChangeOptions {
  runners: BackendServer[]
  mix: RequestMix
  load: (backend: BackendServer) => number
  /** Null if it is not known what requests a change would cost. */
  demand?: Demand | null
  /** Time for which the runner serves nothing, in milliseconds. */
  changeMs?: number
  /** Minimum factor by which the change must raise the capacity, if that is higher than usual. */
  minGain?: number
  /** Requests per second that a runner accepts; Infinity without a limit. */
  limitPerS?: (backend: BackendServer) => number
}

/** Requests per second that pools with these numbers of runners can serve; 0 without decode runners. */
export function poolCapacity (prefillCount: number, decodeCount: number, mix: RequestMix): number {
  if (decodeCount === 0) return 0
  const promptMs = Math.max(1, mix.promptTokens) / mix.prefillTokensPerMs
  const runMs = Math.max(1, mix.outputTokens * mix.msPerToken)
  const decodePerMs = decodeCount * runsOnFullRunner(mix) / runMs
  if (prefillCount > 0) return Math.min(decodePerMs, prefillCount / promptMs) * MS_PER_SECOND
  // Without prefill runners, decode runners pause their runs while they process prompts, so the runs hold memory longer.
  const stallMs = promptMs / DECODE_PREFILL_SPEED_SHARE / decodeCount
  return decodePerMs / (1 + decodePerMs * stallMs) * MS_PER_SECOND
}

/** Average number of runs on a decode runner whose memory or slots are used up. */
export function runsOnFullRunner ({ memoryTokens, promptTokens, outputTokens, slots }: Omit<RequestMix, 'prefillTokensPerMs' | 'msPerToken'>): number {
  return Math.min(slots, memoryTokens / Math.max(1, promptTokens + outputTokens / 2))
}

/**
 * The next role change towards the split of runners with the highest capacity for the mix; null if no split gains enough, or if the change would
 * cost more requests than it serves additionally. It changes the least loaded runner of the pool that shrinks.
 */
export function bestRoleChange (options: RoleChangeOptions): RoleChange | null {
  const { runners, mix, demand = null, changeMs = 0, minGain = 0, limitPerS = () => Infinity } = options
  const prefill = runners.filter(({ stage }) => stage === RunnerRole.Prefill)
  const decode = runners.filter(({ stage }) => stage === RunnerRole.Decode)
  const best = runners.some((backend) => limitPerS(backend) < Infinity) ? bestLimitedChange(prefill, decode, options) : bestUnlimitedChange(prefill, decode, options)
  if (best === null) return null
  const { backend, role, capacityPerS } = best
  const others = (pool: BackendServer[]): BackendServer[] => pool.filter((other) => other !== backend)
  const shrunkPerS = role === RunnerRole.Decode ? poolCapacity(prefill.length - 1, Infinity, mix) : poolCapacity(Infinity, decode.length - 1, mix)
  const capacity = {
    before: limitedCapacity(prefill, decode, mix, limitPerS),
    during: limitedCapacity(others(prefill), others(decode), mix, limitPerS),
    after: capacityPerS,
    isSpare: shrunkPerS >= capacityPerS * MIN_SPARE_FACTOR
  }
  return isWorthwhile(capacity, demand, changeMs, minGain) ? { backend, role } : null
}

type PossibleChange = RoleChange & { capacityPerS: number }

/** The first step to the best split of runners without limits, with the capacity of that split. */
function bestUnlimitedChange (prefill: BackendServer[], decode: BackendServer[], { mix, load }: RoleChangeOptions): PossibleChange | null {
  const best = bestSplit(prefill.length, decode.length, mix)
  if (best.prefillCount === prefill.length) return null
  const role = best.prefillCount < prefill.length ? RunnerRole.Decode : RunnerRole.Prefill
  const backend = (role === RunnerRole.Decode ? prefill : decode).toSorted((a, b) => load(a) - load(b))[0]
  return backend === undefined ? null : { backend, role, capacityPerS: best.capacity }
}

/** The single change with the highest capacity among runners that accept different rates: a runner without a limit serves better where the others are limited. */
function bestLimitedChange (prefill: BackendServer[], decode: BackendServer[], { mix, load, limitPerS = () => Infinity }: RoleChangeOptions): PossibleChange | null {
  let best: PossibleChange | null = null
  const consider = (backend: BackendServer, role: RoleChange['role'], capacityPerS: number): void => {
    if (best === null || capacityPerS > best.capacityPerS || (capacityPerS === best.capacityPerS && load(backend) < load(best.backend))) best = { backend, role, capacityPerS }
  }
  for (const backend of prefill.length > 1 ? prefill : []) consider(backend, RunnerRole.Decode, limitedCapacity(prefill.filter((other) => other !== backend), [...decode, backend], mix, limitPerS))
  for (const backend of decode.length > 1 ? decode : []) consider(backend, RunnerRole.Prefill, limitedCapacity([...prefill, backend], decode.filter((other) => other !== backend), mix, limitPerS))
  return best
}

/** Requests per second that these runners can serve if each serves no more than it accepts. */
function limitedCapacity (prefill: BackendServer[], decode: BackendServer[], mix: RequestMix, limitPerS: (backend: BackendServer) => number): number {
  if (decode.length === 0) return 0
  const acceptedPerS = (pool: BackendServer[], eachPerS: number): number => pool.reduce((sum, backend) => sum + Math.min(eachPerS, limitPerS(backend)), 0)
  const decodePerS = acceptedPerS(decode, poolCapacity(Infinity, 1, mix))
  if (prefill.length === 0) return Math.min(decodePerS, poolCapacity(0, decode.length, mix))
  return Math.min(decodePerS, acceptedPerS(prefill, poolCapacity(1, Infinity, mix)))
}

/** The role change of a service that has lost all decode runners; it needs no measurement, as nothing is served before. Null for any other service. */
export function restoringRoleChange (runners: BackendServer[], load: (backend: BackendServer) => number): RoleChange | null {
  if (runners.length < 2 || runners.some(({ stage }) => stage !== RunnerRole.Prefill)) return null
  const backend = runners.toSorted((a, b) => load(a) - load(b))[0]
  return backend === undefined ? null : { backend, role: RunnerRole.Decode }
}

/** The split of the runners with the highest capacity, the present one if no other is better. */
function bestSplit (prefillCount: number, decodeCount: number, mix: RequestMix): { prefillCount: number, capacity: number } {
  const total = prefillCount + decodeCount
  const best = { prefillCount, capacity: poolCapacity(prefillCount, decodeCount, mix) }
  // Splits with an empty pool are not considered: decode runners that process prompts pause their streams.
  for (let count = 1; count < total; count += 1) {
    const capacity = poolCapacity(count, total - count, mix)
    if (capacity > best.capacity) Object.assign(best, { prefillCount: count, capacity })
  }
  return best
}

function isWorthwhile (capacity: { before: number, during: number, after: number, isSpare: boolean }, demand: Demand | null, changeMs: number, minGain: number): boolean {
  if (demand === null) return capacity.after > capacity.before * Math.max(MIN_CAPACITY_GAIN, minGain)
  // A change of a runner that is clearly not needed costs callers nothing, and the next burst needs its capacity.
  if (demand.peakPerS < capacity.before * (capacity.isSpare ? MIN_SPARE_USED_SHARE : MIN_USED_SHARE)) return false
  const lostPerS = Math.max(0, Math.min(demand.currentPerS, capacity.before) - capacity.during)
  const usualGain = lostPerS === 0 ? MIN_FREE_CAPACITY_GAIN : MIN_CAPACITY_GAIN
  if (capacity.after <= capacity.before * Math.max(usualGain, minGain)) return false
  const gainedPerS = Math.min(demand.peakPerS, capacity.after) - Math.min(demand.peakPerS, capacity.before)
  return lostPerS === 0 || gainedPerS * PAYBACK_MS > lostPerS * changeMs
}
