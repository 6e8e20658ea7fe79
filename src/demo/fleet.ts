import { type ChildProcess, spawn } from 'node:child_process'
import { generateKeyPairSync, type KeyObject } from 'node:crypto'
import { mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import * as z from 'zod'
import { callJson } from '../adapters/http-call.js'
import { ENTRY_SERVICE } from '../adapters/instance-list-client.js'
import type { TrustedKey } from '../settings/entry-settings.js'
import type { Deployment } from './deployment.js'

/** Port offsets within the range of one deployment. */
const Offset = { KeyValue: 0, InstanceList: 1, Engine: 100, Service: 200, Caller: 300, Peer: 400, Operator: 500 } as const

/** Offsets that tell whether another fleet uses the range. */
export const portOffsets: number[] = Object.values(Offset)

const HOST = '127.0.0.1'
const READY_TIMEOUT_MS = 20000
const DRAIN_LIMIT_MS = 20000
const TOTAL_PIECES = 120

interface Target {
  targets: string[]
  labels: Record<string, string>
}

interface FleetOptions {
  /** Folder of the built programs. */
  programs?: URL
}

/** The processes of one deployment on loopback. */
export class Fleet {
  readonly deployment: Deployment
  readonly #programs: URL
  readonly keys: { publicKey: KeyObject, privateKey: KeyObject } = generateKeyPairSync('ed25519')
  readonly #folder: string
  readonly #entries = new Map<string, ChildProcess>()
  #standin: ChildProcess | null = null

  constructor (deployment: Deployment, options: FleetOptions = {}) {
    this.deployment = deployment
    this.#programs = options.programs ?? new URL('../programs/', import.meta.url)
    this.#folder = mkdtempSync(join(tmpdir(), `daisybarrow-${deployment.name}-`))
  }

  get keyValueUrl (): string {
    return `http://${HOST}:${this.deployment.firstPort + Offset.KeyValue}`
  }

  get trustedKey (): TrustedKey {
    return { id: 'demo', publicKey: String(this.keys.publicKey.export({ type: 'spki', format: 'pem' })), revoked: false }
  }

  get entryIds (): string[] {
    return Array.from({ length: this.deployment.entries }, (_, index) => `entry-${index}`)
  }

  callerAddress (index: number): string {
    return `${HOST}:${this.deployment.firstPort + Offset.Caller + index}`
  }

  operatorAddress (index: number): string {
    return `${HOST}:${this.deployment.firstPort + Offset.Operator + index}`
  }

  engineAddresses (): string[] {
    return Array.from({ length: this.deployment.modelRunners }, (_, index) => `${HOST}:${this.deployment.firstPort + Offset.Engine + index}`)
  }

  serviceAddresses (): string[] {
    return Array.from({ length: this.deployment.plainRunners }, (_, index) => `${HOST}:${this.deployment.firstPort + Offset.Service + index}`)
  }

  async start (): Promise<void> {
    this.#standin = this.#spawn('standin', 'standin', this.#standinSettings())
    await waitFor(async () => (await callJson({ url: `${this.keyValueUrl}/standin/record`, schema: z.unknown(), timeoutMs: 500 })).ok)
    for (const [index, id] of this.entryIds.entries()) this.startEntry(id, index)
  }

  startEntry (id: string, index: number): void {
    this.#entries.set(id, this.#spawn('entry', id, this.#entrySettings(id, index)))
  }

  async ready (): Promise<void> {
    await Promise.all(this.entryIds.map((_, index) => waitFor(async () => {
      const answer = await fetch(`http://${this.operatorAddress(index)}/readyz`)
      return answer.status === 200
    })))
  }

  /** Ends an entry instance without warning. */
  kill (id: string): void {
    this.#entries.get(id)?.kill('SIGKILL')
  }

  /** Freezes an entry instance; every connection stays open. */
  pause (id: string): void {
    this.#entries.get(id)?.kill('SIGSTOP')
  }

  resume (id: string): void {
    this.#entries.get(id)?.kill('SIGCONT')
  }

  /** Asks an entry instance to shut down; resolves when its process has ended. */
  async drain (id: string): Promise<number | null> {
    const child = this.#entries.get(id)
    if (child === undefined) return null
    const ended = new Promise<number | null>((resolve) => { child.once('exit', (code) => resolve(code)) })
    child.kill('SIGTERM')
    return await ended
  }

  async faults (faults: Record<string, unknown>): Promise<void> {
    await callJson({ url: `${this.keyValueUrl}/standin/faults`, schema: z.unknown(), method: 'POST', body: faults, timeoutMs: 2000 })
  }

  stop (): void {
    for (const child of [...this.#entries.values(), this.#standin]) child?.kill('SIGKILL')
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#folder, { recursive: true, force: true })
  }

  #spawn (program: string, name: string, settings: unknown): ChildProcess {
    const file = join(this.#folder, `${name}.json`)
    writeFileSync(file, JSON.stringify(settings))
    const log = openSync(join(this.#folder, `${name}.log`), 'a')
    const script = fileURLToPath(new URL(`${program}.js`, this.#programs))
    return spawn(process.execPath, [script, '--settings', file], { stdio: ['ignore', log, log] })
  }

  #entrySettings (id: string, index: number): unknown {
    const { region, firstPort } = this.deployment
    return {
      id,
      region,
      failureDomain: this.#failureDomain(index),
      callers: { port: firstPort + Offset.Caller + index },
      peers: { port: firstPort + Offset.Peer + index },
      operators: { port: firstPort + Offset.Operator + index },
      keyValueUrl: this.keyValueUrl,
      instanceListUrl: `http://${HOST}:${firstPort + Offset.InstanceList}/targets`,
      addressLifetimeMs: 2000,
      drainLimitMs: DRAIN_LIMIT_MS,
      trustedKeys: [this.trustedKey]
    }
  }

  #standinSettings (): unknown {
    const { firstPort, modelService, plainRunners } = this.deployment
    return {
      engines: this.engineAddresses().map((_, index) => ({
        id: `engine-${index}`,
        port: firstPort + Offset.Engine + index,
        model: modelService,
        role: index % 2 === 0 ? 'prefill' : 'decode',
        totalPieces: TOTAL_PIECES
      })),
      services: Array.from({ length: plainRunners }, (_, index) => ({ id: `service-${index}`, port: firstPort + Offset.Service + index })),
      keyValue: { port: firstPort + Offset.KeyValue },
      instanceList: { port: firstPort + Offset.InstanceList, targets: this.#targets() }
    }
  }

  #targets (): Target[] {
    const { region, modelService, plainService, firstPort } = this.deployment
    const common = (index: number): Record<string, string> => ({ failure_domain: this.#failureDomain(index), region, state: 'live' })
    const engines = this.engineAddresses().map((address, index) => ({
      targets: [address],
      labels: { ...common(index), id: `engine-${index}`, service: modelService, kind: 'model', model: modelService, role: index % 2 === 0 ? 'prefill' : 'decode' }
    }))
    const services = this.serviceAddresses().map((address, index) => ({
      targets: [address],
      labels: { ...common(index), id: `service-${index}`, service: plainService, kind: 'plain' }
    }))
    const entries = this.entryIds.map((id, index) => ({
      targets: [this.callerAddress(index)],
      labels: { ...common(index), id, service: ENTRY_SERVICE, peer_address: `${HOST}:${firstPort + Offset.Peer + index}`, operator_address: this.operatorAddress(index) }
    }))
    return [...engines, ...services, ...entries]
  }

  #failureDomain (index: number): string {
    const { failureDomains } = this.deployment
    return failureDomains[index % failureDomains.length] ?? ''
  }
}

async function waitFor (condition: () => Promise<boolean>): Promise<void> {
  const endMs = Date.now() + READY_TIMEOUT_MS
  while (Date.now() < endMs) {
    if (await condition().catch(() => false)) return
    await new Promise((resolve) => { setTimeout(resolve, 100) })
  }
  throw new Error(`not ready after ${READY_TIMEOUT_MS} ms; read the logs of the processes`)
}
