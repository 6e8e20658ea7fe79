import { RunnerRole } from '../board/backend-server.js'
import type { Model } from '../bundles/bundle.js'
import type { ModelSpec, RunnerState } from './order-event.js'

/** Largest number of runners of one pool that load models at the same time, because the throughput of the weight store is limited. */
export const MAX_CONCURRENT_LOADS = 2

/** What the planner knows of a runner. */
export interface PlannedRunner {
  id: string
  failureDomain: string
  /** Null if the runner could not be read; it then counts as not serving and gets no orders. */
  state: RunnerState | null
  /** True if an order was sent whose effect has not been read back. */
  orderPending: boolean
}

/** The role that a runner is ordered to take and the models that it is ordered to load. */
export interface OrderStep {
  server: string
  role: RunnerRole
  models: ModelSpec[]
}

/** The runners that serve one model in one role, and how many of them the bundle wants. */
interface RunnerGroup {
  model: Model
  role: RunnerRole
  wanted: number
}

/**
 * Returns the next few steps that bring the runners closer to what the bundle wants. The steps depend only on the arguments.
 * No step takes a model and role below its minimum or takes a model's last serving runner from a failure domain with several runners.
 * While a runner has failed, serving runners are not changed; runners that do not serve may always be corrected.
 */
export function planOrders (models: Model[], runners: PlannedRunner[], maxConcurrentLoads = MAX_CONCURRENT_LOADS): OrderStep[] {
  const groups = models.flatMap(groupsOf)
  const currentGroups = new Map(runners.map((runner) => [runner.id, groupOf(groups, runner)]))
  const targets = assignTargets(groups, runners, currentGroups)
  const anyFailed = runners.some(({ state }) => state?.failed === true)
  const notServing = new Set(runners.filter((runner) => !isServing(runner)).map(({ id }) => id))
  const steps: OrderStep[] = []
  let loadsInProgress = runners.filter(({ state, orderPending }) => orderPending || state?.busy === true).length
  for (const runner of sortByChangePriority(runners)) {
    const target = targets.get(runner.id)
    if (loadsInProgress >= maxConcurrentLoads) break
    if (target === undefined || runner.state === null || runner.orderPending || runner.state.busy) continue
    if (matchesTarget(runner.state, target)) continue
    const serving = !notServing.has(runner.id)
    if (serving && (anyFailed || !mayStopServing(runner, currentGroups.get(runner.id), runners, notServing, currentGroups))) continue
    notServing.add(runner.id)
    loadsInProgress += 1
    steps.push({ server: runner.id, role: target.role, models: [modelSpecOf(target.model)] })
  }
  return steps
}

/** The name, version and adapters that a runner of the model must have loaded. */
export function modelSpecOf ({ name, version, adapters }: Model): ModelSpec {
  return { model: name, version, adapters: [...adapters].sort() }
}

function groupsOf (model: Model): RunnerGroup[] {
  return [
    { model, role: RunnerRole.Prefill, wanted: model.prefillRunners },
    { model, role: RunnerRole.Decode, wanted: model.decodeRunners }
  ]
}

function isServing ({ state, orderPending }: PlannedRunner): boolean {
  return state !== null && !orderPending && !state.busy && !state.failed && state.models.length > 0
}

/** The group that the runner belongs to now, by its model and role; the version that it has loaded does not matter. */
function groupOf (groups: RunnerGroup[], { state }: PlannedRunner): RunnerGroup | undefined {
  return groups.find(({ model, role }) => state?.role === role && state.models.some((loaded) => loaded.model === model.name))
}

function matchesTarget (state: RunnerState, { model, role }: RunnerGroup): boolean {
  const loaded = state.models[0]
  if (state.failed || state.role !== role || state.models.length !== 1 || loaded === undefined) return false
  const wantedSpec = modelSpecOf(model)
  return loaded.model === wantedSpec.model && loaded.version === wantedSpec.version && [...loaded.adapters].sort().join() === wantedSpec.adapters.join()
}

/** Keeps runners in their present group, up to its wanted count, and assigns the others to groups that lack runners. */
function assignTargets (groups: RunnerGroup[], runners: PlannedRunner[], currentGroups: Map<string, RunnerGroup | undefined>): Map<string, RunnerGroup> {
  const targets = new Map<string, RunnerGroup>()
  const remainingByGroup = new Map(groups.map((group) => [group, group.wanted]))
  const unassigned: PlannedRunner[] = []
  for (const runner of [...runners].sort(byId)) {
    const group = currentGroups.get(runner.id)
    const remaining = group === undefined ? 0 : remainingByGroup.get(group) ?? 0
    if (group === undefined || remaining === 0) {
      unassigned.push(runner)
      continue
    }
    remainingByGroup.set(group, remaining - 1)
    targets.set(runner.id, group)
  }
  for (const runner of unassigned) {
    const group = groupWithLargestShortage(groups, remainingByGroup)
    // If there are more runners than the bundle wants, the rest keep their model and role, at the bundle's version.
    const target = group ?? currentGroups.get(runner.id)
    if (target === undefined) continue
    if (group !== null) remainingByGroup.set(group, (remainingByGroup.get(group) ?? 0) - 1)
    targets.set(runner.id, target)
  }
  return targets
}

/** The group that lacks the largest share of its wanted runners, or null if none lacks any. */
function groupWithLargestShortage (groups: RunnerGroup[], remainingByGroup: Map<RunnerGroup, number>): RunnerGroup | null {
  let largest: RunnerGroup | null = null
  for (const group of groups) {
    const remaining = remainingByGroup.get(group) ?? 0
    if (remaining > 0 && remaining / group.wanted > (largest === null ? 0 : (remainingByGroup.get(largest) ?? 0) / largest.wanted)) largest = group
  }
  return largest
}

/** Sorts the runners that do not serve first, because changing them costs no capacity. */
function sortByChangePriority (runners: PlannedRunner[]): PlannedRunner[] {
  return [...runners].sort((a, b) => Number(isServing(a)) - Number(isServing(b)) || byId(a, b))
}

/** Whether, without the runner, its group still has its minimum of serving runners and its failure domain one that serves the model. */
function mayStopServing (runner: PlannedRunner, group: RunnerGroup | undefined, runners: PlannedRunner[], notServing: Set<string>, currentGroups: Map<string, RunnerGroup | undefined>): boolean {
  if (group === undefined) return true
  const otherServing = runners.filter(({ id }) => id !== runner.id && !notServing.has(id))
  const servingInGroup = otherServing.filter(({ id }) => currentGroups.get(id) === group).length
  if (servingInGroup < Math.min(group.model.minimumRunners, group.wanted)) return false
  const domainStaysServed = otherServing.some(({ id, failureDomain }) => failureDomain === runner.failureDomain && currentGroups.get(id)?.model === group.model)
  // A failure domain with a single runner can't keep a serving one while that runner changes.
  const onlyRunnerInDomain = !runners.some(({ id, failureDomain }) => id !== runner.id && failureDomain === runner.failureDomain)
  return domainStaysServed || onlyRunnerInDomain
}

function byId (a: PlannedRunner, b: PlannedRunner): number {
  return a.id < b.id ? -1 : 1
}
