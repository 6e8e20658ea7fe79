import { serverKey } from '../standin/platform-entries.js'
import { LinkState } from './faulty-link.js'
import type { SoakFleet, SoakInstance } from './soak-fleet.js'

export enum SoakFault {
  Kill = 'kill',
  Terminate = 'terminate',
  Pause = 'pause',
  StoreLink = 'store-link',
  RunnerCrash = 'runner-crash',
  AnswersLost = 'answers-lost',
  Configuration = 'configuration'
}

interface FaultContext {
  fleet: SoakFleet
  random: () => number
  pick: <T>(from: T[]) => T
  /** Does something later; the soak waits for it before it ends. */
  later: (ms: number, action: () => void) => void
}

/** Pause before an ended process starts again, in milliseconds. */
const RESTART_MS = 500

/** A stopped process ends within its grace of eight seconds, in milliseconds. */
const GRACE_MS = 8200

/** Time after a pause in which a process catches up, in milliseconds. */
const THAW_MS = 200

function touch (instance: SoakInstance): SoakInstance {
  instance.touchedMs = performance.now()
  return instance
}

function restartAtExit ({ fleet, later }: FaultContext, instance: SoakInstance): void {
  const ended = instance.process
  // A process may be both stopped and killed; it is started again once.
  ended.once('exit', () => later(RESTART_MS, () => { if (instance.process === ended) fleet.restart(instance) }))
}

/** What each fault does; several may overlap. */
export const faultHandlers: Record<SoakFault, (context: FaultContext) => void> = {
  [SoakFault.Kill]: (context) => {
    const instance = touch(context.pick(context.fleet.instances))
    if (instance.process.exitCode !== null || instance.process.signalCode !== null) return
    restartAtExit(context, instance)
    context.fleet.end(instance, instance.process, 'SIGKILL')
  },
  [SoakFault.Terminate]: (context) => {
    const instance = touch(context.pick(context.fleet.instances))
    if (instance.process.exitCode !== null || instance.process.signalCode !== null) return
    const stopped = instance.process
    restartAtExit(context, instance)
    context.fleet.end(instance, stopped, 'SIGTERM')
    context.later(GRACE_MS, () => context.fleet.end(instance, stopped, 'SIGKILL'))
  },
  [SoakFault.Pause]: ({ fleet, random, pick, later }) => {
    const instance = touch(pick(fleet.instances))
    const paused = instance.process
    const cut = { fromMs: performance.now(), toMs: Infinity }
    instance.cuts.push(cut)
    paused.kill('SIGSTOP')
    later(500 + 2500 * random(), () => {
      touch(instance)
      paused.kill('SIGCONT')
      cut.toMs = performance.now() + THAW_MS
    })
  },
  [SoakFault.StoreLink]: ({ fleet, random, pick, later }) => {
    const instance = touch(pick(fleet.instances))
    instance.link.enter(pick(Object.values(LinkState)))
    later(1000 + 3000 * random(), () => {
      touch(instance)
      instance.link.enter(LinkState.Sound)
    })
  },
  [SoakFault.RunnerCrash]: ({ fleet, pick, later }) => {
    const index = fleet.runners.indexOf(pick(fleet.runners))
    const runner = fleet.runners[index]
    if (runner === undefined || !runner.standIn.server.listening) return
    runner.standIn.crash()
    later(800, () => fleet.store.remove(serverKey(runner.id)))
    later(1500, () => { fleet.startRunner(index, runner.stage).catch((error: unknown) => { process.stderr.write(`runner: ${String(error)}\n`) }) })
  },
  [SoakFault.AnswersLost]: ({ fleet, pick, later }) => {
    const { standIn } = pick(fleet.runners)
    standIn.lostShare = 0.3
    later(1500, () => { standIn.lostShare = 0 })
  },
  [SoakFault.Configuration]: ({ fleet }) => { fleet.configure() }
}
