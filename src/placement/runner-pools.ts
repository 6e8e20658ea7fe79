import { type RunnerRole, ServerKind } from '../board/backend-server.js'
import type { Board } from '../board/board.js'

/**
 * Period at which the runner pools are rebuilt from the server table, in ms. A pool may be outdated in between, so the
 * state of a runner is checked when it is chosen.
 */
const REBUILD_PERIOD_MS = 1000

/** Ids of the model runners by model and role, so that a placement decision does not scan the server table. */
export interface RunnerPools {
  builtMs: number
  /** Number of servers in the server table at the last rebuild. */
  servers: number
  /** Runner ids by model and role, see `keyOf`. */
  byKey: Map<string, string[]>
}

export function createRunnerPools (): RunnerPools {
  return { builtMs: -Infinity, servers: 0, byKey: new Map() }
}

/** Ids of the runners of a model with the given role. Rebuilds the pools if they are due or the number of servers changed. */
export function poolOf (board: Board, model: string, role: RunnerRole, nowMs: number): string[] {
  const { pools, servers } = board
  if (pools.servers !== servers.size || nowMs - pools.builtMs >= REBUILD_PERIOD_MS) rebuild(board, nowMs)
  return pools.byKey.get(keyOf(model, role)) ?? []
}

function rebuild ({ pools, servers }: Board, nowMs: number): void {
  pools.builtMs = nowMs
  pools.servers = servers.size
  pools.byKey.clear()
  for (const { id, kind, model, role } of servers.values()) {
    if (kind !== ServerKind.Model) continue
    const key = keyOf(model, role)
    const pool = pools.byKey.get(key)
    if (pool === undefined) pools.byKey.set(key, [id])
    else pool.push(id)
  }
}

function keyOf (model: string, role: RunnerRole): string {
  return `${role}\n${model}`
}
