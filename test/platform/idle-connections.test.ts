import { afterEach, describe, expect, test } from '@jest/globals'
import { answerTo, type CallerConnection, gatewayConfiguration, type HttpGateway, requestBytes, type ScriptedServer, startGateway, startServer } from './http-gateway.js'

let server: ScriptedServer | undefined
let instance: HttpGateway | undefined

afterEach(() => {
  instance?.close()
  server?.close()
})

const delay = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** Starts an instance whose server answers after `answerMs`. */
async function start (answerMs = 0): Promise<HttpGateway> {
  server = await startServer((socket, head) => { setTimeout(() => socket.write(answerTo(head)), answerMs) })
  instance = await startGateway(server.address)
  return instance
}

function setIdleLimit ({ callers }: HttpGateway, idleTimeoutMs: number): void {
  callers.applyLimits({ ...gatewayConfiguration(2).limits, idleTimeoutMs })
}

async function send (caller: CallerConnection, id: string): Promise<string> {
  caller.socket.write(requestBytes(id, '/once/x'))
  return await caller.until(`X-Request-Id: ${id}`)
}

/** Keeps the event loop from running, as a frozen process does. */
function freeze (ms: number): void {
  const endMs = performance.now() + ms
  while (performance.now() < endMs);
}

describe('an idle connection', () => {
  // Guards against requests that are cut because a connection that was idle already is closed after the old limit.
  test('is kept for a raised limit', async () => {
    const instance = await start()
    setIdleLimit(instance, 200)
    const caller = instance.call()
    await send(caller, 'q1')
    setIdleLimit(instance, 5000)
    await delay(2000)
    expect(await send(caller, 'q2')).toContain('X-Request-Id: q2')
  })

  // Guards against requests that are cut because the limit shrinks after the answer has named the old one.
  test('is kept for as long as its last answer has promised', async () => {
    const instance = await start(100)
    setIdleLimit(instance, 3000)
    const caller = instance.call()
    const first = send(caller, 'q1')
    await delay(50)
    setIdleLimit(instance, 200)
    expect(await first).toContain('Keep-Alive: timeout=3')
    await delay(2000)
    expect(await send(caller, 'q2')).toContain('X-Request-Id: q2')
  })

  // Guards against requests that are cut because the default of Node.js holds until the first configuration arrives.
  test('is kept before the first configuration', async () => {
    const instance = await start()
    const caller = instance.call()
    await send(caller, 'q1')
    await delay(6300)
    expect(await send(caller, 'q2')).toContain('X-Request-Id: q2')
  }, 10_000)

  // Guards against requests that had arrived while the process was frozen, and are cut as its timers run before it reads them.
  test('is kept if a request has arrived while the process was frozen past the limit', async () => {
    const instance = await start()
    setIdleLimit(instance, 200)
    const caller = instance.call()
    await send(caller, 'q1')
    await delay(900)
    caller.socket.write(requestBytes('q2', '/once/x'))
    freeze(600)
    expect(await caller.until('X-Request-Id: q2')).toContain('X-Request-Id: q2')
  })

  // Guards against connections that are never closed, and against a close before the time that callers know.
  test('is closed somewhat later than the limit', async () => {
    const instance = await start()
    setIdleLimit(instance, 200)
    const caller = instance.call()
    await send(caller, 'q1')
    const idleMs = performance.now()
    await caller.until('no such text')
    expect(caller.closedBy()).toBe('fin')
    expect(performance.now() - idleMs).toBeGreaterThan(1150)
    expect(performance.now() - idleMs).toBeLessThan(1700)
  })
})
