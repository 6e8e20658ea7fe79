import { afterEach, describe, expect, test } from '@jest/globals'
import { RunnerRole } from '../../src/gateway/backend.js'
import { backend, callerRequest, RecordingResponder } from './gateway-fixtures.js'
import { type FleetInstance, GatewayFleet } from './gateway-fleet.js'

const PAUSE_MS = 3000

const decode1 = backend({ id: 'd1', service: 'model', stage: RunnerRole.Decode })
const decode2 = backend({ id: 'd2', service: 'model', stage: RunnerRole.Decode, address: '10.0.0.2:80' })

/** Instances that know two decode runners and no prefill runner; streams never end, so that runs count on their runners. */
function servingFleet (): GatewayFleet {
  const fleet = new GatewayFleet({ instances: 3, servers: [decode1, decode2] })
  fleet.run(4000)
  return fleet
}

const responders: RecordingResponder[] = []

afterEach(() => {
  for (const responder of responders.splice(0)) responder.disconnect()
})

let requests = 0

function request ({ gateway }: FleetInstance, fleet: GatewayFleet): RecordingResponder {
  requests += 1
  const responder = new RecordingResponder()
  responders.push(responder)
  gateway.serve(callerRequest({ id: `q${requests}`, path: '/stream/x', arrivedMs: fleet.nowMs, generationParameters: { promptTokens: 100, maxOutputTokens: 100, estimatedOutputTokens: null, promptId: null, sharedParts: [] } }), responder)
  return responder
}

/** Waits until the pending callbacks of the event loop have run. */
async function flush (): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve))
}

const runnersOf = ({ backendClient }: FleetInstance): Set<string> => new Set(backendClient.sent.map(({ backend: { id } }) => id))

describe('placement for an instance that a runner has turned away', () => {
  // Guards against a coordinator that places requests on runners that their instance may not use, and against one that keeps the runner from all instances.
  test('uses another runner for this instance, and goes on using this one for the others', async () => {
    const fleet = servingFleet()
    const [paused, ...others] = fleet.instances as [FleetInstance, FleetInstance, FleetInstance]
    paused.backendClient.onPause(decode1, PAUSE_MS)
    for (let index = 0; index < 8; index += 1) {
      for (const instance of fleet.instances) request(instance, fleet)
      await flush()
    }
    expect(paused.backendClient.sent).toHaveLength(8)
    expect(runnersOf(paused)).toEqual(new Set(['d2']))
    for (const other of others) expect(runnersOf(other)).toContain('d1')
    expect(paused.log.lines.filter((line) => line.startsWith('send.paused'))).toEqual([])
  })

  // Guards against an instance whose messages get lost and that is placed on the runner again.
  test('sends nothing to the runner though the coordinator does not know of the pause', async () => {
    const fleet = servingFleet()
    const instance = fleet.instances[0] as FleetInstance
    // Coordinators of older versions ignore the pauses that a request names.
    instance.gateway.pauses.list = () => []
    instance.backendClient.onPause(decode1, PAUSE_MS)
    instance.backendClient.onPause(decode2, PAUSE_MS / 2)
    const responder = request(instance, fleet)
    await flush()
    expect(instance.backendClient.sent).toEqual([])
    expect(responder).toMatchObject({ ending: 'refused', refusal: 'paused' })
    expect(responder.retryAfterMs).toBeGreaterThanOrEqual(PAUSE_MS / 2)
  })

  test('gives up soon if the coordinator insists on the runner', async () => {
    const fleet = servingFleet()
    const instance = fleet.instances[0] as FleetInstance
    instance.gateway.pauses.list = () => []
    instance.backendClient.onPause(decode1, PAUSE_MS)
    for (let index = 0; index < 4; index += 1) request(instance, fleet)
    await flush()
    expect(runnersOf(instance).has('d1')).toBe(false)
    expect(instance.log.lines.filter((line) => line.startsWith('send.paused')).length).toBeLessThanOrEqual(3 * responders.length)
  })
})
