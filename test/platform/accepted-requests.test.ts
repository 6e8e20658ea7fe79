import { afterEach, describe, expect, test } from '@jest/globals'
import { answerTo, type HttpGateway, requestBytes, type ScriptedServer, startGateway, startServer } from './http-gateway.js'

let server: ScriptedServer | undefined
let instance: HttpGateway | undefined

afterEach(() => {
  instance?.close()
  server?.close()
})

async function start (handle: Parameters<typeof startServer>[0]): Promise<{ server: ScriptedServer, instance: HttpGateway }> {
  server = await startServer(handle)
  instance = await startGateway(server.address)
  return { server, instance }
}

function delay (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

describe('a request in flight to a server whose entry disappears', () => {
  // Guards against requests that end with 502, though their server serves on after it has left the table.
  test('is answered by that server', async () => {
    const { server, instance } = await start((socket, head) => { setTimeout(() => socket.write(answerTo(head, 'late')), 100) })
    const caller = instance.call()
    caller.socket.write(requestBytes('q1', '/once/x', { method: 'POST', body: 'b' }))
    while (server.received.length === 0) await delay(5)
    instance.gateway.backends.discard('b1')
    instance.exchanges.retain(new Set())
    expect(await caller.until('late')).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*late$/)
  })
})
