import type { Controller } from '../core/controller.js'
import { deployments } from '../demo/deployment.js'
import { FleetModel } from '../model/fleet-model.js'
import { RecordKind } from '../model/history.js'
import { Driver } from './apply-operation.js'
import { checkHistory } from './checker.js'
import type { Operation } from './operation.js'
import type { Violation } from './violation.js'

/** Instances know the list and the bundle before a schedule begins. */
export const WARM_UP_MS = 3000

/** After the last operation faults are removed and the fleet gets this time to settle. */
const SETTLE_MS = 60000

export interface ScheduledRun {
  fleet: FleetModel
  violations: Violation[]
}

export interface ScheduleOptions {
  seed: number
  controllers: Controller[]
  operations: Operation[]
  /** Which of the two deployments. */
  deployment: number
}

/** Runs a schedule on a fresh fleet, removes all faults, lets the fleet settle, and judges the history. */
export function runSchedule ({ seed, controllers, operations, deployment: number }: ScheduleOptions): ScheduledRun {
  const deployment = deployments(0)[number]
  if (deployment === undefined) throw new RangeError(`no deployment ${number}`)
  const { bundle, failureDomains, region, modelService, plainService, organisation } = deployment
  const fleet = new FleetModel({ seed, controllers, bundle, failureDomains, region, model: modelService, plainService })
  const driver = new Driver({ fleet, organisation })
  fleet.run(WARM_UP_MS)
  for (const operation of [...operations].sort((a, b) => a.atMs - b.atMs)) {
    fleet.run(WARM_UP_MS + operation.atMs)
    driver.apply(operation)
  }
  removeFaults(fleet)
  fleet.run(fleet.clock.nowMs + SETTLE_MS)
  fleet.history.add(RecordKind.RunEnded)
  return { fleet, violations: checkHistory(fleet.history.records) }
}

/** Removes every fault that does not end by itself. */
function removeFaults (fleet: FleetModel): void {
  if (fleet.keyValue.faults.down) fleet.setKeyValueDown(false)
  fleet.degrade({ loss: 0, delayMs: 2, lostReplies: 0 })
  const { failureDomains } = fleet.options
  for (const a of failureDomains) {
    for (const b of failureDomains) {
      if (fleet.network.isCut(a, b)) fleet.heal(a, b)
    }
  }
}
