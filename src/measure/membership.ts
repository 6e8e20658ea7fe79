import { MemberState } from '../board/member.js'
import type { Measurement, Row } from './measurement.js'
import { MembershipModel, type ModelInstance, type ViewChange } from './membership-model.js'

/** Longer than the settling of all incarnations after a common start. */
const SETTLE_MS = 30000

/** After a common start of all instances each one's incarnation is still being repeated for a while. */
const COMMON_START_MS = 60000

/** Half of what a daemon may use for all control. */
const MAX_BYTES_PER_SECOND = 1500
const MAX_CORE_PERCENT = 0.55

/** Engine memory of a dead owner must be free 5 s after the death; the release itself needs some of that. */
const MAX_DETECTION_MS = 4500

/** Many deaths at once share the room in messages. */
const MAX_MASS_DETECTION_MS = 5000

const MAX_HEALING_MS = 30000

/** Share of false suspicions that may end in a false death at 20% loss, and of 2-second pauses. */
const MAX_FALSE_SHARE = 0.05

/** Detection, false suspicions and cost of membership in a model with a virtual clock. */
export const membership: Measurement = {
  name: 'membership',
  summary: 'detection times, false deaths, healing of a cut and cost of membership',
  run: ({ seed }) => {
    const detection = [9, 90, 360].map((instances) => measureDeaths(seed, instances))
    const quiet = [0.01, 0.05, 0.2].flatMap((loss) => [9, 90].map((instances) => measureLoss(seed, instances, loss)))
    const pauses = [1500, 2000, 3000].flatMap((pauseMs) => [9, 90].map((instances) => measurePauses(seed, instances, pauseMs)))
    const mass = measureMassDeath(seed)
    const cut = measureCut(seed)
    const cost = [9, 90, 360].map((instances) => measureCost(seed, instances))
    const ok = detection.every((row) => Number(row.lastMs) <= MAX_DETECTION_MS) && Number(mass.lastMs) <= MAX_MASS_DETECTION_MS &&
      Number(cut.healedMs) <= MAX_HEALING_MS &&
      quiet.every((row) => Number(row.falseDeaths) <= Number(row.falseSuspicions) * (Number(row.loss) > 0.05 ? MAX_FALSE_SHARE : 0)) &&
      pauses.every((row) => Number(row.pauseMs) > 2000 || Number(row.falseDeaths) <= Number(row.pauses) * (Number(row.pauseMs) > 1500 ? MAX_FALSE_SHARE : 0)) &&
      cost.every((row) => Number(row.bytesPerSecond) <= MAX_BYTES_PER_SECOND && Number(row.corePercent) <= MAX_CORE_PERCENT)
    const rows = [...detection, mass, ...quiet, ...pauses, cut, ...cost]
    return { rows, figures: { firstMeanMs: detection.map((row) => row.firstMeanMs), lastMs: detection.map((row) => row.lastMs), healedMs: cut.healedMs, bytesPerSecond: cost.map((row) => row.bytesPerSecond), corePercent: cost.map((row) => row.corePercent) }, ok }
  }
}

function settled (seed: number, instances: number, loss = 0): MembershipModel {
  const model = new MembershipModel({ instances, seed, loss })
  model.runFor(SETTLE_MS)
  model.changes.length = 0
  return model
}

function choose (model: MembershipModel): ModelInstance {
  const up = model.instances.filter((instance) => instance.up)
  return up[Math.floor(model.random() * up.length)] as ModelInstance
}

/** One death after the other, each followed by a restart: when the first and the last instance knew. */
function measureDeaths (seed: number, instances: number): Row {
  const model = settled(seed, instances)
  const first: number[] = []
  const last: number[] = []
  for (let death = 0; death < (instances > 100 ? 3 : 20); death += 1) {
    const victim = choose(model)
    const diedMs = model.nowMs
    model.changes.length = 0
    model.kill(victim)
    model.runFor(8000 + model.random() * 1000)
    const known = deathsOf(model.changes, victim.id).map((change) => change.atMs - diedMs)
    first.push(known[0] ?? Infinity)
    last.push(known.length < instances - 1 ? Infinity : Math.max(...known))
    model.restart(victim)
    model.runFor(5000)
  }
  return { scenario: 'single deaths', instances, deaths: first.length, firstMeanMs: mean(first), lastMeanMs: mean(last), lastMs: Math.round(Math.max(...last)) }
}

