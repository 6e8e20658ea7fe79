import { expect, test } from '@jest/globals'
import { RunnerRole } from '../../src/board/backend-server.js'
import { bundleSchema, type Model } from '../../src/bundles/bundle.js'
import { MAX_CONCURRENT_LOADS, type PlannedRunner, planOrders } from '../../src/orders/order-plan.js'

const DOMAINS = ['a', 'b', 'c']

function modelOf (fields: Partial<Model>): Model {
  const base = { name: 'm', service: 's', prefillRunners: 6, decodeRunners: 6, minimumRunners: 5 }
  return bundleSchema.shape.models.element.parse({ ...base, ...fields })
}

function createRunners (count: number, model = 'm', version = '1'): PlannedRunner[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `r${String(index).padStart(2, '0')}`,
    failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
    orderPending: false,
    state: {
      role: index < count / 2 ? RunnerRole.Prefill : RunnerRole.Decode,
      models: [{ model, version, adapters: [] }],
      busy: false,
      failed: false,
      fence: 0
    }
  }))
}

const servingRunners = (runners: PlannedRunner[]): PlannedRunner[] => runners.filter(({ state }) => state !== null && !state.busy && !state.failed)

/** Carries out the planned steps until none is left, finishing one load at a time; checks every state and returns the number of steps. */
function rollOut (models: Model[], runners: PlannedRunner[], check: () => void): number {
  let changes = 0
  for (let round = 0; round < 200; round += 1) {
    const steps = planOrders(models, runners)
    for (const { server, role, models: loaded } of steps) {
      const runner = runners.find(({ id }) => id === server)
      if (runner === undefined) throw new Error(server)
      runner.state = { role, models: loaded, busy: true, failed: false, fence: 0 }
      changes += 1
    }
    check()
    const loading = runners.find(({ state }) => state?.busy === true)
    if (loading === undefined || loading.state === null) return changes
    loading.state.busy = false
  }
  throw new Error('the plan still has steps after 200 rounds')
}

test('a rollout keeps the minimum and a serving runner in every failure domain, limits the concurrent loads and orders each runner once', () => {
  const runners = createRunners(12)
  const changes = rollOut([modelOf({ version: '2', adapters: ['x'] })], runners, () => {
    const serving = servingRunners(runners)
    for (const role of [RunnerRole.Prefill, RunnerRole.Decode]) expect(serving.filter(({ state }) => state?.role === role).length).toBeGreaterThanOrEqual(5)
    expect(new Set(serving.map(({ failureDomain }) => failureDomain)).size).toBe(3)
    expect(runners.length - serving.length).toBeLessThanOrEqual(MAX_CONCURRENT_LOADS)
  })
  expect(changes).toBe(12)
  expect(runners.every(({ state }) => state?.models[0]?.version === '2' && state.models[0].adapters[0] === 'x')).toBe(true)
})

test('a failure domain with two runners of a model keeps a serving runner throughout a rollout', () => {
  // Runners that are changed one after the other share a failure domain.
  const runners = createRunners(6).map((runner, index) => ({ ...runner, failureDomain: DOMAINS[Math.floor(index / 2)] ?? '' }))
  rollOut([modelOf({ version: '2', prefillRunners: 3, decodeRunners: 3, minimumRunners: 1 })], runners, () => {
    expect(new Set(servingRunners(runners).map(({ failureDomain }) => failureDomain)).size).toBe(3)
  })
  expect(runners.every(({ state }) => state?.models[0]?.version === '2')).toBe(true)
})

test('roles and models get their wanted counts, and no more runners are changed than needed', () => {
  const runners = createRunners(12)
  const models = [modelOf({ prefillRunners: 4, decodeRunners: 5, minimumRunners: 3 }), modelOf({ name: 'n', prefillRunners: 1, decodeRunners: 2, minimumRunners: 1 })]
  expect(rollOut(models, runners, () => undefined)).toBe(3)
  const count = (model: string, role: RunnerRole): number => runners.filter(({ state }) => state?.role === role && state.models[0]?.model === model).length
  expect([count('m', RunnerRole.Prefill), count('m', RunnerRole.Decode), count('n', RunnerRole.Prefill), count('n', RunnerRole.Decode)]).toEqual([4, 5, 1, 2])
})

test('no serving runner is changed while a runner has failed, and the failed one gets an order', () => {
  const runners = createRunners(12)
  const [first, second] = runners
  if (first?.state === null || first === undefined || second === undefined) throw new Error()
  first.state.failed = true
  expect(planOrders([modelOf({ version: '2' })], runners).map(({ server }) => server)).toEqual(['r00'])
  second.state = null
  expect(planOrders([modelOf({ version: '2' })], runners).map(({ server }) => server)).toEqual(['r00'])
})
