import { PlacementPolicy } from '../board/board.js'
import { capacityOf, derivedSeed } from './capacity.js'
import type { Measurement, Row } from './measurement.js'
import { runLoad, WARM_UP_MS } from './run-load.js'
import { createArrivals, type Workload, workloads } from './workload.js'

const RUN_MS = 30000

/** Weights decide only where places are short. */
const LOAD_FACTOR = 1.5

const ROUNDS = 4

const settings = {
  wastedPrefill: { wastedPrefill: 4, goodput: 1 },
  goodput: { wastedPrefill: 1, goodput: 4 }
}

interface Total extends Row {
  good: number
  wastedShare: number
}

/** Goodput and wasted prefill of the same arrivals under two settings of the bundle's weights. */
export const weights: Measurement = {
  name: 'weights',
  summary: 'goodput and wasted prefill under the two settings of the weights of the bundle',
  run: ({ seed }) => {
    const pairs = workloads().map((workload) => ({
      cautious: measure(workload, 'wastedPrefill', seed),
      eager: measure(workload, 'goodput', seed)
    }))
    const ok = pairs.every(({ cautious, eager }) => eager.good > cautious.good && cautious.wastedShare < eager.wastedShare)
    const figures = { loadFactor: LOAD_FACTOR, rounds: ROUNDS, bound: 'the weight on goodput gives more good answers, the weight on wasted prefill a smaller wasted share' }
    return { rows: pairs.flatMap(({ cautious, eager }) => [cautious, eager]), figures, ok }
  }
}

function measure (workload: Workload, emphasis: keyof typeof settings, seed: number): Total {
  const bundle = { ...workload.deployment.bundle, weights: settings[emphasis] }
  const perSecond = capacityOf(workload).perSecond * LOAD_FACTOR
  const runs = Array.from({ length: ROUNDS }, (_, round) => {
    const runSeed = derivedSeed(seed, round)
    const arrivals = createArrivals(workload, { seed: runSeed, perSecond, fromMs: WARM_UP_MS, forMs: RUN_MS })
    return runLoad({ workload, arrivals, placement: PlacementPolicy.Reserved, seed: runSeed, bundle })
  })
  const sum = (field: 'answered' | 'computedTokens' | 'good' | 'refused' | 'sent' | 'wastedTokens'): number => runs.reduce((total, run) => total + run[field], 0)
  return {
    deployment: workload.name,
    emphasis,
    sent: sum('sent'),
    good: sum('good'),
    answered: sum('answered'),
    refused: sum('refused'),
    wastedShare: Number((sum('wastedTokens') / sum('computedTokens')).toFixed(4))
  }
}
