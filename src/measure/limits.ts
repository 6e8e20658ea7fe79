import { PlacementPolicy } from '../board/board.js'
import type { Bundle } from '../bundles/bundle.js'
import { type HistoryRecord, RecordKind } from '../model/history.js'
import { BURST_SECONDS } from '../admission/organisation-limit.js'
import { RefusalKind } from '../errors/refusal.js'
import { derivedSeed } from './capacity.js'
import type { Measurement, Row } from './measurement.js'
import { runLoad, WARM_UP_MS } from './run-load.js'
import { type Arrival, createArrivals, type Workload, workloads } from './workload.js'

const LIMIT_PER_SECOND = 6

const RUN_MS = 60000

const OFFERED = [3, 6, 12]

/** Share of a request rate limit that must get through when callers spread over all instances and offer twice the limit. */
const USED_BOUND = 0.9

/** How exactly the rate limit of an organisation holds over eight independent instances. */
export const limits: Measurement = {
  name: 'limits',
  summary: 'requests let through by an organisation limit over eight instances, with even and uneven callers',
  run: ({ seed }) => {
    const workload = workloads()[0]
    if (workload === undefined) throw new Error('no workload')
    const rows = OFFERED.flatMap((perSecond, part) => ['even', 'two instances'].map((callers) => measure(workload, perSecond, callers, derivedSeed(seed, part))))
    const highest = Math.max(...rows.map(({ passed }) => Number(passed)))
    const most = LIMIT_PER_SECOND * (RUN_MS / 1000 + BURST_SECONDS)
    const used = Number(rows.find(({ offered, callers }) => offered === OFFERED.at(-1) && callers === 'even')?.ofLimit)
    return { rows, figures: { limitPerSecond: LIMIT_PER_SECOND, highest, most, used, usedBound: USED_BOUND }, ok: highest <= most && used >= USED_BOUND }
  }
}

function measure (workload: Workload, perSecond: number, callers: string, seed: number): Row {
  const bundle: Bundle = structuredClone(workload.deployment.bundle)
  for (const organisation of bundle.organisations) organisation.requestsPerSecond = LIMIT_PER_SECOND
  const arrivals = createArrivals(workload, { seed, perSecond, fromMs: WARM_UP_MS, forMs: RUN_MS })
    .map((arrival): Arrival => callers === 'even' ? arrival : { ...arrival, entryChoice: arrival.entryChoice / FEW_OF_EIGHT })
  const { fleet, sent } = runLoad({ workload, arrivals, placement: PlacementPolicy.Reserved, seed, bundle })
  const limited = fleet.history.of(RecordKind.RequestRefused).filter(({ refusal }: HistoryRecord) => refusal === RefusalKind.OrganisationLimit).length
  const passed = sent - limited
  const allowed = Math.min(LIMIT_PER_SECOND, perSecond) * RUN_MS / 1000
  return { offered: perSecond, callers, sent, passed, limited, ofLimit: Number((passed / allowed).toFixed(3)) }
}

/** Callers that know two of eight addresses only. */
const FEW_OF_EIGHT = 4
