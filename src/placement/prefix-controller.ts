import { type BackendServer, RunnerRole, ServerKind } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import type { Action } from '../core/action.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { RequestEventKind } from '../requests/request-event.js'
import { poolOf } from './runner-pools.js'
import { ServerActionKind } from './server-action.js'
import { type CacheReported, ServerEventKind } from './server-event.js'

/**
 * Number of runners whose cache is read on one tick. Reading all runners of a large fleet on each tick would exceed the
 * bandwidth allowed for control traffic. This instance's own prefills are indexed at once, so that a longer cycle over
 * all runners only delays the entries for prefills that other instances started.
 */
const READS_PER_TICK = 8

/** Updates the prefix index from the engines' cache events and from this instance's own prefills. */
export const prefixController: Controller = {
  name: 'prefixes',
  handlers: {
    [ServerEventKind.ServerTick]: (board, _event, { nowMs }) => nextCacheReads(board, nowMs),
    [ServerEventKind.CacheReported]: (board, event) => {
      const server = prefillRunner(board, event.server)
      if (server === undefined || board.prefixes.stale.has(event.server)) return []
      const previousSequence = board.prefixes.sequences.get(event.server) ?? 0
      if (hasGap(event, previousSequence)) {
        board.prefixes.stale.add(event.server)
        return [
          { kind: CoreActionKind.Log, name: 'cache_events_gap', fields: { server: event.server, known: previousSequence, first: event.firstSequence, last: event.lastSequence } },
          { kind: ServerActionKind.ReadCache, server: event.server }
        ]
      }
      // A later report was processed first: this one is outdated and may contradict it.
      if (event.lastSequence <= previousSequence) return []
      board.prefixes.sequences.set(event.server, event.lastSequence)
      for (const piece of event.removed) board.prefixes.index.remove(server.model, piece, event.server)
      for (const piece of event.added) board.prefixes.index.add(server.model, piece, event.server)
      return []
    },
    [ServerEventKind.CacheReset]: (board, { server, sequence, pieces }) => {
      const runner = prefillRunner(board, server)
      if (runner === undefined) return []
      board.prefixes.index.removeServer(server)
      for (const piece of pieces) board.prefixes.index.add(runner.model, piece, server)
      board.prefixes.sequences.set(server, sequence)
      board.prefixes.stale.delete(server)
      return []
    },
    [RequestEventKind.PrefillFinished]: (board, { request, attempt }) => {
      const found = board.requests.get(request)
      if (found === undefined || found.attempt !== attempt || found.prefillServer === null) return []
      for (const piece of found.pieces) board.prefixes.index.add(found.model, piece, found.prefillServer)
      return []
    },
    [ServerEventKind.InstanceListRead]: (board, { servers }) => {
      if (servers.length > 0) removeUnlistedServers(board)
      return []
    }
  }
}

/** Whether changes before the report are missing, or the engine restarted its numbering. */
function hasGap ({ firstSequence, lastSequence }: CacheReported, previousSequence: number): boolean {
  return firstSequence > previousSequence + 1 || lastSequence < firstSequence - 1
}

function prefillRunner (board: Board, id: string): BackendServer | undefined {
  const server = board.servers.get(id)
  return server?.kind === ServerKind.Model && server.role === RunnerRole.Prefill ? server : undefined
}

function nextCacheReads (board: Board, nowMs: number): Action[] {
  const { prefixes } = board
  const runners = [...board.bundle?.index.models.keys() ?? []].flatMap((model) => poolOf(board, model, RunnerRole.Prefill, nowMs))
  const count = Math.min(READS_PER_TICK, runners.length)
  const reads = Array.from({ length: count }, (_, offset): Action => {
    const server = runners[(prefixes.readTurn + offset) % runners.length] as string
    if (prefixes.stale.has(server)) return { kind: ServerActionKind.ReadCache, server }
    return { kind: ServerActionKind.ReadCacheEvents, server, after: prefixes.sequences.get(server) ?? 0 }
  })
  prefixes.readTurn += count
  return reads
}

function removeUnlistedServers ({ prefixes, servers }: Board): void {
  for (const server of prefixes.sequences.keys()) {
    if (servers.has(server)) continue
    prefixes.index.removeServer(server)
    prefixes.sequences.delete(server)
    prefixes.stale.delete(server)
  }
}
