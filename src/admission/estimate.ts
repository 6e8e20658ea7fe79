import { RunnerRole } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import type { ModelRequest } from '../board/model-request.js'
import type { Model } from '../bundles/bundle.js'
import { poolOf } from '../placement/pools.js'
import { wastedPrefillTolerance } from '../placement/wasted-prefill-tolerance.js'

/** Runners whose reports stand for a whole pool. */
const SAMPLES = 8

/** Until a grant has been seen, a waiting request is taken to need this long for its place. */
const FIRST_GRANT_PERIOD_MS = 100

/** Time between tokens until a stream has been seen; short, so that nothing is refused on a guess. */
const FIRST_TOKEN_PERIOD_MS = 20

/** Weight of a newly seen time between tokens. */
const TOKEN_PERIOD_WEIGHT = 0.1

/** Hop to the keeper and back, and the calls to the engines. */
const HOPS_MS = 10

/** Longest addition to an expected stream, where wasted prefill weighs everything. */
const CAUTION_SHARE = 0.25

/** Expected wait in the queues of the model's prefill runners. */
export function prefillWait (board: Board, model: Model, nowMs: number): number {
  const pool = poolOf(board, model.name, RunnerRole.Prefill, nowMs)
  if (pool.length === 0) return Infinity
  const count = Math.min(SAMPLES, pool.length)
  const step = pool.length / count
  let reported = 0
  for (let index = 0; index < count; index += 1) {
    const server = board.servers.get(pool[Math.floor(index * step)] as string)
    reported += server?.load?.queuedTokens ?? 0
  }
  return reported / count / model.prefillTokensPerSecond * 1000
}

/** Prompt tokens that the best runner known has to compute. */
export function uncachedTokens (board: Board, request: ModelRequest, model: Model): number {
  const leading = board.prefixes.index.holders(model.name, request.pieces)[0]?.prefixLength ?? 0
  return Math.max(0, request.promptTokens - leading * model.pieceTokens)
}

/** Expected time from the grant of a place to the first token on idle runners. */
export function serviceTime (board: Board, request: ModelRequest, model: Model): number {
  const prefillMs = uncachedTokens(board, request, model) / model.prefillTokensPerSecond * 1000
  const transferMs = request.promptTokens * model.kvBytesPerToken / model.linkBytesPerSecond * 1000
  return prefillMs + transferMs + tokenPeriod(board, model.name) + HOPS_MS
}

/** Expected wait for a place behind the requests that wait on this instance. */
export function placeWait (board: Board, model: Model, ahead: number): number {
  if (ahead === 0) return 0
  return ahead * (board.admission.grantPeriodMs.get(model.name) ?? FIRST_GRANT_PERIOD_MS)
}

/** Learns the time between tokens, which engines do not publish, from the progress of a stream. */
export function learnTokenPeriod ({ admission }: Board, { model, firstTokenMs }: ModelRequest, tokens: number, nowMs: number): void {
  if (firstTokenMs === null || tokens < 2) return
  const seenMs = (nowMs - firstTokenMs) / (tokens - 1)
  const known = admission.tokenPeriodMs.get(model) ?? seenMs
  admission.tokenPeriodMs.set(model, known + (seenMs - known) * TOKEN_PERIOD_WEIGHT)
}

function tokenPeriod ({ admission }: Board, model: string): number {
  return admission.tokenPeriodMs.get(model) ?? FIRST_TOKEN_PERIOD_MS
}

/** Expected time from the first token to the last; longer the more wasted prefill weighs, since a late end wastes it. */
export function streamTime (board: Board, { maxTokens, model }: ModelRequest): number {
  return maxTokens * tokenPeriod(board, model) * (1 + CAUTION_SHARE * (1 - wastedPrefillTolerance(board)))
}
