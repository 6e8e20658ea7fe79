import { enginePriority } from '../admission/priority.js'
import type { Board } from '../board/board.js'
import { type ModelRequest, RequestStage } from '../board/model-request.js'
import type { Action } from '../core/action.js'
import { recordStart } from '../placement/breaker.js'
import { estimateComputeMs, estimateQueueMs, estimateTransferMs } from './prefill-timing.js'
import { RequestActionKind } from './request-action.js'

/** Time limit of a stage as a multiple of its estimated time. */
const STAGE_TIMEOUT_FACTOR = 4

/** Added to the time limit of each stage, in milliseconds, so that short stages do not time out on a busy machine. */
const STAGE_TIMEOUT_SLACK_MS = 2000

export function startPrefill (board: Board, request: ModelRequest, nowMs: number): Action[] {
  request.stage = RequestStage.Prefilling
  const server = board.servers.get(request.prefillServer ?? '')
  if (server !== undefined) recordStart(server)
  return [{
    kind: RequestActionKind.StartPrefill,
    request: request.id,
    attempt: request.attempt,
    server: request.prefillServer ?? '',
    priority: enginePriority(board, request),
    timeoutMs: STAGE_TIMEOUT_SLACK_MS + STAGE_TIMEOUT_FACTOR * (estimateQueueMs(board, request, nowMs) + estimateComputeMs(board, request))
  }]
}

export function startTransfer (board: Board, request: ModelRequest, nowMs: number): Action[] {
  request.stage = RequestStage.Transferring
  const server = board.servers.get(request.decodeServer ?? '')
  if (server !== undefined) recordStart(server)
  const linkWaitMs = Math.max(0, request.transferMs - nowMs)
  return [{
    kind: RequestActionKind.StartTransfer,
    request: request.id,
    attempt: request.attempt,
    server: request.decodeServer ?? '',
    source: request.prefillAddress,
    handle: request.handle ?? '',
    promptTokens: request.promptTokens,
    maxTokens: request.maxTokens,
    timeoutMs: STAGE_TIMEOUT_SLACK_MS + STAGE_TIMEOUT_FACTOR * (linkWaitMs + estimateTransferMs(board, request))
  }]
}

/** Opens the token stream, or reopens it after the last token received. */
export function startDecode (board: Board, request: ModelRequest): Action[] {
  request.stage = RequestStage.Decoding
  return [{
    kind: RequestActionKind.StartDecode,
    request: request.id,
    attempt: request.attempt,
    server: request.decodeServer ?? '',
    fromToken: request.tokens,
    maxTokens: request.maxTokens,
    priority: enginePriority(board, request)
  }]
}
