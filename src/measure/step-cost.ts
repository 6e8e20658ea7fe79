import { controllers } from '../core/controllers.js'
import { deployments } from '../demo/deployment.js'
import { CallerModel } from '../model/caller-model.js'
import { FleetModel } from '../model/fleet-model.js'
import { RecordKind } from '../model/history.js'
import type { Measurement, Row } from './measurement.js'

const REQUESTS = 2000
const GAP_MS = 60
const WARM_UP_MS = 3000
const TAIL_MS = 20000

/** Processor time of the whole model per request, as a check that the cost of the core does not grow with the fleet. */
export const stepCost: Measurement = {
  name: 'step-cost',
  summary: 'processor time per request in the model at three fleet sizes',
  run: ({ seed }) => {
    const rows = [3, 6, 12].map((runners) => measureSize(seed, runners))
    const answered = rows.reduce((sum, row) => sum + Number(row.answered), 0)
    return { rows, figures: { requests: rows.length * REQUESTS, answered }, ok: answered === rows.length * REQUESTS }
  }
}

function measureSize (seed: number, runners: number): Row {
  const deployment = deployments(0)[0]
  if (deployment === undefined) throw new Error('no deployment')
  const { bundle, failureDomains, region, modelService, plainService, organisation } = deployment
  const fleet = new FleetModel({
    seed, controllers, bundle, failureDomains, region, model: modelService, plainService, prefillRunners: runners, decodeRunners: runners
  })
  const callers = new CallerModel(fleet)
  const entries = [...fleet.entries.values()]
  fleet.run(WARM_UP_MS)
  const started = process.cpuUsage()
  for (let index = 0; index < REQUESTS; index += 1) {
    fleet.run(WARM_UP_MS + index * GAP_MS * 3 / runners)
    const entry = entries[index % entries.length]
    if (entry === undefined) continue
    callers.request(entry, { organisation, subject: `sheet-${index}`, pieces: [], promptTokens: 2000, maxTokens: 16, stream: false })
  }
  fleet.run(fleet.clock.nowMs + TAIL_MS)
  const used = process.cpuUsage(started)
  return {
    runners: runners * 2,
    answered: fleet.history.of(RecordKind.RequestAnswered).length,
    steps: fleet.clock.steps,
    cpuMicrosPerRequest: Math.round((used.user + used.system) / REQUESTS)
  }
}
