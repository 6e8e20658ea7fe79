import { createServer, request, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, expect, test } from '@jest/globals'
import { closeListener, trackAnswers } from '../../src/adapters/listener-close.js'
import { LEAVE_PROPAGATION_MS } from '../../src/drain/accepts-work.js'
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
  test('the exit waits until every address response that names the instance has expired, also those of instances with a stale instance list', () => {
    const run = newRun()
    run.step({ kind: DrainEventKind.DrainRequested })
    run.advance(run.board.tuning.addressLifetimeMs + LEAVE_PROPAGATION_MS - 200)
    expect(run.actionsOf(Exit)).toHaveLength(0)
    run.advance(400)
    expect(run.actionsOf(Exit)).toHaveLength(1)
  })

  test('a request that arrives during the drain is finished before the exit', () => {
    const run = newRun()
    run.step({ kind: DrainEventKind.DrainRequested })
    run.advance(7000)
    run.advanceToDecode()
    run.advance(10000)
    expect(run.actionsOf(Exit)).toHaveLength(0)
    run.stepRequest({ kind: RequestEventKind.DecodeFinished, tokens: 10, announcedTokens: 10 })
    run.advance(200)
    expect(run.actionsOf(RequestActionKind.AnswerRequest)).toHaveLength(1)
    expect(run.actionsOf(Exit)).toHaveLength(1)
  })

  test('the exit waits for unconfirmed cancels, but only for a limited time if the runner never confirms', () => {
    const run = newRun()
    run.advanceToDecode()
    run.step({ kind: DrainEventKind.DrainRequested })
    run.advance(8000)
    run.step({ kind: RequestEventKind.CallerDisconnected, request: 'r' })
    run.advance(5000)
    expect(run.actionsOf(Exit)).toHaveLength(0)
    run.advance(6000)
    expect(run.actionsOf(Exit)).toHaveLength(1)
  })
})

/** Starts a server that sends a response of 5 MiB, which is larger than the socket buffers. */
async function startLargeResponseServer (): Promise<{ server: Server, port: number }> {
  const server = createServer((_request, response) => { response.end(Buffer.alloc(LARGE_RESPONSE_BYTES)) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return { server, port: (server.address() as AddressInfo).port }
}

const LARGE_RESPONSE_BYTES = 5 * 1024 * 1024

/** Requests a response, reads its body after `readStart` has resolved and returns its size; calls `onResponse` after the response head. */
async function receiveBody (port: number, readStart: Promise<void>, onResponse: () => void): Promise<number> {
  return await new Promise((resolve, reject) => {
    request({ port, host: '127.0.0.1' }, (response) => {
      onResponse()
      let size = 0
      readStart.then(() => {
        response.on('data', (chunk: Buffer) => { size += chunk.length })
        response.on('end', () => resolve(size))
        response.on('error', reject)
      }, reject)
    }).on('error', reject).end()
  })
}

test('closing the listener does not cut off a response that the caller is still reading', async () => {
  const { server, port } = await startLargeResponseServer()
  const answers = trackAnswers(server)
  let startReading = (): void => undefined
  const reading = new Promise<void>((resolve) => { startReading = resolve })
  let received: Promise<number> = Promise.resolve(0)
  await new Promise<void>((resolve) => { received = receiveBody(port, reading, resolve) })
  const closed = closeListener(server, answers)
  setTimeout(startReading, 50)
  await closed
  expect(await received).toBe(LARGE_RESPONSE_BYTES)
})
