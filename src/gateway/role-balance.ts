import { type BackendServer, RunnerRole } from './backend.js'

/** Minimum factor by which a role change must raise the request rate that the runner pools can serve; during the change, one runner serves nothing for some seconds. */
const MIN_CAPACITY_GAIN = 1.15

/** Speed at which a decode runner processes prompts, as a share of a prefill runner's speed; its streams pause meanwhile. */
const DECODE_PREFILL_SPEED_SHARE = 0.5

/** Average request of a service and the speed and memory of its runners. */
export interface RequestMix {
  promptTokens: number
  outputTokens: number
  /** Prompt tokens that a prefill runner processes per millisecond. */
  prefillTokensPerMs: number
  /** Time that a decode runner needs for each output token of a run, in milliseconds. */
  msPerToken: number
  /** Memory that runs may fill on a decode runner, in tokens. */
  memoryTokens: number
}

export interface RoleChange {
  backend: BackendServer
  /** The runner's new role. */
  role: RunnerRole.Prefill | RunnerRole.Decode
}

/** Requests per second that pools with these numbers of runners can serve; 0 without decode runners. */
export function poolCapacity (prefillCount: number, decodeCount: number, mix: RequestMix): number {
  if (decodeCount === 0) return 0
  const promptMs = Math.max(1, mix.promptTokens) / mix.prefillTokensPerMs
  const heldTokens = mix.promptTokens + mix.outputTokens / 2
  const runMs = Math.max(1, mix.outputTokens * mix.msPerToken)
  const decodePerMs = decodeCount * mix.memoryTokens / (heldTokens * runMs)
  if (prefillCount > 0) return Math.min(decodePerMs, prefillCount / promptMs) * MS_PER_SECOND
  // Without prefill runners, decode runners pause their runs while they process prompts, so the runs hold memory longer.
  const stallMs = promptMs / DECODE_PREFILL_SPEED_SHARE / decodeCount
  return decodePerMs / (1 + decodePerMs * stallMs) * MS_PER_SECOND
}

const MS_PER_SECOND = 1000

/** The next role change towards the split of runners with the highest capacity for the mix. It changes the least loaded runner of the pool that shrinks; null if no split gains enough. */
export function bestRoleChange (runners: BackendServer[], mix: RequestMix, load: (backend: BackendServer) => number): RoleChange | null {
  const prefill = runners.filter(({ stage }) => stage === RunnerRole.Prefill)
  const decode = runners.filter(({ stage }) => stage === RunnerRole.Decode)
  const total = prefill.length + decode.length
  let bestPrefillCount = prefill.length
  let bestCapacity = poolCapacity(prefill.length, decode.length, mix) * MIN_CAPACITY_GAIN
  // Splits with an empty pool are not considered: decode runners that process prompts pause their streams.
  for (let prefillCount = 1; prefillCount < total; prefillCount += 1) {
    const capacity = poolCapacity(prefillCount, total - prefillCount, mix)
    if (capacity <= bestCapacity) continue
    bestPrefillCount = prefillCount
    bestCapacity = capacity
  }
  if (bestPrefillCount === prefill.length) return null
  const role = bestPrefillCount < prefill.length ? RunnerRole.Decode : RunnerRole.Prefill
  const shrinkingPool = role === RunnerRole.Decode ? prefill : decode
  const backend = shrinkingPool.toSorted((a, b) => load(a) - load(b))[0]
  return backend === undefined ? null : { backend, role }
}
