import { RunnerRole } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import type { ModelRequest } from '../board/model-request.js'
import type { Model } from '../bundles/bundle.js'
import { poolOf } from '../placement/runner-pools.js'
import { wastedPrefillTolerance } from '../placement/wasted-prefill-tolerance.js'

/** Number of runners whose load reports stand for the whole pool. */
const SAMPLE_SIZE = 8

/** Assumed time between grants of reservations until one has been granted, in ms. */
const INITIAL_GRANT_PERIOD_MS = 100

/** Assumed time between tokens until a stream has been observed, in ms; short, so that no request is refused on a guess. */
const INITIAL_TOKEN_PERIOD_MS = 20

/** Weight of a newly observed time between tokens in the moving average, from 0 to 1. */
const TOKEN_PERIOD_WEIGHT = 0.1

/** Time for the round trip to the coordinator and for the calls to the engines, in ms. */
const CALL_OVERHEAD_MS = 10

/** Largest margin added to the expected time of a stream, as a share of that time; applies if only wasted prefill has a weight. */
const MAX_STREAM_MARGIN = 0.25

/** Expected wait in the queue of a prefill runner of the model, in ms; Infinity if the model has no prefill runner. */
export function prefillWaitMs (board: Board, model: Model, nowMs: number): number {
  const pool = poolOf(board, model.name, RunnerRole.Prefill, nowMs)
  if (pool.length === 0) return Infinity
  const count = Math.min(SAMPLE_SIZE, pool.length)
  const step = pool.length / count
  let queuedTokens = 0
  for (let index = 0; index < count; index += 1) {
    const server = board.servers.get(pool[Math.floor(index * step)] as string)
    queuedTokens += server?.load?.queuedTokens ?? 0
  }
  return queuedTokens / count / model.prefillTokensPerSecond * 1000
}

/** Prompt tokens left to compute on the first holder of the prompt's prefix in the index, which usually has the longest prefix. */
export function uncachedTokens (board: Board, request: ModelRequest, model: Model): number {
  const prefixLength = board.prefixes.index.holders(model.name, request.pieces)[0]?.prefixLength ?? 0
  return Math.max(0, request.promptTokens - prefixLength * model.pieceTokens)
}

/** Expected time from the grant of a reservation to the first token on idle runners, in ms. */
export function serviceTimeMs (board: Board, request: ModelRequest, model: Model): number {
  const prefillMs = uncachedTokens(board, request, model) / model.prefillTokensPerSecond * 1000
  const transferMs = request.promptTokens * model.kvBytesPerToken / model.linkBytesPerSecond * 1000
  return prefillMs + transferMs + tokenPeriodMs(board, model.name) + CALL_OVERHEAD_MS
}

/** Expected wait for a reservation behind the given number of requests of this instance, in ms. */
export function reservationWaitMs (board: Board, model: Model, ahead: number): number {
  if (ahead === 0) return 0
  return ahead * (board.admission.grantPeriodMs.get(model.name) ?? INITIAL_GRANT_PERIOD_MS)
}

/** Updates the model's average time between tokens from the progress of a stream; engines do not publish it. */
export function updateTokenPeriod ({ admission }: Board, { model, firstTokenMs }: ModelRequest, tokens: number, nowMs: number): void {
  if (firstTokenMs === null || tokens < 2) return
  const observedMs = (nowMs - firstTokenMs) / (tokens - 1)
  const estimateMs = admission.tokenPeriodMs.get(model) ?? observedMs
  admission.tokenPeriodMs.set(model, estimateMs + (observedMs - estimateMs) * TOKEN_PERIOD_WEIGHT)
}

function tokenPeriodMs ({ admission }: Board, model: string): number {
  return admission.tokenPeriodMs.get(model) ?? INITIAL_TOKEN_PERIOD_MS
}

/**
 * Expected time from the first token to the last, in ms, with a margin. The larger the weight of wasted prefill, the
 * larger the margin, since a stream that ends after the deadline wastes its prefill.
 */
export function streamTimeMs (board: Board, { maxTokens, model }: ModelRequest): number {
  return maxTokens * tokenPeriodMs(board, model) * (1 + MAX_STREAM_MARGIN * (1 - wastedPrefillTolerance(board)))
}
