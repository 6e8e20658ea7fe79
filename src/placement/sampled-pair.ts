import { type BackendServer, RunnerRole, ServerState } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import type { ModelRequest } from '../board/model-request.js'
import type { Model } from '../bundles/bundle.js'
import type { Context } from '../core/context.js'
import { correctedFreePieces, queuedTokens, recordAssignment } from './load-corrections.js'
import { allowsRequest } from './breaker.js'
import type { RunnerPair } from './runner-pair.js'
import { poolOf } from './pools.js'

/** Random candidates of one decision; a pool of at most this size is looked at whole. */
const SAMPLES = 6

/** A transfer or stream that leaves the failure domain costs latency and shared links. */
const OTHER_DOMAIN_MS = 2

/** A server of this failure domain failed the request before: the whole domain may be in trouble. */
const FAILED_DOMAIN_MS = 200

/** Longer waits than any queue of a runner in use, so that a runner with room always wins. */
const FULL_MS = 10000

/** Weight of a decode runner's fill, which spreads work before links or batches differ. */
const FILL_MS = 100

/** Added time between tokens for each stream of the batch, over a short answer. */
const STREAM_MS = 1

interface Candidate {
  server: BackendServer
  costMs: number
}

/** Chooses from a few sampled runners, those that hold the prompt's prefix, and the best one of the last decision. */
export function sampledPair (board: Board, request: ModelRequest, context: Context): RunnerPair | null {
  const model = board.bundle?.index.models.get(request.model)
  if (model === undefined) return null
  const decode = chooseDecode(board, request, model, context)
  if (decode === null) return null
  const prefill = choosePrefill(board, request, model, decode, context)
  if (prefill === null) return null
  const { server, tokens } = prefill
  const prefillMs = (queuedTokens(board, server) + tokens) / model.prefillTokensPerSecond * 1000
  recordAssignment(board, { request: request.id, prefill: server.id, decode: decode.id, tokens, pieces: piecesOf(request, model), nowMs: context.nowMs })
  return { prefill: server, decode, prefillMs }
}

/** Pieces that a request holds on its decode runner. */
export function piecesOf ({ promptTokens, maxTokens }: ModelRequest, { pieceTokens }: Model): number {
  return Math.ceil((promptTokens + maxTokens) / pieceTokens)
}

function choosePrefill (board: Board, request: ModelRequest, model: Model, decode: BackendServer, context: Context): { server: BackendServer, tokens: number } | null {
  const leading = new Map(board.prefixes.index.holders(request.model, request.pieces).map((holder) => [holder.server, holder.leading]))
  const uncached = ({ id }: BackendServer): number => Math.max(0, request.promptTokens - (leading.get(id) ?? 0) * model.pieceTokens)
  const costMs = (server: BackendServer): number =>
    (queuedTokens(board, server) + uncached(server)) / model.prefillTokensPerSecond * 1000 + domainCost(board, request, server, decode.failureDomain)
  const best = cheapest(board, request, RunnerRole.Prefill, [...leading.keys()], costMs, context)
  return best === null ? null : { server: best, tokens: uncached(best) }
}

function chooseDecode (board: Board, request: ModelRequest, model: Model, context: Context): BackendServer | null {
  const pieces = piecesOf(request, model)
  const costMs = (server: BackendServer): number => {
    const free = correctedFreePieces(board, server)
    const missing = Math.max(0, pieces - free)
    const fill = 1 - free / Math.max(1, server.load?.totalPieces ?? free)
    const load = (server.load?.linkBusyMs ?? 0) + (server.load?.batch ?? 0) * STREAM_MS
    return (missing > 0 ? FULL_MS + missing : 0) + fill * FILL_MS + load + domainCost(board, request, server, board.self.failureDomain)
  }
  return cheapest(board, request, RunnerRole.Decode, [], costMs, context)
}

function domainCost (board: Board, request: ModelRequest, server: BackendServer, nearDomain: string): number {
  const failed = request.excluded.some((id) => board.servers.get(id)?.failureDomain === server.failureDomain)
  return (server.failureDomain === nearDomain ? 0 : OTHER_DOMAIN_MS) + (failed ? FAILED_DOMAIN_MS : 0)
}

function cheapest (board: Board, request: ModelRequest, role: RunnerRole, preferred: string[], cost: (server: BackendServer) => number, context: Context): BackendServer | null {
  const pool = poolOf(board, request.model, role, context.nowMs)
  const remembered = board.bestRunners.get(`${role}\n${request.model}`)
  const ids = new Set([...preferred, ...remembered === undefined ? [] : [remembered], ...sample(pool, context.random)])
  // All sampled runners may be unusable while others are not; this is rare enough to look at the whole pool then.
  const best = lowest(board, request, role, ids, cost, context) ?? lowest(board, request, role, pool, cost, context)
  if (best !== null) board.bestRunners.set(`${role}\n${request.model}`, best.server.id)
  return best?.server ?? null
}

function sample (pool: string[], random: () => number): string[] {
  if (pool.length <= SAMPLES) return pool
  return Array.from({ length: SAMPLES }, () => pool[Math.floor(random() * pool.length)] as string)
}

function lowest (board: Board, request: ModelRequest, role: RunnerRole, ids: Iterable<string>, cost: (server: BackendServer) => number, { nowMs, random }: Context): Candidate | null {
  let best: Candidate | null = null
  for (const id of ids) {
    const server = board.servers.get(id)
    if (server === undefined || !isUsable(server, request, role, nowMs)) continue
    // Equal costs are common on an idle fleet; the random part spreads instances over equal runners.
    const costMs = cost(server) + random()
    if (best === null || costMs < best.costMs) best = { server, costMs }
  }
  return best
}

function isUsable (server: BackendServer, request: ModelRequest, role: RunnerRole, nowMs: number): boolean {
  return server.role === role && server.model === request.model && server.state === ServerState.Live && allowsRequest(server, nowMs) && !request.excluded.includes(server.id)
}
