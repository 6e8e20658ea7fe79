import { type BackendServer, RunnerRole, ServerKind, ServerState } from '../board/backend-server.js'
import { type Board, createBoard, PlacementPolicy } from '../board/board.js'
import type { ModelRequest } from '../board/model-request.js'
import { BundleIndex } from '../bundles/bundle-index.js'
import type { Context } from '../core/context.js'
import { deployments } from '../demo/deployment.js'
import { choosePair } from '../placement/placement.js'
import { newRequest } from '../requests/new-request.js'
import { RequestEventKind } from '../requests/request-event.js'
import { seededRandom } from '../runtime/random.js'
import type { Measurement, Row } from './measurement.js'

const FLEETS = [12, 230, 2300]

const DECISIONS = 20000

const WARM_UP_DECISIONS = 2000

const CACHED_PIECES = 200

const PROMPT_PIECES = 6

/** A decision may cost this many times as much at 2,300 runners as at 12. */
const GROWTH_BOUND = 3

/** A quarter of the 128 MB that a daemon may use for control. */
const INDEX_BYTES_BOUND = 32 * 1024 * 1024

/** Cost of one choice of runners, and memory of the prefix index, by size of the fleet. */
export const decision: Measurement = {
  name: 'decision',
  summary: 'microseconds of one placement decision and memory of the prefix index at three fleet sizes',
  run: ({ seed }) => {
    const rows = FLEETS.flatMap((runners) => [PlacementPolicy.Reserved, PlacementPolicy.LeastLoad].map((policy) => measureFleet(seed, runners, policy)))
    const product = rows.filter(({ policy }) => policy === PlacementPolicy.Reserved)
    const growth = Number(product.at(-1)?.microsPerDecision) / Number(product[0]?.microsPerDecision)
    const indexBytes = Math.max(...product.map((row) => Number(row.indexBytes)))
    const figures = { growth: Number(growth.toFixed(2)), growthBound: GROWTH_BOUND, indexBytes, indexBytesBound: INDEX_BYTES_BOUND }
    return { rows, figures, ok: growth <= GROWTH_BOUND && indexBytes <= INDEX_BYTES_BOUND }
  }
}

function measureFleet (seed: number, runners: number, policy: PlacementPolicy): Row {
  const random = seededRandom(seed)
  const board = createFleetBoard(runners, policy, random)
  const requests = Array.from({ length: DECISIONS }, (_, index) => createRequest(board, index, runners, random))
  const context: Context = { nowMs: 1000, random, nextId: () => '' }
  for (const request of requests.slice(0, WARM_UP_DECISIONS)) decide(board, request, context)
  const started = process.hrtime.bigint()
  for (const request of requests) decide(board, request, context)
  const micros = Number(process.hrtime.bigint() - started) / 1000 / DECISIONS
  const { index } = board.prefixes
  return { runners, policy, microsPerDecision: Number(micros.toFixed(2)), indexRecords: index.size, indexBytes: index.bytes }
}

/** Assignments of an earlier request are dropped, as at the end of a request. */
function decide (board: Board, request: ModelRequest, context: Context): void {
  choosePair(board, request, context)
  board.corrections.byRequest.clear()
  for (const correction of board.corrections.byServer.values()) correction.assignments.clear()
  board.corrections.byServer.clear()
}

function createFleetBoard (runners: number, policy: PlacementPolicy, random: () => number): Board {
  const deployment = deployments(0)[0]
  if (deployment === undefined) throw new Error('no deployment')
  const self = { id: 'entry-0', incarnation: '1', failureDomain: 'domain-0', region: deployment.region, callerAddress: '', peerAddress: '' }
  const board = createBoard({ self, tuning: { placement: policy } })
  board.bundle = { version: 1, hash: '1', sinceMs: 0, content: deployment.bundle, index: new BundleIndex(deployment.bundle) }
  for (let index = 0; index < runners; index += 1) {
    const server = createRunner(index, deployment.modelService, deployment.region, random)
    board.servers.set(server.id, server)
    if (server.role === RunnerRole.Prefill) fillCache(board, server, index, runners)
  }
  return board
}

function createRunner (index: number, model: string, region: string, random: () => number): BackendServer {
  return {
    id: `runner-${index}`,
    address: `127.0.0.1:${index}`,
    service: model,
    kind: ServerKind.Model,
    role: index % 2 === 0 ? RunnerRole.Prefill : RunnerRole.Decode,
    model,
    failureDomain: `domain-${index % 9}`,
    region,
    state: ServerState.Live,
    load: { freePieces: Math.floor(random() * 120), totalPieces: 120, batch: 10, queuedTokens: Math.floor(random() * 20000), linkBusyMs: 0, reportedMs: 0 },
    breaker: { failures: 0, openUntilMs: 0, trial: false },
    inFlight: 0,
    assignedTokens: 0
  }
}

/** The first piece is common to all prompts, as with a system prompt; the others belong to one group of prompts. */
function fillCache (board: Board, server: BackendServer, index: number, runners: number): void {
  board.prefixes.index.add(server.model, 'common', server.id)
  for (let piece = 1; piece < CACHED_PIECES; piece += 1) {
    const group = (index + Math.floor(piece / PROMPT_PIECES)) % runners
    board.prefixes.index.add(server.model, `group-${group}-${piece % PROMPT_PIECES}`, server.id)
  }
}

function createRequest (board: Board, index: number, runners: number, random: () => number): ModelRequest {
  const group = Math.floor(random() * runners)
  const pieces = ['common', ...Array.from({ length: PROMPT_PIECES - 1 }, (_, piece) => `group-${group}-${piece + 1}`)]
  return newRequest(board, {
    kind: RequestEventKind.RequestArrived, request: `request-${index}`, organisation: 'bellworks', model: 'pattern-llm', promptTokens: PROMPT_PIECES * 1000, pieces, maxTokens: 64, stream: false
  }, 0)
}