function measureLoss (seed: number, instances: number, loss: number): Row {
  const model = settled(seed, instances, loss)
  const forMs = 200000 / Math.sqrt(instances)
  model.runFor(forMs)
  const hours = instances * forMs / 3600000
  return { scenario: 'loss', instances, loss, instanceHours: round(hours), ...falseChanges(model) }
}

/** Every second one instance stops for a while. */
function measurePauses (seed: number, instances: number, pauseMs: number): Row {
  const model = settled(seed, instances)
  const pauses = 25
  for (let pause = 0; pause < pauses; pause += 1) {
    model.pause(choose(model), pauseMs)
    model.runFor(pauseMs + 1000 + model.random() * 1000)
  }
  return { scenario: 'pauses', instances, pauseMs, pauses, ...falseChanges(model), wrongViewsAfter10s: after10s(model) }
}

function after10s (model: MembershipModel): number {
  model.runFor(10000)
  return model.wrongViews()
}

/** A third of the instances, one whole failure domain, dies at once. */
function measureMassDeath (seed: number): Row {
  const model = settled(seed, 90)
  const victims = model.instances.filter(({ failureDomain }) => failureDomain === 'mu-north-a')
  const diedMs = model.nowMs
  const bytes = totalBytes(model)
  for (const victim of victims) model.kill(victim)
  model.runFor(10000)
  const last = victims.map((victim) => {
    const known = deathsOf(model.changes, victim.id).filter(({ observer }) => !victims.some(({ id }) => id === observer))
    return known.length < 60 ? Infinity : Math.max(...known.map(({ atMs }) => atMs - diedMs))
  })
  const falseDeaths = model.changes.filter(({ to, member }) => to === MemberState.Dead && !victims.some(({ id }) => id === member)).length
  return {
    scenario: 'failure domain dies',
    instances: 90,
    deaths: victims.length,
    lastMeanMs: mean(last),
    lastMs: Math.round(Math.max(...last)),
    falseDeaths,
    bytesPerSecond: Math.round((totalBytes(model) - bytes) / 60 / 10)
  }
}

/** One failure domain is cut off for a minute; then all views must be right again. */
function measureCut (seed: number): Row {
  const model = settled(seed, 90)
  model.cut = (from, to) => (from.failureDomain === 'mu-north-a') !== (to.failureDomain === 'mu-north-a')
  model.runFor(60000)
  const wrongDuringCut = model.wrongViews()
  model.cut = () => false
  const healMs = model.nowMs
  while (model.wrongViews() > 0 && model.nowMs - healMs < 120000) model.runFor(100)
  return { scenario: 'cut of a failure domain', instances: 90, wrongDuringCut, healedMs: Math.round(model.nowMs - healMs), wrongAfter: model.wrongViews() }
}

/** Cost without failures; processor time is that of the whole model, so an upper bound without the sockets. */
function measureCost (seed: number, instances: number): Row {
  const model = settled(seed, instances)
  model.runFor(COMMON_START_MS)
  const bytes = totalBytes(model)
  const messages = model.instances.reduce((sum, { sentMessages }) => sum + sentMessages, 0)
  const started = process.cpuUsage()
  const seconds = 30
  model.runFor(seconds * 1000)
  const { user, system } = process.cpuUsage(started)
  const share = instances * seconds
  return {
    scenario: 'cost',
    instances,
    // Every byte is sent by one instance and received by another.
    bytesPerSecond: Math.round(2 * (totalBytes(model) - bytes) / share),
    messagesPerSecond: round(2 * (model.instances.reduce((sum, { sentMessages }) => sum + sentMessages, 0) - messages) / share),
    corePercent: round((user + system) / share / 10000)
  }
}

function totalBytes (model: MembershipModel): number {
  return model.instances.reduce((sum, { sentBytes }) => sum + sentBytes, 0)
}

function falseChanges (model: MembershipModel): Row {
  const count = (state: MemberState): number => new Set(model.changes.filter(({ to }) => to === state).map(({ member, atMs }) => `${member} ${Math.floor(atMs / 5000)}`)).size
  return { falseSuspicions: count(MemberState.Suspect), falseDeaths: count(MemberState.Dead) }
}

function deathsOf (changes: ViewChange[], id: string): ViewChange[] {
  return changes.filter(({ to, member }) => to === MemberState.Dead && member === id)
}

function mean (values: number[]): number {
  return Math.round(values.reduce((sum, value) => sum + value, 0) / values.length)
}

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}
