import { PlacementPolicy } from '../board/board.js'
import { capacityOf, derivedSeed } from './capacity.js'
import { discardedShare, type RunResult, wastedShare } from './goodput.js'
import type { Measurement, Row } from './measurement.js'
import { runPerfect } from './perfect-placement.js'
import { runLoad, WARM_UP_MS } from './run-load.js'
import { createArrivals, type Workload, workloads } from './workload.js'

const LOAD_FACTORS = [0.5, 1, 1.5, 2, 3]

const RUN_MS = 30000

const KILL_RUN_MS = 60000

const PERFECT = 'perfect'

/** Bounds of section 1.3 of the design page. */
const bounds = {
  wastedAtPeak: 0.01,
  wastedOfBetterBaseline: 0.1,
  wastedWithKills: 0.02,
  goodputOfPerfect: 0.95,
  goodputAtTripleLoad: 0.9
}

interface Point {
  deployment: string
  factor: number
  policy: string
  killed: boolean
  result: RunResult
}

/** Goodput and wasted prefill of the product, of the baselines and of perfect knowledge over load. */
export const load: Measurement = {
  name: 'load',
  summary: 'goodput and wasted prefill by load and placement policy, against perfect knowledge',
  run: ({ seed }) => {
    const points = workloads().flatMap((workload, index) => [
      ...LOAD_FACTORS.flatMap((factor) => measureFactor(workload, factor, derivedSeed(seed, index))),
      ...measureKills(workload, derivedSeed(seed, index))
    ])
    const checks = workloads().flatMap(({ name }) => checkBounds(points.filter(({ deployment }) => deployment === name)))
    const capacities = Object.fromEntries(workloads().map((workload) => [workload.name, capacityOf(workload)]))
    return { rows: points.map(rowOf), figures: { capacities, checks }, ok: checks.every(({ ok }) => ok) }
  }
}

function measureFactor (workload: Workload, factor: number, seed: number): Point[] {
  const perSecond = capacityOf(workload).perSecond * factor
  const arrivals = createArrivals(workload, { seed, perSecond, fromMs: WARM_UP_MS, forMs: RUN_MS })
  const about = { deployment: workload.name, factor, killed: false }
  const points = Object.values(PlacementPolicy).map((placement) => ({ ...about, policy: placement as string, result: runLoad({ workload, arrivals, placement, seed }) }))
  return [...points, { ...about, policy: PERFECT, result: runPerfect(workload, arrivals) }]
}

function measureKills (workload: Workload, seed: number): Point[] {
  const perSecond = capacityOf(workload).perSecond
  const arrivals = createArrivals(workload, { seed, perSecond, fromMs: WARM_UP_MS, forMs: KILL_RUN_MS })
  return Object.values(PlacementPolicy).map((placement) => ({
    deployment: workload.name, factor: 1, killed: true, policy: placement, result: runLoad({ workload, arrivals, placement, seed, killEntries: true })
  }))
}

function rowOf ({ deployment, factor, policy, killed, result }: Point): Row {
  return {
    deployment,
    load: factor,
    kills: killed,
    policy,
    sent: result.sent,
    good: result.good,
    answered: result.answered,
    refused: result.refused,
    lost: result.lost,
    wastedShare: Number(wastedShare(result).toFixed(4)),
    discardedShare: Number(discardedShare(result).toFixed(4))
  }
}

interface Check {
  deployment: string
  check: string
  value: number
  bound: number
  ok: boolean
}

function checkBounds (points: Point[]): Check[] {
  const deployment = points[0]?.deployment ?? ''
  const find = (policy: string, factor: number, killed = false): RunResult => {
    const point = points.find((one) => one.policy === policy && one.factor === factor && one.killed === killed)
    if (point === undefined) throw new Error(`no point ${policy} ${factor}`)
    return point.result
  }
  const product = PlacementPolicy.Reserved
  const atPeak = find(product, 1)
  const baseline = Math.min(wastedShare(find(PlacementPolicy.LeastLoad, 1)), wastedShare(find(PlacementPolicy.RoundRobin, 1)))
  const best = Math.max(...LOAD_FACTORS.map((factor) => find(product, factor).good))
  const atMost = (check: string, value: number, bound: number): Check => ({ deployment, check, value, bound, ok: value <= bound })
  const atLeast = (check: string, value: number, bound: number): Check => ({ deployment, check, value, bound, ok: value >= bound })
  return [
    atMost('wasted share at peak load', wastedShare(atPeak), bounds.wastedAtPeak),
    atMost('wasted share at peak load, against a tenth of the better baseline', wastedShare(atPeak), baseline * bounds.wastedOfBetterBaseline),
    atMost('wasted share at peak load with kills', wastedShare(find(product, 1, true)), bounds.wastedWithKills),
    atLeast('goodput at peak load over perfect knowledge', atPeak.good / find(PERFECT, 1).good, bounds.goodputOfPerfect),
    atLeast('goodput at triple load over the best load', find(product, 3).good / best, bounds.goodputAtTripleLoad)
  ]
}
