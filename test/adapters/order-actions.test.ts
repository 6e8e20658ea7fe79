import { afterEach, expect, test } from '@jest/globals'
import { createServer, type Server } from 'node:http'
import { EtcdKeyValue } from '../../src/adapters/etcd-key-value.js'
import { orderActions } from '../../src/adapters/order-actions.js'
import { RunnerRole, ServerKind, ServerState } from '../../src/board/backend-server.js'
import { type Board, createBoard } from '../../src/board/board.js'
import type { Event } from '../../src/core/event.js'
import { OrderActionKind } from '../../src/orders/order-action.js'
import { OrderEventKind } from '../../src/orders/order-event.js'
import { serverController } from '../../src/placement/server-controller.js'
import { ServerEventKind } from '../../src/placement/server-event.js'
import { engineOptionsSchema } from '../../src/standin/engine-options.js'
import { EngineOrders } from '../../src/standin/engine-orders.js'
import { createJsonServer, listen } from '../../src/standin/json-server.js'
import { KeyValueStandin } from '../../src/standin/key-value-service.js'

const servers: Server[] = []
afterEach(() => { for (const server of servers.splice(0)) server.close() })

async function serve (server: Server): Promise<string> {
  servers.push(server)
  return `127.0.0.1:${await listen(server, '127.0.0.1', 0)}`
}

function boardOf (incarnation: string, address: string): Board {
  const board = createBoard({ self: { id: 'e', incarnation, failureDomain: 'd', region: 'r', callerAddress: '', peerAddress: '' } })
  const listed = { id: 'r0', address, service: 's', kind: ServerKind.Model, role: RunnerRole.Decode, model: 'm', failureDomain: 'd', region: 'r', state: ServerState.Live }
  serverController.handlers[ServerEventKind.InstanceListRead]?.(board, { kind: ServerEventKind.InstanceListRead, servers: [listed], instances: [] }, { nowMs: 0, random: () => 0, nextId: () => '' })
  return board
}

interface LeaseHolder {
  events: Event[]
  acquire: () => Promise<void>
  send: (fence: number, leaseEndMs: number) => Promise<void>
}

function leaseHolder (incarnation: string, keyValueUrl: string, engine: string, nowMs = Date.now): LeaseHolder {
  const events: Event[] = []
  const handlers = orderActions({ board: boardOf(incarnation, engine), keyValue: new EtcdKeyValue({ baseUrl: keyValueUrl }), emit: (event) => events.push(event), nowMs })
  return {
    events,
    acquire: async () => await handlers[OrderActionKind.AcquireLease]?.({ kind: OrderActionKind.AcquireLease, pool: 's', leaseMs: 15000 }),
    send: async (fence, leaseEndMs) => await handlers[OrderActionKind.SendOrder]?.({ kind: OrderActionKind.SendOrder, server: 'r0', fence, leaseEndMs, role: RunnerRole.Prefill, models: [] })
  }
}

test('guards against two holders of one lease, a lease lost with the reply that granted it, and a fencing token that changes on renewal', async () => {
  const address = await serve(createJsonServer(new KeyValueStandin().handlers))
  // Forwards calls, but drops the reply to the first transaction.
  let dropReply = true
  const proxy = await serve(createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => {
      fetch(`http://${address}${request.url}`, { method: 'POST', body: Buffer.concat(chunks) }).then(async (answer) => {
        const text = await answer.text()
        if (dropReply && request.url === '/v3/kv/txn') {
          dropReply = false
          response.destroy()
        } else {
          response.end(text)
        }
      }).catch(() => response.destroy())
    })
  }))
  const first = leaseHolder('i1', `http://${proxy}`, '')
  const second = leaseHolder('i2', `http://${address}`, '')
  await first.acquire()
  await second.acquire()
  await first.acquire()
  await first.acquire()
  expect(second.events).toEqual([{ kind: OrderEventKind.LeaseRefused, pool: 's' }])
  const [lost, adopted, renewed] = first.events
  expect(lost?.kind).toBe(OrderEventKind.LeaseRefused)
  expect(adopted).toMatchObject({ kind: OrderEventKind.LeaseGranted, pool: 's' })
  expect(renewed).toMatchObject({ fence: (adopted as { fence: number }).fence })
})

test('guards against an order sent after a pause when its lease is about to end, and against an old fencing token at a runner that checks tokens', async () => {
  const orders = new EngineOrders(engineOptionsSchema.parse({ id: 'r0', port: 0, model: 'm', role: 'decode' }))
  const engine = await serve(createJsonServer({ 'POST /v1/orders': ({ body }) => orders.apply(body) }))
  let nowMs = 100000
  const { send, events } = leaseHolder('i1', 'http://127.0.0.1:1', engine, () => nowMs)
  await send(7, nowMs + 5000)
  await send(6, nowMs + 5000)
  nowMs += 4000
  await send(8, 105000)
  expect(events.map((event) => event.kind === OrderEventKind.OrderAnswered && [event.accepted, event.stale])).toEqual([[true, false], [false, true], [false, true]])
  expect(orders.state()).toMatchObject({ fence: 7 })
})
