import { request } from 'node:http'
import { seededRandom } from '../runtime/random.js'
import type { CallEnd } from '../standin/platform-call.js'
import { PlatformCallerStandIn } from '../standin/platform-caller-standin.js'
import { faultHandlers, SoakFault } from './soak-faults.js'
import { SoakFleet, type SoakInstance } from './soak-fleet.js'
import { LeavingRunners } from './leaving-runners.js'
import { type Disturbance, LOWEST_IDLE_TIMEOUT_MS, LOWEST_TIMEOUT_MS, runDisturbances } from './disturbances.js'
import { lostCalls } from './lost-calls.js'
import { ProcessWatch } from './process-watch.js'
import { SlowCaller, UPLOAD_LIMIT_BYTES } from './slow-callers.js'
import { StoreReturns } from './store-returns.js'
import { SoakLedger } from './soak-ledger.js'
import { callerKey, removedKey, rotatingKey } from './soak-organisations.js'

/** Time for the fleet to become ready, in milliseconds. */
const START_MS = 2500

/** Time after the last fault until service must be good again, in milliseconds: restarts, a stop within its grace, heartbeats. */
const RECOVERY_MS = 10000

/** Time in which the share of good answers is judged after that, in milliseconds. */
const CALM_MS = 2500

/** Share of calls that must be answered in the calm time. */
const CALM_SHARE = 0.95

/** Time in which a configuration must be in force on an untouched instance, in milliseconds. */
const APPLY_MS = 2000

/** Time without faults after which an instance counts as untouched, in milliseconds. */
const UNTOUCHED_MS = 5000

/** Work of callers that are gone must have ended after this time, in milliseconds. */
const RELEASE_MS = 1000

/** Distance between the seeds of the faults and of the servers that leave. */
const LEAVING_SEED_OFFSET = 1_000_003

/** Distance between the seeds of the faults and of the returns of the store. */
const RETURNS_SEED_OFFSET = 2_000_003

/** Distance between the seeds of the faults and of the disturbances, and of the callers. */
const DISTURBANCES_SEED_OFFSET = 3_000_003
const SLOW_CALLERS_SEED_OFFSET = 4_000_003
const CALLERS_SEED_OFFSET = 5_000_003

/** Memory of each instance, in MB; the smallest instances of the users have as much. */
const MEMORY_MB = 178

/** Share of the runners' answers that end with their connection. */
const UNFRAMED_SHARE = 0.3

/** Callers that upload and read slowly. */
const SLOW_CALLERS = 6

/** Share of the idle timeout for which callers leave a connection idle. */
const IDLE_SHARE = 0.8

interface SoakOptions {
  seed: number
  faultsMs: number
  instances: number
  callers: number
  folder: string
}

export interface SoakOutcome {
  seed: number
  calls: number
  good: number
  faults: SoakFault[]
  disturbances: Disturbance[]
  /** Highest resident memory of a process, in MB. */
  peakMb: number
  violations: string[]
}

/** Plays one seed: callers, a series of overlapping faults, recovery, and the judgement. */
export async function runSoak (options: SoakOptions): Promise<SoakOutcome> {
  const random = seededRandom(options.seed)
  const ledger = new SoakLedger()
  const fleet = new SoakFleet({ folder: options.folder, net: `77.${options.seed % 250}`, instances: options.instances, ledger, memoryMb: MEMORY_MB, limits: { bodyBytes: UPLOAD_LIMIT_BYTES }, unframedShare: UNFRAMED_SHARE, withOrganisations: true })
  const watch = new ProcessWatch({ fleet, memoryMb: MEMORY_MB })
  const violations: string[] = []
  try {
    await fleet.start()
    watch.start()
    await delay(START_MS)
    const callers = [...createCallers(fleet, ledger, options), ...createSlowCallers(fleet, ledger, options)]
    const running = Promise.all(callers.map((caller) => caller.run()))
    const leaving = new LeavingRunners({ fleet })
    // A generator of its own, so that the seeds that failed once keep their series of faults.
    const leaves = leaving.run(options.faultsMs, seededRandom(options.seed + LEAVING_SEED_OFFSET))
    const returns = new StoreReturns({ fleet }).run(options.faultsMs, seededRandom(options.seed + RETURNS_SEED_OFFSET))
    const disturbed = runDisturbances(fleet, options.faultsMs, seededRandom(options.seed + DISTURBANCES_SEED_OFFSET))
    const faults = await injectFaults(fleet, random, options.faultsMs, violations)
    const [disturbances] = await Promise.all([disturbed, leaves, returns])
    await delay(RECOVERY_MS)
    violations.push(...await unknownRoutes(fleet))
    const before = ledger.ends.length
    await delay(CALM_MS)
    const calm = ledger.ends.slice(before)
    if (shareGood(calm) < CALM_SHARE) violations.push(`after recovery only ${calm.filter(isGood).length} of ${calm.length} calls were answered`)
    for (const caller of callers) caller.stop()
    await running
    await delay(RELEASE_MS)
    const held = fleet.runners.reduce((sum, { standIn }) => sum + standIn.active, 0)
    if (held > 0) violations.push(`${held} runs are still at work for callers that are gone`)
    watch.stop()
    const lost = lostCalls({ ledger, instances: fleet.instances, lowestTimeoutMs: LOWEST_TIMEOUT_MS, evictions: (ip) => evictions(fleet, ip) })
    violations.push(...ledger.violations(), ...leaving.violations(ledger), ...watch.violations(), ...lost)
    return { seed: options.seed, calls: ledger.ends.length, good: ledger.ends.filter(isGood).length, faults, disturbances, peakMb: watch.peakMb, violations }
  } finally {
    watch.stop()
    await fleet.stop()
  }
}

