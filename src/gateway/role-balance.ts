import { type BackendServer, RunnerRole } from './backend.js'

/** A change of roles must raise the requests a second that the pools can serve together by this factor; it costs seconds of one runner. */
const WORTHWHILE_GAIN = 1.15

/** Share of a prefill runner's speed at which decode runners read prompts; their streams stand still meanwhile. */
const DECODE_PREFILL_SPEED = 0.5

/** What the requests of a service ask of its runners, on average. */
export interface RequestMix {
  promptTokens: number
  outputTokens: number
  /** Prompt tokens that a prefill runner reads in a millisecond. */
  prefillTokensPerMs: number
  /** Time that a decode runner takes for each token of a run, in milliseconds. */
  msPerToken: number
  /** Memory that runs may fill on a decode runner, in tokens. */
  memoryTokens: number
}

export interface RoleChange {
  backend: BackendServer
  role: RunnerRole.Prefill | RunnerRole.Decode
}

/** Requests a second that pools of these sizes can serve. */
export function poolCapacity (prefill: number, decode: number, mix: RequestMix): number {
  if (decode === 0) return 0
  const promptMs = Math.max(1, mix.promptTokens) / mix.prefillTokensPerMs
  const held = mix.promptTokens + mix.outputTokens / 2
  const runMs = Math.max(1, mix.outputTokens * mix.msPerToken)
  const decodePerMs = decode * mix.memoryTokens / (held * runMs)
  if (prefill > 0) return Math.min(decodePerMs, prefill / promptMs) * MS_PER_SECOND
  // Each prompt that a decode runner reads makes its runs longer, so they hold memory longer.
  const stallMs = promptMs / DECODE_PREFILL_SPEED / decode
  return decodePerMs / (1 + decodePerMs * stallMs) * MS_PER_SECOND
}

const MS_PER_SECOND = 1000

/** The next change of a runner's role towards the split that serves the mix best; null if the present one is good enough. */
export function bestRoleChange (runners: BackendServer[], mix: RequestMix, load: (backend: BackendServer) => number): RoleChange | null {
  const prefill = runners.filter(({ stage }) => stage === RunnerRole.Prefill)
  const decode = runners.filter(({ stage }) => stage === RunnerRole.Decode)
  const total = prefill.length + decode.length
  let best = prefill.length
  let bestCapacity = poolCapacity(prefill.length, decode.length, mix) * WORTHWHILE_GAIN
  // A pool is never emptied on purpose: prompts read beside streams make them pause.
  for (let count = 1; count < total; count += 1) {
    const capacity = poolCapacity(count, total - count, mix)
    if (capacity <= bestCapacity) continue
    best = count
    bestCapacity = capacity
  }
  if (best === prefill.length) return null
  const stage = best < prefill.length ? RunnerRole.Decode : RunnerRole.Prefill
  const from = stage === RunnerRole.Decode ? prefill : decode
  const backend = from.toSorted((a, b) => load(a) - load(b))[0]
  return backend === undefined ? null : { backend, role: stage }
}
