import { type BackendServer, RunnerRole, ServerState } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import type { ModelRequest } from '../board/model-request.js'
import type { Model } from '../bundles/bundle.js'
import type { Context } from '../core/context.js'
import { correctedFreePieces, queuedTokens, recordAssignment } from './load-corrections.js'
import { allowsRequest } from './breaker.js'
import type { RunnerPair } from './runner-pair.js'
import { poolOf } from './runner-pools.js'

/** Number of random candidates of one decision; in a pool of at most this size every runner is a candidate. */
const SAMPLE_SIZE = 6

/** Cost of a runner in another failure domain, in ms: a transfer or stream across domains adds latency and loads shared links. */
const OTHER_DOMAIN_COST_MS = 2

/** Cost of a runner in a failure domain in which a server already failed the request, in ms: the whole domain may be impaired. */
const FAILED_DOMAIN_COST_MS = 200

/**
 * Cost of a decode runner without enough free pieces, in ms. It exceeds the wait in the queue of any runner in use, so
 * that a runner with enough free pieces is always preferred.
 */
const FULL_COST_MS = 10000

/**
 * Cost of a decode runner whose pieces are all in use, in ms; a runner whose pieces are partly in use has that share of
 * it. It spreads work as long as the links and batches of the runners are equally loaded.
 */
const FILL_COST_MS = 100

/** Cost of each stream in a decode runner's batch, in ms: the time by which it delays a short answer. */
const STREAM_COST_MS = 1

interface Candidate {
  server: BackendServer
  costMs: number
}

/**
 * Chooses the decode runner with the lowest estimated cost, then the prefill runner with the lowest cost for it. The
 * candidates are a few sampled runners, the runner chosen last and, for the prefill, some that hold the prompt's prefix.
 * Returns null if a role has no usable runner or the active bundle lacks the model.
 */
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

/** Number of pieces that a request occupies on its decode runner. */
export function piecesOf ({ promptTokens, maxTokens }: ModelRequest, { pieceTokens }: Model): number {
  return Math.ceil((promptTokens + maxTokens) / pieceTokens)
}

function choosePrefill (board: Board, request: ModelRequest, model: Model, decode: BackendServer, context: Context): { server: BackendServer, tokens: number } | null {
  const prefixLengths = new Map(board.prefixes.index.holders(request.model, request.pieces).map((holder) => [holder.server, holder.prefixLength]))
  const uncachedTokens = ({ id }: BackendServer): number => Math.max(0, request.promptTokens - (prefixLengths.get(id) ?? 0) * model.pieceTokens)
  const costMs = (server: BackendServer): number =>
    (queuedTokens(board, server) + uncachedTokens(server)) / model.prefillTokensPerSecond * 1000 + domainCostMs(board, request, server, decode.failureDomain)
  const best = chooseRunner(board, request, RunnerRole.Prefill, [...prefixLengths.keys()], costMs, context)
  return best === null ? null : { server: best, tokens: uncachedTokens(best) }
}

function chooseDecode (board: Board, request: ModelRequest, model: Model, context: Context): BackendServer | null {
  const pieces = piecesOf(request, model)
  const costMs = (server: BackendServer): number => {
    const freePieces = correctedFreePieces(board, server)
    const missingPieces = Math.max(0, pieces - freePieces)
    const usedShare = 1 - freePieces / Math.max(1, server.load?.totalPieces ?? freePieces)
    const loadMs = (server.load?.linkBusyMs ?? 0) + (server.load?.batch ?? 0) * STREAM_COST_MS
    return (missingPieces > 0 ? FULL_COST_MS + missingPieces : 0) + usedShare * FILL_COST_MS + loadMs + domainCostMs(board, request, server, board.self.failureDomain)
  }
  return chooseRunner(board, request, RunnerRole.Decode, [], costMs, context)
}

function domainCostMs (board: Board, request: ModelRequest, server: BackendServer, preferredDomain: string): number {
  const domainFailed = request.excluded.some((id) => board.servers.get(id)?.failureDomain === server.failureDomain)
  return (server.failureDomain === preferredDomain ? 0 : OTHER_DOMAIN_COST_MS) + (domainFailed ? FAILED_DOMAIN_COST_MS : 0)
}

function chooseRunner (board: Board, request: ModelRequest, role: RunnerRole, extraCandidates: string[], cost: (server: BackendServer) => number, context: Context): BackendServer | null {
  const pool = poolOf(board, request.model, role, context.nowMs)
  const previousBest = board.bestRunners.get(`${role}\n${request.model}`)
  const ids = new Set([...extraCandidates, ...previousBest === undefined ? [] : [previousBest], ...sample(pool, context.random)])
  // If no candidate is usable, other runners of the pool may be; this is rare enough to search the whole pool.
  const best = cheapestUsable(board, request, role, ids, cost, context) ?? cheapestUsable(board, request, role, pool, cost, context)
  if (best !== null) board.bestRunners.set(`${role}\n${request.model}`, best.server.id)
  return best?.server ?? null
}

function sample (pool: string[], random: () => number): string[] {
  if (pool.length <= SAMPLE_SIZE) return pool
  return Array.from({ length: SAMPLE_SIZE }, () => pool[Math.floor(random() * pool.length)] as string)
}

function cheapestUsable (board: Board, request: ModelRequest, role: RunnerRole, ids: Iterable<string>, cost: (server: BackendServer) => number, { nowMs, random }: Context): Candidate | null {
  let best: Candidate | null = null
  for (const id of ids) {
    const server = board.servers.get(id)
    if (server === undefined || !isUsable(server, request, role, nowMs)) continue
    // Equal costs are common in an idle fleet; the random part makes the instances choose different runners among equals.
    const costMs = cost(server) + random()
    if (best === null || costMs < best.costMs) best = { server, costMs }
  }
  return best
}

function isUsable (server: BackendServer, request: ModelRequest, role: RunnerRole, nowMs: number): boolean {
  return server.role === role && server.model === request.model && server.state === ServerState.Live && allowsRequest(server, nowMs) && !request.excluded.includes(server.id)
}
