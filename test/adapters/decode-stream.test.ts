import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect, test } from '@jest/globals'
import { readDecode } from '../../src/adapters/decode-stream.js'
import type { Payload } from '../../src/adapters/payloads.js'
import type { Event } from '../../src/core/event.js'
import { RequestActionKind, type StartDecode } from '../../src/requests/request-action.js'
import { RequestEventKind, StageFailure } from '../../src/requests/request-event.js'

const action: StartDecode = { kind: RequestActionKind.StartDecode, request: 'r', attempt: 1, server: 'd', fromToken: 0, maxTokens: 3, priority: 0 }

function emptyPayload (): Payload {
  return { prompt: '', model: 'm', stream: false, response: {} as ServerResponse, tokens: [], delivered: 0, arrivedMs: 0, connection: 0 }
}

/** Runs an engine that answers each decode call with the next script of lines; a `null` line pauses the stream until `release` resolves. */
async function withEngine (scripts: unknown[][], release: Promise<void>, run: (url: string) => Promise<void>): Promise<void> {
  const pending = [...scripts]
  const server = createServer((_request, response) => { write(response, pending.shift() ?? []).catch(() => undefined) })
  const write = async (response: ServerResponse, lines: unknown[]): Promise<void> => {
    for (const line of lines) {
      if (line === null) await release
      else response.write(`${JSON.stringify(line)}\n`)
    }
    response.end()
  }
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  try {
    await run(`http://127.0.0.1:${(server.address() as AddressInfo).port}/v1/decode`)
  } finally {
    server.closeAllConnections()
    server.close()
  }
}

const line = (work: string, index: number): unknown => ({ request_id: work, index, text: `${work}/${index}` })

test('tokens of another request on the same connection are not added to the answer', async () => {
  await withEngine([[line('r.1', 0), line('q.1', 1), { request_id: 'q.1', done: true, tokens: 1 }]], Promise.resolve(), async (url) => {
    const events: Event[] = []
    const payload = emptyPayload()
    await readDecode({ url, action, payload, emit: (event) => events.push(event) })
    expect(payload.tokens).toEqual(['r.1/0'])
    expect(events.at(-1)).toMatchObject({ kind: RequestEventKind.DecodeFailed, failure: StageFailure.Broken, tokens: 1 })
  })
})

test('late tokens of a replaced connection are not appended to those of the newer connection', async () => {
  let release = (): void => undefined
  const released = new Promise<void>((resolve) => { release = resolve })
  await withEngine([[line('r.1', 0), null, line('r.1', 2)], [line('r.1', 1)]], released, async (url) => {
    const events: Event[] = []
    const payload = emptyPayload()
    const started = new Promise<void>((resolve) => {
      const emit = (event: Event): void => {
        events.push(event)
        resolve()
      }
      readDecode({ url, action, payload, emit }).catch(() => undefined)
    })
    await started
    await readDecode({ url, action: { ...action, fromToken: 1 }, payload, emit: (event) => events.push(event) })
    release()
    await new Promise((resolve) => { setTimeout(resolve, 100) })
    expect(payload.tokens).toEqual(['r.1/0', 'r.1/1'])
    expect(events.at(-1)).toMatchObject({ kind: RequestEventKind.DecodeFailed, tokens: 2 })
  })
})
