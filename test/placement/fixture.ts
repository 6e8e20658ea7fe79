import { RunnerRole, ServerKind, ServerState } from '../../src/board/backend-server.js'
import { createBoard } from '../../src/board/board.js'
import type { Bundle } from '../../src/bundles/bundle.js'
import { BundleIndex } from '../../src/bundles/bundle-index.js'
import type { Context } from '../../src/core/context.js'
import { controllers } from '../../src/core/controllers.js'
import { Core } from '../../src/core/core.js'
import { deployments } from '../../src/demo/deployment.js'
import { type ListedInstance, type ListedServer, ServerEventKind } from '../../src/placement/server-event.js'
import { seededRandom } from '../../src/runtime/random.js'

export const MODEL = 'pattern-llm'

const random = seededRandom(1)

export function contextAt (nowMs: number): Context {
  return { nowMs, random, nextId: () => 'id' }
}

function listedRunner (id: string, role: RunnerRole, failureDomain: string): ListedServer {
  return { id, address: `${id}:80`, service: MODEL, kind: ServerKind.Model, role, model: MODEL, failureDomain, region: 'mu-north', state: ServerState.Live }
}

function listedInstance (id: string): ListedInstance {
  return { id, callerAddress: `${id}:callers`, peerAddress: `${id}:peers`, failureDomain: 'mu-north-a', region: 'mu-north', leaving: false }
}

/**
 * Creates the core of entry-0 with the given number of idle runners of each role, spread over the failure domains named
 * by the letters of `domains`, and the given number of entry instances in the instance list.
 */
export function createCore (options: { runners?: number, domains?: string, entries?: number, bundle?: Bundle } = {}): Core {
  const { runners = 3, domains = 'abc', entries = 1, bundle = deployments(0)[0]?.bundle } = options
  if (bundle === undefined) throw new Error('no bundle')
  const board = createBoard({ self: { ...listedInstance('entry-0'), incarnation: '1' } })
  board.bundle = { version: 1, hash: '1', sinceMs: 0, content: bundle, index: new BundleIndex(bundle) }
  const core = new Core({ board, controllers })
  const roles = [RunnerRole.Prefill, RunnerRole.Decode]
  const servers = roles.flatMap((role) => Array.from({ length: runners }, (_, index) => listedRunner(`${role}-${index}`, role, `mu-north-${domains[index % domains.length]}`)))
  const instances = Array.from({ length: entries }, (_, index) => listedInstance(`entry-${index}`))
  core.step({ kind: ServerEventKind.InstanceListRead, servers, instances }, contextAt(0))
  for (const { id } of servers) {
    const load = { freePieces: 120, totalPieces: 120, batch: 0, queuedTokens: 0, linkBusyMs: 0, reportedMs: 0 }
    core.step({ kind: ServerEventKind.LoadReported, server: id, load }, contextAt(0))
  }
  return core
}
