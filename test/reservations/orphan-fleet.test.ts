import { expect, test } from '@jest/globals'
import { controllers } from '../../src/core/controllers.js'
import { deployments } from '../../src/demo/deployment.js'
import { CallerModel } from '../../src/model/caller-model.js'
import { FleetModel } from '../../src/model/fleet-model.js'
import { RecordKind } from '../../src/model/history.js'

const KILL_MS = 6000

test('pieces held for a killed instance are free within 5 s, and no other instance loses a stream', () => {
  const deployment = deployments(0)[0]!
  const { bundle, failureDomains, region, modelService, plainService } = deployment
  const fleet = new FleetModel({ seed: 3, controllers, bundle, failureDomains, region, model: modelService, plainService, entries: 4, listLagMs: 1000 })
  const callers = new CallerModel(fleet)
  const heldFor = (owner: string): number => [...fleet.engines.values()].flatMap((engine) => engine.listing()).filter((stream) => stream.owner === owner).length
  for (let index = 0; index < 24; index += 1) {
    fleet.run(3000 + index * 100)
    // Streams of 250 tokens last longer than 5 s, so only a release frees their pieces in time.
    callers.request(fleet.entries.get(`entry-${index % 4}`)!, { organisation: 'bellworks', subject: `sheet-${index}`, pieces: [], promptTokens: 4000, maxTokens: 250, stream: false })
  }
  fleet.run(KILL_MS)
  expect(heldFor('entry-0')).toBeGreaterThan(2)
  fleet.kill('entry-0')
  fleet.run(KILL_MS + 2000)
  expect(heldFor('entry-0')).toBeGreaterThan(0)
  fleet.run(KILL_MS + 5000)
  expect(heldFor('entry-0')).toBe(0)
  fleet.run(60000)
  expect(fleet.history.of(RecordKind.RequestAnswered)).toHaveLength(18)
})
