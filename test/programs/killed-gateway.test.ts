import { afterEach, describe, expect, test } from '@jest/globals'
import { once } from 'node:events'
import { mkdtempSync, rmSync } from 'node:fs'
import { type ClientRequest, createServer, type IncomingMessage, request, type Server } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SoakFleet } from '../../src/soak/soak-fleet.js'
import { SoakLedger } from '../../src/soak/soak-ledger.js'
import { platformServer, serverKey } from '../../src/standin/platform-entries.js'
import { RunnerStage } from '../../src/standin/platform-runner-standin.js'

const EVENT_PERIOD_MS = 50

const folder = mkdtempSync(join(tmpdir(), 'killed-gateway-'))
let fleet: SoakFleet
let runner: Server

afterEach(async () => {
  await fleet.stop()
  runner.closeAllConnections()
  runner.close()
  rmSync(folder, { recursive: true, force: true })
})

const delay = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** Starts one gateway process with one runner, which answers without a length and without end. */
async function start (): Promise<void> {
  fleet = new SoakFleet({ folder, net: '78.6', instances: 1, ledger: new SoakLedger() })
  await fleet.start()
  runner = createServer((incoming, response) => {
    incoming.resume()
    response.useChunkedEncodingByDefault = false
    response.writeHead(200, { 'X-Request-Id': String(incoming.headers['x-request-id']), 'X-Response-Signature': 's', 'Content-Type': 'text/event-stream' })
    let event = 0
    const timer = setInterval(() => {
      event += 1
      response.write(`id: ${event}\ndata: x\n\n`)
    }, EVENT_PERIOD_MS)
    response.on('close', () => clearInterval(timer))
  })
  const ip = '127.78.6.200'
  runner.listen(7107, ip)
  await once(runner, 'listening')
  for (const { id, service } of fleet.runners) if (service === 'model') fleet.store.remove(serverKey(id))
  fleet.store.put(serverKey('i-own'), platformServer({ service: 'model', address: `${ip}:7107`, stage: RunnerStage.Decode }))
}

function callStream (): ClientRequest {
  const [instance] = fleet.instances
  if (instance === undefined) throw new Error('the fleet is empty')
  const headers = { Host: 'soak.example', 'X-Request-Id': `q${Math.random()}`, 'X-Deadline-Ms': '2500', 'X-Model': 'm', 'X-Token-Counts': '10,10', 'X-Prompt-Prefix': 'aa:10' }
  return request(`http://${fleet.callers(instance)}/streams/x`, { method: 'POST', agent: false, headers }).end()
}

/** The head of a stream's answer, once the gateway serves streams. */
async function openStream (): Promise<IncomingMessage> {
  const startedMs = performance.now()
  for (;;) {
    const call = callStream()
    const response = await Promise.race([once(call, 'response'), once(call, 'error')]).then(([first]: unknown[]) => first as IncomingMessage | Error, (error: Error) => error)
    if (!(response instanceof Error) && response.statusCode === 200) return response
    if (performance.now() - startedMs > 10_000) throw new Error('the gateway serves no streams')
    call.destroy()
    await delay(100)
  }
}

describe('a gateway process that is killed', () => {
  // Guards against a part of a stream that its caller takes for the whole one, because the process that relayed it was killed.
  test('leaves a stream that its server sent without a length incomplete, and passes its events on as they arrive', async () => {
    await start()
    const response = await openStream()
    const arrivalsMs: number[] = []
    response.on('data', () => arrivalsMs.push(performance.now()))
    const ended = new Promise<string>((resolve) => {
      response.on('end', () => resolve(response.complete ? 'complete' : 'incomplete'))
      response.on('error', (error: NodeJS.ErrnoException) => resolve(response.complete ? 'complete' : `incomplete: ${error.code}`))
    })
    await delay(500)
    fleet.instances[0]?.process.kill('SIGKILL')
    expect(await ended).toBe('incomplete: ECONNRESET')
    expect(arrivalsMs.length).toBeGreaterThan(4)
  }, 30_000)
})
