import type { PlacementPolicy } from '../board/board.js'
import type { Bundle } from '../bundles/bundle.js'
import { controllers } from '../core/controllers.js'
import { CallerModel } from '../model/caller-model.js'
import type { EntryModel } from '../model/entry-model.js'
import { FleetModel } from '../model/fleet-model.js'
import { RecordKind } from '../model/history.js'
import { resultOf, type RunResult } from './goodput.js'
import type { Arrival, Workload } from './workload.js'

export const WARM_UP_MS = 3000

/** Requests end by their deadline, so that a longer tail changes nothing. */
const TAIL_MS = 20000

const KILL_PERIOD_MS = 10000

const RESTART_MS = 1000

/** A caller whose connection broke sends again, elsewhere, after this time. */
const RESEND_MS = 100

export interface LoadRun {
  workload: Workload
  arrivals: Arrival[]
  placement: PlacementPolicy
  seed: number
  bundle?: Bundle
  /** Kills one entry instance every ten seconds and starts it again. */
  killEntries?: boolean
}

/** Runs arrivals on the fleet model and reports what became of them. */
export function runLoad ({ workload, arrivals, placement, seed, bundle, killEntries = false }: LoadRun): RunResult & { fleet: FleetModel } {
  const { deployment, engine, prefillRunners, decodeRunners } = workload
  const { failureDomains, region, modelService: model, plainService, entries } = deployment
  const content = bundle ?? deployment.bundle
  const fleet = new FleetModel({
    seed, controllers, bundle: content, failureDomains, region, model, plainService, entries, prefillRunners, decodeRunners, engine, tuning: { placement }
  })
  const callers = new CallerModel(fleet)
  const endMs = (arrivals.at(-1)?.atMs ?? 0) + TAIL_MS
  for (const arrival of arrivals) fleet.clock.schedule(arrival.atMs, () => { send(fleet, callers, arrival) })
  if (killEntries) scheduleKills(fleet, callers, new Map(arrivals.map((arrival) => [arrival.subject, arrival])), endMs - TAIL_MS)
  fleet.run(endMs)
  const target = content.classes[0]
  if (target === undefined) throw new Error('a bundle without a class')
  return { ...resultOf(fleet.history, target), fleet }
}

function send (fleet: FleetModel, callers: CallerModel, arrival: Arrival): void {
  // Callers learn addresses only from instances that are ready, which needs a bundle.
  const ready = [...fleet.entries.values()].filter((entry) => entry.alive && entry.board.bundle !== null)
  const entry = ready[Math.floor(arrival.entryChoice * ready.length)] as EntryModel
  const { organisation, subject, pieces, promptTokens, maxTokens } = arrival
  callers.request(entry, { organisation, subject, pieces, promptTokens, maxTokens, stream: false })
}

function scheduleKills (fleet: FleetModel, callers: CallerModel, bySubject: Map<string, Arrival>, untilMs: number): void {
  let turn = 0
  const kill = (): void => {
    if (fleet.clock.nowMs >= untilMs) return
    const index = turn % fleet.options.entries
    const id = `entry-${index}`
    const seen = fleet.history.records.length
    fleet.kill(id)
    for (const { kind, subject } of fleet.history.records.slice(seen)) {
      const arrival = bySubject.get(subject ?? '')
      if (kind === RecordKind.ConnectionLost && arrival !== undefined) fleet.clock.schedule(RESEND_MS, () => { send(fleet, callers, arrival) })
    }
    fleet.clock.schedule(RESTART_MS, () => { fleet.startEntry(id, index) })
    turn += 1
    fleet.clock.schedule(KILL_PERIOD_MS, kill)
  }
  fleet.clock.schedule(WARM_UP_MS + KILL_PERIOD_MS, kill)
}
