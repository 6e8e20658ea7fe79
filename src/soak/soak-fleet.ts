import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { Server } from 'node:net'
import { configurationKey, platformConfiguration, platformServer, serverKey } from '../standin/platform-entries.js'
import { PlatformRunnerStandIn, RunnerStage } from '../standin/platform-runner-standin.js'
import { PlatformStoreStandIn } from '../standin/platform-store-standin.js'
import { FaultyLink } from './faulty-link.js'
import { organisationsOf } from './soak-organisations.js'
import { UnexpectedExits } from './unexpected-exits.js'
import type { SoakLedger } from './soak-ledger.js'

/** Limit of the heap in the deploy file, in MB. */
const HEAP_MB = 90

/** Ports of the programs on their loopback addresses. */
export const PORTS = { callers: 7101, readiness: 7102, directory: 7103, peers: 7104, metrics: 7105, store: 7106, runner: 7107 }

/** What the fleet's configurations set for all routes and callers, in milliseconds and bytes. */
interface FleetLimits {
  timeoutMs?: number
  idleTimeoutMs?: number
  bodyBytes?: number
}

interface SoakFleetOptions {
  folder: string
  /** Second and third part of the loopback addresses, so that fleets don't meet. */
  net: string
  instances: number
  ledger: SoakLedger
  /** Time from SIGTERM to SIGKILL in the settings of the instances, in seconds. */
  graceS?: number
  /** Memory of each instance, in MB; their heaps are limited as in the deploy file. */
  memoryMb?: number
  /** Limit of each instance's heap, in MB; that of the deploy file by default. */
  heapMb?: number
  /** Largest number of open descriptors of each instance; that of this process by default. */
  descriptors?: number
  /** Limits of the first configuration; the usual ones by default. */
  limits?: FleetLimits
  /** Share of the runners' answers that end with their connection; none by default. */
  unframedShare?: number
  /** Whether the configurations have organisations, so that callers need keys. */
  withOrganisations?: boolean
}

export interface SoakInstance {
  ip: string
  process: ChildProcess
  /** Whether the process has started its listeners, and with them its handlers of signals. */
  started: boolean
  /** Spans in which the process was killed or did not run, in milliseconds of the steady clock. */
  cuts: Array<{ fromMs: number, toMs: number }>
  link: FaultyLink
  /** When a fault last touched it, in milliseconds of the steady clock. */
  touchedMs: number
}

/** Real gateway processes on loopback addresses with stand-ins for the store and the backend servers. */
export class SoakFleet {
  readonly store = new PlatformStoreStandIn()
  readonly runners: Array<{ id: string, ip: string, service: string, stage: RunnerStage, standIn: PlatformRunnerStandIn }> = []
  readonly instances: SoakInstance[] = []
  readonly #options: SoakFleetOptions
  readonly #added: string[] = []
  readonly unexpectedExits = new UnexpectedExits()
  #limits: FleetLimits
  #version = 1

  constructor (options: SoakFleetOptions) {
    this.#options = options
    this.#limits = options.limits ?? {}
    mkdirSync(options.folder, { recursive: true })
  }

  get directories (): string[] {
    return this.instances.map(({ ip }) => `${ip}:${PORTS.directory}`)
  }

  callers (instance: SoakInstance): string {
    return `${instance.ip}:${PORTS.callers}`
  }

