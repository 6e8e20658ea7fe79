import { type BackendServer, RunnerRole, ServerKind, ServerState } from '../board/backend-server.js'
import { type Board, PlacementPolicy } from '../board/board.js'
import type { ModelRequest } from '../board/model-request.js'
import type { Context } from '../core/context.js'
import type { RunnerPair } from './runner-pair.js'
import { sampledPair } from './sampled-pair.js'

type ChoosePair = (board: Board, request: ModelRequest, context: Context) => RunnerPair | null

/** How a placement policy works. */
export interface Policy {
  choose: ChoosePair
  /** Whether a place on the decode runner is reserved before the prefill starts. */
  reserves: boolean
}

/** Placement policies by name: the product's and the baselines it is measured against. */
export const placementPolicies: Record<PlacementPolicy, Policy> = {
  [PlacementPolicy.Reserved]: { choose: sampledPair, reserves: true },
  [PlacementPolicy.LeastLoad]: { choose: leastLoadedPair, reserves: false },
  [PlacementPolicy.RoundRobin]: { choose: nextPair, reserves: false }
}

/** Chooses runners for the request, or null if none can take it now. */
export function choosePair (board: Board, request: ModelRequest, context: Context): RunnerPair | null {
  return placementPolicies[board.tuning.placement].choose(board, request, context)
}

/** Whether the policy in force reserves a place before the prefill. */
export function reservesCapacity (board: Board): boolean {
  return placementPolicies[board.tuning.placement].reserves
}

/** Runners of a role that may get new work of the request's model. */
export function runnersFor (board: Board, request: ModelRequest, role: RunnerRole, nowMs: number): BackendServer[] {
  return [...board.servers.values()].filter((server) =>
    server.kind === ServerKind.Model &&
    server.model === request.model &&
    server.role === role &&
    server.state === ServerState.Live &&
    server.breaker.openUntilMs <= nowMs &&
    !request.excluded.includes(server.id)
  )
}

function leastLoadedPair (board: Board, request: ModelRequest, { nowMs, random }: Context): RunnerPair | null {
  const prefill = lowest(runnersFor(board, request, RunnerRole.Prefill, nowMs), (server) =>
    server.assignedTokens + (server.load?.queuedTokens ?? 0) + random())
  const decode = lowest(runnersFor(board, request, RunnerRole.Decode, nowMs), (server) =>
    server.inFlight - (server.load?.freePieces ?? 0) + random())
  return prefill === null || decode === null ? null : { prefill, decode, prefillMs: 0 }
}

function nextPair (board: Board, request: ModelRequest, { nowMs }: Context): RunnerPair | null {
  const prefill = runnersFor(board, request, RunnerRole.Prefill, nowMs)
  const decode = runnersFor(board, request, RunnerRole.Decode, nowMs)
  const first = prefill[board.placementTurns % prefill.length]
  const second = decode[board.placementTurns % decode.length]
  board.placementTurns += 1
  return first === undefined || second === undefined ? null : { prefill: first, decode: second, prefillMs: 0 }
}

function lowest (servers: BackendServer[], cost: (server: BackendServer) => number): BackendServer | null {
  let best: BackendServer | null = null
  let bestCost = Infinity
  for (const server of servers) {
    const serverCost = cost(server)
    if (serverCost < bestCost) {
      best = server
      bestCost = serverCost
    }
  }
  return best
}
