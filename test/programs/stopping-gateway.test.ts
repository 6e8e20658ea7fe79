import { afterEach, describe, expect, test } from '@jest/globals'
import { mkdtempSync, rmSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SoakFleet } from '../../src/soak/soak-fleet.js'
import { SoakLedger } from '../../src/soak/soak-ledger.js'
import { platformServer, serverKey } from '../../src/standin/platform-entries.js'

const folder = mkdtempSync(join(tmpdir(), 'stopping-gateway-'))
let fleet: SoakFleet | undefined

afterEach(async () => {
  await fleet?.stop()
  rmSync(folder, { recursive: true, force: true })
})

const delay = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** Status of one request; null if it got no response. */
function get (agent: Agent, address: string, path: string): Promise<number | null> {
  return new Promise((resolve) => {
    const call = request(`http://${address}${path}`, { agent, headers: { Host: 'soak.example', 'X-Request-Id': `q${Math.random()}`, 'X-Deadline-Ms': '2000' } }, (response) => {
      response.resume()
      response.on('end', () => resolve(response.statusCode ?? null))
    })
    call.on('error', () => resolve(null))
    call.end()
  })
}

describe('a gateway that is stopping', () => {
  // Guards against requests to servers that leave after SIGTERM, while the instance still serves requests.
  test('sends nothing to a server that says after SIGTERM that it leaves', async () => {
    fleet = new SoakFleet({ folder, net: '78.1', instances: 1, ledger: new SoakLedger() })
    await fleet.start()
    const [instance] = fleet.instances
    const [leaving] = fleet.runners
    if (instance === undefined || leaving === undefined) throw new Error('the fleet is empty')
    const agent = new Agent({ keepAlive: true })
    const address = fleet.callers(instance)
    const startedMs = performance.now()
    while (performance.now() - startedMs < 10_000 && await get(agent, address, '/checks/x') !== 200) await delay(50)
    instance.process.kill('SIGTERM')
    await delay(100)
    fleet.store.put(serverKey(leaving.id), platformServer({ service: leaving.service, address: `${leaving.ip}:7107`, stage: leaving.stage, leaving: true }))
    await delay(600)
    let arrivals = 0
    leaving.standIn.server.on('request', () => { arrivals += 1 })
    const statuses = await Promise.all(Array.from({ length: 12 }, () => get(agent, address, '/checks/x')))
    agent.destroy()
    expect({ statuses: new Set(statuses), arrivals }).toEqual({ statuses: new Set([200]), arrivals: 0 })
  }, 20_000)
})
