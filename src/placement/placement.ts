import { type BackendServer, RunnerRole, ServerKind, ServerState } from '../board/backend-server.js'
import { type Board, PlacementPolicy } from '../board/board.js'
import type { ModelRequest } from '../board/model-request.js'
import type { Context } from '../core/context.js'
import type { RunnerPair } from './runner-pair.js'
import { sampledPair } from './sampled-pair.js'

type ChoosePair = (board: Board, request: ModelRequest, context: Context) => RunnerPair | null

/** Behaviour of a placement policy. */
export interface Policy {
  choosePair: ChoosePair
  /** Whether capacity on the decode runner is reserved before the prefill starts. */
  reservesCapacity: boolean
}

/** Placement policies by name: `Reserved` is for production, the others are baselines for measurements. */
export const placementPolicies: Record<PlacementPolicy, Policy> = {
  [PlacementPolicy.Reserved]: { choosePair: sampledPair, reservesCapacity: true },
  [PlacementPolicy.LeastLoad]: { choosePair: leastLoadedPair, reservesCapacity: false },
  [PlacementPolicy.RoundRobin]: { choosePair: roundRobinPair, reservesCapacity: false }
}

/** Chooses runners for the request by the configured policy; null if no pair of runners can take it now. */
export function choosePair (board: Board, request: ModelRequest, context: Context): RunnerPair | null {
  return placementPolicies[board.tuning.placement].choosePair(board, request, context)
}

/** Whether the configured policy reserves decode capacity before the prefill. */
export function reservesCapacity (board: Board): boolean {
  return placementPolicies[board.tuning.placement].reservesCapacity
}

/** Live runners with the role and the request's model, without an open breaker and not excluded by the request. */
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
  const prefill = lowestCost(runnersFor(board, request, RunnerRole.Prefill, nowMs), (server) =>
    server.assignedTokens + (server.load?.queuedTokens ?? 0) + random())
  const decode = lowestCost(runnersFor(board, request, RunnerRole.Decode, nowMs), (server) =>
    server.inFlight - (server.load?.freePieces ?? 0) + random())
  return prefill === null || decode === null ? null : { prefill, decode, prefillMs: 0 }
}

function roundRobinPair (board: Board, request: ModelRequest, { nowMs }: Context): RunnerPair | null {
  const prefillRunners = runnersFor(board, request, RunnerRole.Prefill, nowMs)
  const decodeRunners = runnersFor(board, request, RunnerRole.Decode, nowMs)
  const prefillRunner = prefillRunners[board.placementTurns % prefillRunners.length]
  const decodeRunner = decodeRunners[board.placementTurns % decodeRunners.length]
  board.placementTurns += 1
  return prefillRunner === undefined || decodeRunner === undefined ? null : { prefill: prefillRunner, decode: decodeRunner, prefillMs: 0 }
}

function lowestCost (servers: BackendServer[], cost: (server: BackendServer) => number): BackendServer | null {
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