  async start (): Promise<void> {
    await listen(this.store.server, this.#ip(1), PORTS.store)
    this.configure()
    const stages = [RunnerStage.Plain, RunnerStage.Plain, RunnerStage.Prefill, RunnerStage.Decode, RunnerStage.Decode]
    for (const [index, stage] of stages.entries()) await this.startRunner(index, stage)
    for (let index = 0; index < this.#options.instances; index += 1) {
      const ip = this.#ip(10 + index)
      const link = new FaultyLink({ host: this.#ip(1), port: PORTS.store })
      await listen(link.server, ip, PORTS.store)
      const instance: SoakInstance = { ip, link, process: this.#spawn(ip), started: false, cuts: [], touchedMs: performance.now() }
      this.instances.push(instance)
      this.#watch(instance)
    }
  }

  /** Writes the next version of the configuration, which keeps all routes and limits of those before, and returns the path of the route that is new in it. */
  configure (limits: FleetLimits = {}): string {
    this.#limits = { ...this.#limits, ...limits }
    this.#version += 1
    const added = `/added-${this.#version}/`
    this.#added.push(added)
    this.store.put(configurationKey, platformConfiguration({ version: this.#version, addedPaths: this.#added, ...this.#limits, ...(this.#options.withOrganisations === true ? { organisations: organisationsOf(this.#version) } : {}) }))
    return added
  }

  /** The route that is new in the newest configuration. */
  get newestPath (): string {
    return this.#added.at(-1) ?? ''
  }

  get version (): number {
    return this.#version
  }

  async startRunner (index: number, stage: RunnerStage): Promise<void> {
    const ip = this.#ip(100 + index)
    const id = `i-${index}-${Math.floor(performance.now())}`
    const service = stage === RunnerStage.Plain ? 'plain' : 'model'
    const standIn = new PlatformRunnerStandIn({ id, stage, onRun: (request, caller) => this.#options.ledger.ran(request, caller), onBroken: (request) => this.#options.ledger.brokenOff.add(request) })
    standIn.unframedShare = this.#options.unframedShare ?? 0
    await listen(standIn.server, ip, PORTS.runner)
    this.runners[index] = { id, ip, service, stage, standIn }
    this.store.put(serverKey(id), platformServer({ service, address: `${ip}:${PORTS.runner}`, stage }))
  }

  /** Lets a backend server announce that it leaves, with `draining` or by removing its entry. It still serves requests. */
  announceLeaving (index: number, removesEntry: boolean): void {
    const runner = this.runners[index]
    if (runner === undefined) return
    const { id, ip, service, stage } = runner
    if (removesEntry) this.store.remove(serverKey(id))
    else this.store.put(serverKey(id), platformServer({ service, address: `${ip}:${PORTS.runner}`, stage, leaving: true }))
  }

  /** Starts the process of an instance again if it has ended. */
  restart (instance: SoakInstance): void {
    instance.touchedMs = performance.now()
    instance.process = this.#spawn(instance.ip)
    this.#watch(instance)
  }

  /** Ends a process of an instance; what it then does is not its own end. */
  end (instance: SoakInstance, child: ChildProcess, signal: 'SIGKILL' | 'SIGTERM'): void {
    this.unexpectedExits.expectExit(child)
    const nowMs = performance.now()
    if (signal === 'SIGKILL' && child.exitCode === null && child.signalCode === null) instance.cuts.push({ fromMs: nowMs, toMs: nowMs })
    child.kill(signal)
  }

  /** Writes the settings file of an instance again, only the first half of it if asked to. The process is told only once it handles the signal. */
  rewriteSettings (instance: SoakInstance, { half = false }: { half?: boolean } = {}): void {
    const settings = this.#settings(instance.ip)
    writeFileSync(this.#settingsFile(instance.ip), half ? settings.slice(0, settings.length / 2) : settings)
    if (instance.started) instance.process.kill('SIGHUP')
  }

  /** The lines that the processes of an instance have written. */
  logOf (instance: SoakInstance): string {
    return readFileSync(join(this.#options.folder, `${instance.ip}.log`), 'utf8')
  }

  /** Ends exactly the processes and listeners that this fleet started. */
  async stop (): Promise<void> {
    for (const instance of this.instances) {
      instance.process.kill('SIGCONT')
      this.end(instance, instance.process, 'SIGKILL')
      instance.link.server.close()
    }
    for (const { standIn } of this.runners) standIn.crash()
    this.store.server.close()
    this.store.server.closeAllConnections()
  }

  #settingsFile (ip: string): string {
    return join(this.#options.folder, `${ip}.json`)
  }

  #settings (ip: string): string {
    return JSON.stringify({
      id: `soak-${ip}`,
      ip,
      failureDomain: 'a',
      listeners: {
        callers: `${ip}:${PORTS.callers}`,
        readiness: `${ip}:${PORTS.readiness}`,
        directory: `${ip}:${PORTS.directory}`,
        peerPort: PORTS.peers,
        metricsPort: PORTS.metrics
      },
      storeAddress: `${ip}:${PORTS.store}`,
      seeds: [this.#ip(10)],
      graceS: this.#options.graceS ?? 8,
      memoryMb: this.#options.memoryMb,
      repeats: { ratio: 0.2, slack: 60, windowS: 10 }
    })
  }

  #watch (instance: SoakInstance): void {
    const { ip, process: child } = instance
    this.unexpectedExits.watch(child, ip)
    instance.started = false
    child.stdout?.once('data', () => { instance.started = instance.process === child })
    child.once('exit', () => { if (instance.process === child) instance.started = false })
  }

  #spawn (ip: string): ChildProcess {
    const file = this.#settingsFile(ip)
    writeFileSync(file, this.#settings(ip))
    const { heapMb = HEAP_MB, descriptors } = this.#options
    const limitDescriptors = descriptors === undefined ? '' : `ulimit -n ${descriptors}; `
    const child = spawn('/bin/sh', ['-c', `${limitDescriptors}exec "$0" "$@"`, process.execPath, `--max-old-space-size=${heapMb}`, 'target/gateway.mjs'], { env: { PATH: process.env.PATH, DAISYBARROW_CONFIG: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.#options.folder, `${ip}.log`), { flags: 'a' })
    child.stdout.pipe(log)
    child.stderr.pipe(log)
    return child
  }

  #ip (last: number): string {
    return `127.${this.#options.net}.${last}`
  }
}

async function listen (server: Server, host: string, port: number): Promise<void> {
  server.listen(port, host)
  await once(server, 'listening')
}
