import { createServer, request, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, expect, test } from '@jest/globals'
import { closeListener, trackAnswers } from '../../src/adapters/listener-close.js'
import { LEAVE_PROPAGATION_MS } from '../../src/drain/accepting.js'
import { DrainActionKind } from '../../src/drain/drain-action.js'
import { drainController } from '../../src/drain/drain-controller.js'
import { DrainEventKind } from '../../src/drain/drain-event.js'
import { cancellationController } from '../../src/requests/cancellation.js'
import { RequestActionKind } from '../../src/requests/request-action.js'
import { requestController } from '../../src/requests/request-controller.js'
import { RequestEventKind } from '../../src/requests/request-event.js'
import { CoreRun } from '../requests/core-run.js'

const { Exit } = DrainActionKind

function newRun (): CoreRun {
  return new CoreRun([requestController, cancellationController, drainController])
}

describe('drain of an instance', () => {
  test('it stays until every address answer that names it has run out, also those of instances that learn late', () => {
    const run = newRun()
    run.step({ kind: DrainEventKind.DrainAsked })
    run.advance(run.board.tuning.addressLifetimeMs + LEAVE_PROPAGATION_MS - 200)
    expect(run.all(Exit)).toHaveLength(0)
    run.advance(400)
    expect(run.all(Exit)).toHaveLength(1)
  })

  test('a request that came in during the drain is finished before the exit', () => {
    const run = newRun()
    run.step({ kind: DrainEventKind.DrainAsked })
    run.advance(7000)
    run.decode()
    run.advance(10000)
    expect(run.all(Exit)).toHaveLength(0)
    run.tell({ kind: RequestEventKind.DecodeFinished, tokens: 10, announcedTokens: 10 })
    run.advance(200)
    expect(run.all(RequestActionKind.AnswerRequest)).toHaveLength(1)
    expect(run.all(Exit)).toHaveLength(1)
  })

  test('it waits for unconfirmed cancels, but not without end for a runner that is gone', () => {
    const run = newRun()
    run.decode()
    run.step({ kind: DrainEventKind.DrainAsked })
    run.advance(8000)
    run.step({ kind: RequestEventKind.CallerDisconnected, request: 'r' })
    run.advance(5000)
    expect(run.all(Exit)).toHaveLength(0)
    run.advance(6000)
    expect(run.all(Exit)).toHaveLength(1)
  })
})

/** Listens with an answer of 5 MB, which no socket buffer takes at once. */
async function listenLarge (): Promise<{ server: Server, port: number }> {
  const server = createServer((_request, response) => { response.end(Buffer.alloc(LARGE_BYTES)) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return { server, port: (server.address() as AddressInfo).port }
}

const LARGE_BYTES = 5 * 1024 * 1024

/** Reads an answer whose body is not touched until `read` is resolved. */
async function receive (port: number, read: Promise<void>, answered: () => void): Promise<number> {
  return await new Promise((resolve, reject) => {
    request({ port, host: '127.0.0.1' }, (response) => {
      answered()
      let size = 0
      read.then(() => {
        response.on('data', (chunk: Buffer) => { size += chunk.length })
        response.on('end', () => resolve(size))
        response.on('error', reject)
      }, reject)
    }).on('error', reject).end()
  })
}

test('closing the listener cuts no answer that the caller is still reading', async () => {
  const { server, port } = await listenLarge()
  const answers = trackAnswers(server)
  let startReading = (): void => undefined
  const reading = new Promise<void>((resolve) => { startReading = resolve })
  let received: Promise<number> = Promise.resolve(0)
  await new Promise<void>((resolve) => { received = receive(port, reading, resolve) })
  const closed = closeListener(server, answers)
  setTimeout(startReading, 50)
  await closed
  expect(await received).toBe(LARGE_BYTES)
})
