import { type BackendServer, RunnerRole } from './backend.js'

/** Minimum factor by which a role change must raise the request rate that the runner pools can serve; a change costs some seconds of one runner. */
const WORTHWHILE_GAIN = 1.15

/** Speed at which a decode runner reads prompts, as a share of a prefill runner's speed; its streams pause meanwhile. */
const DECODE_PREFILL_SPEED = 0.5

/** Average request of a service and the speed and memory of its runners. */
export interface RequestMix {
  promptTokens: number
  outputTokens: number
  /** Prompt tokens that a prefill runner reads per millisecond. */
  prefillTokensPerMs: number
  /** Time that a decode runner takes per token of a run, in milliseconds. */
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
export function poolCapacity (prefill: number, decode: number, mix: RequestMix): number {
  if (decode === 0) return 0
  const promptMs = Math.max(1, mix.promptTokens) / mix.prefillTokensPerMs
  const heldTokens = mix.promptTokens + mix.outputTokens / 2
  const runMs = Math.max(1, mix.outputTokens * mix.msPerToken)
  const decodePerMs = decode * mix.memoryTokens / (heldTokens * runMs)
  if (prefill > 0) return Math.min(decodePerMs, prefill / promptMs) * MS_PER_SECOND
  // Without prefill runners, each prompt that a decode runner reads pauses its runs, so they hold memory longer.
  const stallMs = promptMs / DECODE_PREFILL_SPEED / decode
  return decodePerMs / (1 + decodePerMs * stallMs) * MS_PER_SECOND
}

const MS_PER_SECOND = 1000

/** The next role change towards the split of runners that serves the mix best, for the least loaded runner of the pool that shrinks; null if no split gains enough. */
export function bestRoleChange (runners: BackendServer[], mix: RequestMix, load: (backend: BackendServer) => number): RoleChange | null {
  const prefill = runners.filter(({ stage }) => stage === RunnerRole.Prefill)
  const decode = runners.filter(({ stage }) => stage === RunnerRole.Decode)
  const total = prefill.length + decode.length
  let best = prefill.length
  let bestCapacity = poolCapacity(prefill.length, decode.length, mix) * WORTHWHILE_GAIN
  // No split leaves a pool empty: decode runners that read prompts pause their streams.
  for (let count = 1; count < total; count += 1) {
    const capacity = poolCapacity(count, total - count, mix)
    if (capacity <= bestCapacity) continue
    best = count
    bestCapacity = capacity
  }
  if (best === prefill.length) return null
  const role = best < prefill.length ? RunnerRole.Decode : RunnerRole.Prefill
  const donors = role === RunnerRole.Decode ? prefill : decode
  const backend = donors.toSorted((a, b) => load(a) - load(b))[0]
  return backend === undefined ? null : { backend, role }
}
