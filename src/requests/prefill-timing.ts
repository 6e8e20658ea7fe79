import type { Board } from '../board/board.js'
import type { ModelRequest } from '../board/model-request.js'
import type { Model } from '../bundles/bundle.js'

/** Prefill rate of a model that the active bundle does not list, in tokens per second. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 20000

/** KV cache size of a model that the active bundle does not list, in bytes per token. */
const DEFAULT_KV_BYTES_PER_TOKEN = 131072

/** Bandwidth of the link into a decode runner of a model that the active bundle does not list, in bytes per second. */
const DEFAULT_LINK_BYTES_PER_SECOND = 12.5e9

/** Time after which a prefill result of a model that the active bundle does not list is evicted, in milliseconds. */
const DEFAULT_EVICTION_MS = 800

/** Largest share of its eviction time for which a prefill result may wait for the link if the prefill runner's queue turns out to be empty. */
const MAX_LINK_WAIT_SHARE = 0.5

/** A prefill that is due within this time is sent at once, in milliseconds: network and timers are no more precise. */
const DELAY_PRECISION_MS = 5

/** Estimates the point in time, in milliseconds, at which the result of a prefill that is sent now is ready at the earliest. */
export function estimateReadyAtMs (board: Board, request: ModelRequest, nowMs: number): number {
  return nowMs + estimateQueueMs(board, request, nowMs) + estimateComputeMs(board, request)
}

/**
 * Delay in milliseconds before the prefill is sent, so that its result is ready when the link into the decode runner is
 * free; 0 to send it now. The queue time is an estimate: even if the queue is empty, the result does not wait for the
 * link so long that it is evicted.
 */
export function prefillDelayMs (board: Board, request: ModelRequest, nowMs: number): number {
  const slackMs = request.transferMs - estimateReadyAtMs(board, request, nowMs)
  const evictionMs = modelOf(board, request)?.evictionMs ?? DEFAULT_EVICTION_MS
  const minSafeDelayMs = request.transferMs - evictionMs * MAX_LINK_WAIT_SHARE - estimateComputeMs(board, request) - nowMs
  const delayMs = Math.max(slackMs, minSafeDelayMs)
  return delayMs < DELAY_PRECISION_MS ? 0 : delayMs
}

/** Estimates the time in milliseconds to compute the prompt on the idle prefill runner, without the prefix that its cache holds. */
export function estimateComputeMs (board: Board, request: ModelRequest): number {
  const { model, pieces, prefillServer, promptTokens } = request
  const cachedPieces = prefillServer === null ? 0 : board.prefixes.index.prefixLength(model, pieces, prefillServer)
  const cachedTokens = cachedPieces * (modelOf(board, request)?.pieceTokens ?? 0)
  return Math.max(0, promptTokens - cachedTokens) / prefillRate(board, request) * 1000
}

/** Estimates the time in milliseconds until the prefill runner starts a prompt that is sent now; 0 if the runner is not in the server table. */
export function estimateQueueMs (board: Board, request: ModelRequest, nowMs: number): number {
  const server = board.servers.get(request.prefillServer ?? '')
  if (server === undefined) return 0
  const assignedTokens = server.assignedTokens - (request.assigned ? request.promptTokens : 0)
  const tokensPerMs = prefillRate(board, request) / 1000
  const reportedTokens = server.load === null ? 0 : server.load.queuedTokens - (nowMs - server.load.reportedMs) * tokensPerMs
  // The load report includes the tokens that this instance sent before it: a sum would count them twice.
  return Math.max(0, assignedTokens, reportedTokens) / tokensPerMs
}

/** Estimates the time in milliseconds to transfer the prompt's KV cache over an idle link. */
export function estimateTransferMs (board: Board, request: ModelRequest): number {
  const model = modelOf(board, request)
  const bytes = request.promptTokens * (model?.kvBytesPerToken ?? DEFAULT_KV_BYTES_PER_TOKEN)
  return bytes / (model?.linkBytesPerSecond ?? DEFAULT_LINK_BYTES_PER_SECOND) * 1000
}

/** The entry of the request's model in the active bundle, or undefined if there is none. */
export function modelOf (board: Board, request: ModelRequest): Model | undefined {
  return board.bundle?.index.models.get(request.model)
}

/** Prefill rate of the request's model, in tokens per second. */
export function prefillRate (board: Board, request: ModelRequest): number {
  return modelOf(board, request)?.prefillTokensPerSecond ?? DEFAULT_PREFILL_TOKENS_PER_SECOND
}