type SoakCaller = Pick<PlatformCallerStandIn, 'run' | 'stop'>

/** Callers draw numbers at times that differ from run to run, so a generator of their own keeps the series of faults of a seed. */
function createCallers (fleet: SoakFleet, ledger: SoakLedger, { seed, callers }: SoakOptions): SoakCaller[] {
  const random = seededRandom(seed + CALLERS_SEED_OFFSET)
  return Array.from({ length: callers }, (_, index) =>
    new PlatformCallerStandIn({ name: `s${seed}c${index}`, key: callerKey(index), directories: fleet.directories, onEnd: (end) => ledger.ends.push(end), random }))
}

function createSlowCallers (fleet: SoakFleet, ledger: SoakLedger, { seed }: SoakOptions): SoakCaller[] {
  const random = seededRandom(seed + SLOW_CALLERS_SEED_OFFSET)
  return Array.from({ length: SLOW_CALLERS }, (_, index) => new SlowCaller({
    name: `s${seed}w${index}`,
    key: callerKey(index),
    addresses: fleet.instances.map((instance) => fleet.callers(instance)),
    onEnd: (end) => ledger.ends.push(end),
    random,
    idleMs: IDLE_SHARE * LOWEST_IDLE_TIMEOUT_MS
  }))
}

/** How many exchanges an instance has ended because its buffers were full. */
function evictions (fleet: SoakFleet, ip: string): number {
  const instance = fleet.instances.find((one) => one.ip === ip)
  return instance === undefined ? 0 : fleet.logOf(instance).split('buffers.exceeded').length - 1
}

async function injectFaults (fleet: SoakFleet, random: () => number, forMs: number, violations: string[]): Promise<SoakFault[]> {
  const pick = <T>(from: T[]): T => from[Math.floor(random() * from.length)] as T
  const pending: Array<Promise<void>> = []
  const later = (ms: number, action: () => void): void => { pending.push(delay(ms).then(action)) }
  const faults: SoakFault[] = []
  for (let passedMs = 0; passedMs < forMs;) {
    const fault = pick(Object.values(SoakFault))
    faults.push(fault)
    faultHandlers[fault]({ fleet, random, pick, later })
    if (fault === SoakFault.Configuration) pending.push(checkApplied(fleet, fleet.configure(), violations))
    const pauseMs = 200 + 1200 * random()
    passedMs += pauseMs
    await delay(pauseMs)
  }
  for (let done = 0; done < pending.length; done += 1) await pending[done]
  return faults
}

/** Judges instances that no fault touched from a while before the change until its route and its keys had to be in force. */
async function checkApplied (fleet: SoakFleet, path: string, violations: string[]): Promise<void> {
  const sinceMs = performance.now() - UNTOUCHED_MS
  const { version } = fleet
  await delay(APPLY_MS)
  for (const instance of fleet.instances) {
    if (instance.touchedMs > sinceMs) continue
    const status = await statusOf(fleet, instance, path, rotatingKey(version))
    const removedStatus = await statusOf(fleet, instance, path, removedKey(version))
    if (instance.touchedMs > sinceMs) continue
    if (status === 404) violations.push(`${instance.ip} does not know ${path} ${APPLY_MS} ms after it was accepted`)
    if (status === 401) violations.push(`${instance.ip} does not know the key of version ${version} ${APPLY_MS} ms after it was accepted`)
    if (removedStatus === 200) violations.push(`${instance.ip} served a key that version ${version} had removed`)
  }
}

/** Judges after the recovery whether all instances have the newest configuration, also if the store had lost it for a while. */
async function unknownRoutes (fleet: SoakFleet): Promise<string[]> {
  const path = fleet.newestPath
  const statuses = await Promise.all(fleet.instances.map((instance) => statusOf(fleet, instance, path, rotatingKey(fleet.version))))
  return fleet.instances.filter((_instance, index) => statuses[index] === 404 || statuses[index] === 401).map(({ ip }) => `${ip} does not know ${path} or its key after the recovery`)
}

/** Status of an instance's answer; 0 without one. */
function statusOf (fleet: SoakFleet, instance: SoakInstance, path: string, key: string): Promise<number> {
  return new Promise((resolve) => {
    const asked = request(`http://${fleet.callers(instance)}${path}x`, { headers: { Host: 'soak.example', 'X-Key': key }, timeout: 1500 }, (answer) => {
      answer.resume()
      resolve(answer.statusCode ?? 0)
    })
    asked.on('timeout', () => asked.destroy())
    asked.on('error', () => resolve(0))
    asked.end()
  })
}

function isGood ({ status, fault }: CallEnd): boolean {
  return status === 200 && fault === null
}

function shareGood (ends: CallEnd[]): number {
  return ends.length === 0 ? 0 : ends.filter(isGood).length / ends.length
}

function delay (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
