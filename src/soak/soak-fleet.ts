import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { Server } from 'node:net'
import { configurationKey, platformConfiguration, platformServer, serverKey } from '../standin/platform-entries.js'
import { PlatformRunnerStandIn, RunnerStage } from '../standin/platform-runner-standin.js'
import { PlatformStoreStandIn } from '../standin/platform-store-standin.js'
import { FaultyLink } from './faulty-link.js'
import type { SoakLedger } from './soak-ledger.js'

/** Limit of the heap in the deploy file, in MB. */
const HEAP_MB = 90

const PORTS = { callers: 7101, readiness: 7102, directory: 7103, peers: 7104, metrics: 7105, store: 7106, runner: 7107 }

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
}

export interface SoakInstance {
  ip: string
  process: ChildProcess
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
  #version = 1

  constructor (options: SoakFleetOptions) {
    this.#options = options
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
      this.instances.push({ ip, link, process: this.#spawn(ip), touchedMs: performance.now() })
    }
  }

  /** Writes the next version of the configuration, which keeps all routes of those before, and returns the path of the route that is new in it. */
  configure (): string {
    this.#version += 1
    const added = `/added-${this.#version}/`
    this.#added.push(added)
    this.store.put(configurationKey, platformConfiguration({ version: this.#version, addedPaths: this.#added }))
    return added
  }

  /** The route that is new in the newest configuration. */
  get newestPath (): string {
    return this.#added.at(-1) ?? ''
  }

  async startRunner (index: number, stage: RunnerStage): Promise<void> {
    const ip = this.#ip(100 + index)
    const id = `i-${index}-${Math.floor(performance.now())}`
    const service = stage === RunnerStage.Plain ? 'plain' : 'model'
    const standIn = new PlatformRunnerStandIn({ id, stage, onRun: (request) => this.#options.ledger.ran(request) })
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
  }

  /** Ends exactly the processes and listeners that this fleet started. */
  async stop (): Promise<void> {
    for (const { process: child, link } of this.instances) {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      link.server.close()
    }
    for (const { standIn } of this.runners) standIn.crash()
    this.store.server.close()
    this.store.server.closeAllConnections()
  }

  #spawn (ip: string): ChildProcess {
    const file = join(this.#options.folder, `${ip}.json`)
    writeFileSync(file, JSON.stringify({
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
    }))
    const child = spawn(process.execPath, [`--max-old-space-size=${HEAP_MB}`, 'target/gateway.mjs'], { env: { PATH: process.env.PATH, DAISYBARROW_CONFIG: file }, stdio: ['ignore', 'pipe', 'pipe'] })
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
