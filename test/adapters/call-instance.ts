import { createHash } from 'node:crypto'
import { createServer } from 'node:net'
import { addressHandler } from '../../src/adapters/address-handler.js'
import { forwardActions, forwardEvents } from '../../src/adapters/call-forwarding.js'
import { callActions, callHandler, type CallPayloads } from '../../src/adapters/call-handler.js'
import { createCallerListener } from '../../src/adapters/caller-listener.js'
import { keyActions } from '../../src/adapters/key-actions.js'
import { KeyRecorder } from '../../src/adapters/key-recorder.js'
import { OUTCOME_PATH, outcomeActions, outcomeEvents, outcomeHandler, type OutcomeQueries } from '../../src/adapters/outcome-handler.js'
import { dispatchMessage } from '../../src/adapters/peer-events.js'
import { PeerTransport } from '../../src/adapters/peer-transport.js'
import { type Board, createBoard } from '../../src/board/board.js'
import { MemberState } from '../../src/board/member.js'
import { bundleSchema } from '../../src/bundles/bundle.js'
import { BundleIndex } from '../../src/bundles/bundle-index.js'
import { controllers } from '../../src/core/controllers.js'
import { Core } from '../../src/core/core.js'
import { CoreActionKind } from '../../src/core/core-action.js'
import { createLog } from '../../src/logs/log.js'
import type { KeyValueService } from '../../src/ports/key-value.js'
import { Runtime } from '../../src/runtime/runtime.js'
import type { FakeKeyValue } from './fake-key-value.js'

const content = bundleSchema.parse({
  models: [],
  routes: [
    { name: 'order', path: '/orders', method: 'POST', service: 'desk', repeatable: false, timeoutMs: 300 },
    { name: 'stock', path: '/stock', method: 'GET', service: 'desk', repeatable: true }
  ],
  classes: [{ name: 'standard', firstTokenMs: 1, perTokenMs: 1, deadlineMs: 1, interactive: false }],
  organisations: [{ id: 'shop', keyHashes: [createHash('sha256').update('secret').digest('hex')], class: 'standard' }]
})

/** The part of an entry instance that serves calls, with real listeners on loopback. */
export interface CallInstance {
  board: Board
  port: number
  calls: CallPayloads
  queries: OutcomeQueries
  errors: string[]
  addServer: (address: string) => void
  close: () => void
}

/** Starts an instance, which adds its own address to `peerAddresses`; the instances of one test share that map. */
export async function startInstance (id: string, keyValue: FakeKeyValue, peerAddresses = new Map<string, string>()): Promise<CallInstance> {
  const board = createBoard({ self: { id, incarnation: `${id}-inc`, failureDomain: 'd', region: 'r', callerAddress: '', peerAddress: '' }, keySecret: id })
  board.bundle = { version: 1, hash: '', sinceMs: 0, content, index: new BundleIndex(content) }
  const calls: CallPayloads = new Map()
  const queries: OutcomeQueries = new Map()
  const errors: string[] = []
  const emit: Runtime['emit'] = (event) => runtime.emit(event)
  const peers: PeerTransport = new PeerTransport({ id, incarnation: board.self.incarnation, addressOf: (peer) => peerAddresses.get(peer), onMessage: (envelope) => dispatchMessage(messages, envelope) })
  let ids = 0
  const nextId = (): string => `${id}-${++ids}`
  const options = { board, calls, queries, peers, emit, nextId }
  const messages = { ...forwardEvents(options), ...outcomeEvents(options) }
  const recorder = new KeyRecorder({ self: board.self, keyValue: keyValue as unknown as KeyValueService })
  const runtime: Runtime = new Runtime({
    core: new Core({ board, controllers }),
    handlers: {
      ...callActions(options),
      ...forwardActions(options),
      ...outcomeActions({ ...options, recorder }),
      ...keyActions({ recorder, emit, log: createLog({ write: () => undefined }) }),
      [CoreActionKind.Log]: () => undefined
    },
    random: () => 0,
    nextId,
    onError: (detail) => errors.push(detail)
  })
  runtime.start()
  const handlers = { 'GET /v1/addresses': addressHandler(board), [`GET ${OUTCOME_PATH}`]: outcomeHandler(options) }
  const peerPort = await freePort()
  await peers.listen('127.0.0.1', peerPort)
  peerAddresses.set(id, `127.0.0.1:${peerPort}`)
  for (const peer of ['a', 'b'].filter((other) => other !== id)) {
    board.members.set(peer, { id: peer, incarnation: '', state: MemberState.Alive } as never)
  }
  const server = createCallerListener({ board, emit, maxBodyBytes: 1000, handlers, fallback: callHandler(options) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    board,
    port: (server.address() as { port: number }).port,
    calls,
    queries,
    errors,
    addServer: (address) => {
      const listed = { id: 's1', address, service: 'desk', kind: 'plain', state: 'live', breaker: { failures: 0, openUntilMs: 0, trial: false }, inFlight: 0 }
      board.servers.set('s1', listed as never)
    },
    close: () => {
      server.closeAllConnections()
      server.close()
      peers.close()
    }
  }
}

async function freePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as { port: number }
  await new Promise<void>((resolve) => { server.close(() => resolve()) })
  return port
}
