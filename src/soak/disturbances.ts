import { seededRandom } from '../runtime/random.js'
import { EndlessBytes, sendEndless } from './endless-bytes.js'
import type { SoakFleet } from './soak-fleet.js'

/** What the users do and what servers do besides the faults of the machines. */
export enum Disturbance {
  SilentServer = 'silent-server',
  EndlessBytes = 'endless-bytes',
  ConfigurationSeries = 'configuration-series',
  HangupSeries = 'hangup-series'
}

/** Values between which the series of configurations change, in milliseconds. */
const TIMEOUTS_MS = [3000, 5000, 8000]
const IDLE_TIMEOUTS_MS = [2000, 6000, 15_000]

export const LOWEST_TIMEOUT_MS = Math.min(...TIMEOUTS_MS)
export const LOWEST_IDLE_TIMEOUT_MS = Math.min(...IDLE_TIMEOUTS_MS)

/** Number of changes in a series, and the time between two, in milliseconds. */
const SERIES_LENGTH = 4
const SERIES_PERIOD_MS = 250

/** Time for which a settings file is half written, in milliseconds. */
const HALF_WRITTEN_MS = 60

/** Mean time between two disturbances, in milliseconds. */
const DISTURBANCE_PERIOD_MS = 900

/** Number of different seeds for one disturbance. */
const SEEDS = 2 ** 30

interface DisturbanceContext {
  fleet: SoakFleet
  random: () => number
  pick: <T>(from: T[]) => T
}

const handlers: Record<Disturbance, (context: DisturbanceContext) => Promise<void>> = {
  [Disturbance.SilentServer]: async ({ fleet, random, pick }) => {
    pick(fleet.runners).standIn.silentUntilMs = performance.now() + 700 + 700 * random()
  },
  [Disturbance.EndlessBytes]: async ({ fleet, random, pick }) => {
    const { standIn } = pick(fleet.runners)
    const kind = pick(Object.values(EndlessBytes))
    const forMs = 500 + 1500 * random()
    const untilMs = performance.now() + forMs
    standIn.faultyAnswer = (id, response) => sendEndless(kind, { id, response, untilMs })
    await delay(forMs)
    standIn.faultyAnswer = null
  },
  [Disturbance.ConfigurationSeries]: async ({ fleet, pick }) => {
    for (let change = 0; change < SERIES_LENGTH; change += 1) {
      fleet.configure({ timeoutMs: pick(TIMEOUTS_MS), idleTimeoutMs: pick(IDLE_TIMEOUTS_MS) })
      await delay(SERIES_PERIOD_MS)
    }
  },
  [Disturbance.HangupSeries]: async ({ fleet, random }) => {
    const all = random() < 0.5
    const hungUp = fleet.instances.filter(() => all || random() < 0.5)
    for (let change = 0; change < SERIES_LENGTH; change += 1) {
      const half = random() < 0.5
      // A process that starts while its file is half written can't know its settings, and ends.
      const instances = hungUp.filter(({ started }) => started)
      for (const instance of instances) fleet.rewriteSettings(instance, { half })
      if (half) await delay(HALF_WRITTEN_MS)
      if (half) for (const instance of instances) fleet.rewriteSettings(instance)
      await delay(SERIES_PERIOD_MS)
    }
  }
}

/** Lets disturbances of all kinds overlap for a time, and returns those that happened. */
export async function runDisturbances (fleet: SoakFleet, durationMs: number, random: () => number): Promise<Disturbance[]> {
  const running: Array<Promise<void>> = []
  const happened: Disturbance[] = []
  for (let passedMs = 0; passedMs < durationMs;) {
    const pauseMs = 2 * DISTURBANCE_PERIOD_MS * random()
    passedMs += pauseMs
    await delay(pauseMs)
    const disturbance = pickFrom(Object.values(Disturbance), random)
    happened.push(disturbance)
    // Disturbances overlap; a generator for each keeps what they do independent of the time that the others take.
    const own = seededRandom(Math.floor(SEEDS * random()))
    running.push(handlers[disturbance]({ fleet, random: own, pick: (from) => pickFrom(from, own) }))
  }
  await Promise.all(running)
  return happened
}

function pickFrom<T> (from: T[], random: () => number): T {
  return from[Math.floor(random() * from.length)] as T
}

function delay (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
