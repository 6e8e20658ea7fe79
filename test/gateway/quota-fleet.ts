import { jest } from '@jest/globals'
import { QuotaUnit, type Configuration, type Organisation } from '../../src/gateway/configuration.js'
import { InstanceTable } from '../../src/gateway/instance-table.js'
import { decodeDatagram, encodeDatagram, type PeerDatagram } from '../../src/gateway/peer-datagram.js'
import { type QuotaBounds, toleranceOf, windowUnits } from '../../src/gateway/quota-bounds.js'
import { type QuotaAdmission, QuotaVerdict } from '../../src/gateway/quota-client.js'
import type { OrganisationLimit } from '../../src/gateway/quota-ledger.js'
import { QuotaSharing } from '../../src/gateway/quota-sharing.js'
import { RendezvousOrder } from '../../src/placement/rendezvous.js'
import { seededRandom } from '../../src/runtime/random.js'
import { configuration, recordingLog } from './gateway-fixtures.js'

const STEP_MS = 10
const TICK_MS = 100
const HEARTBEAT_MS = 500

/** Time from the start of an instance until it is ready, and until callers who know its address reach it, in milliseconds. */
const READY_MS = 2200
const REACHABLE_MS = 300
const MS_PER_SECOND = 1000

export const MODEL_TOKENS = 10_000
export const PLAIN_TOKENS = 200

export const bounds: QuotaBounds = { windowS: 8, overshoot: 0.1, slack: 73_000 }

export interface Demand {
  organisation: string
  modelPerS: number
  plainPerS: number
}

export interface FleetInstance {
  ip: string
  failureDomain: number
  table: InstanceTable
  sharing: QuotaSharing
  configuration: Configuration
  readyMs: number
  /** Until when it neither runs nor receives anything, in milliseconds. */
  pausedUntilMs: number
}

export interface Decision {
  ms: number
  organisation: string
  cost: number
  verdict: QuotaVerdict
  waitMs: number | null
}

/** Organisations whose shares of the load fall with their rank to the power of the skew; each has 1.8 times its usual use as its rate, and a second of it as its burst. */
export function skewedOrganisations ({ count, skew, modelPerS, plainPerS }: { count: number, skew: number, modelPerS: number, plainPerS: number }): { organisations: Organisation[], demands: Demand[] } {
  const weights = Array.from({ length: count }, (_, index) => (index + 1) ** -skew)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const demands = weights.map((weight, index) => ({ organisation: `o${index}`, modelPerS: modelPerS * weight / total, plainPerS: plainPerS * weight / total }))
  return { demands, organisations: demands.map(({ organisation, ...demand }) => organisationOf(organisation, 1.8 * (demand.modelPerS * MODEL_TOKENS + demand.plainPerS * PLAIN_TOKENS))) }
}

export function organisationOf (name: string, perS: number): Organisation {
  return { name, keyHashes: [], priority: null, quota: { unit: QuotaUnit.Tokens, perS, burst: perS, plainTokens: PLAIN_TOKENS } }
}

/** Instances with a common clock that exchange encoded datagrams and decide about the requests of organisations. */
export class QuotaFleet {
  readonly instances: FleetInstance[] = []
  readonly decisions: Decision[] = []
  readonly errors: unknown[] = []
  messages = 0
  /** Bytes of datagrams between failure domains. */
  farBytes = 0
  nowMs = 1000
  loses: (from: string, to: string) => boolean = () => false
  configuration: Configuration
  /** Decides instead of the instances' own sharing of quotas. */
  decide: ((instance: FleetInstance, limit: OrganisationLimit, cost: number) => boolean) | null = null
  readonly #random: () => number
  readonly #domains: number

  constructor (options: { instances: number, organisations: Organisation[], seed?: number, domains?: number }) {
    this.#random = seededRandom(options.seed ?? 3)
    this.#domains = options.domains ?? 4
    this.configuration = configuration({ organisations: options.organisations })
    for (let index = 0; index < options.instances; index += 1) this.join(`10.0.${Math.floor(index / 250)}.${index % 250 + 1}`)
  }

  join (ip: string): FleetInstance {
    const table = new InstanceTable({ ip, nowMs: () => this.nowMs, random: this.#random })
    const failureDomain = Number(ip.split('.').at(-1)) % this.#domains
    const sharing = new QuotaSharing({ ip, nowMs: () => this.nowMs, log: { ...recordingLog(), debug: () => {} }, bounds, instances: table, canCoordinate: () => this.nowMs >= instance.readyMs, send: (to, message) => this.#deliver(instance, to, message) })
    const instance: FleetInstance = { ip, failureDomain, table, sharing, configuration: this.configuration, readyMs: this.nowMs + READY_MS, pausedUntilMs: 0 }
    for (const other of this.instances) {
      table.addAddress(other.ip)
      other.table.addAddress(ip)
    }
    this.instances.push(instance)
    return instance
  }

  kill (instance: FleetInstance): void {
    this.instances.splice(this.instances.indexOf(instance), 1)
  }

  /** The instance that most others take for the coordinator of an organisation. */
  coordinatorOf (organisation: string): FleetInstance {
    const { table } = this.instances[0] as FleetInstance
    const [ip] = new RendezvousOrder(table.coordinatorCandidates(true)).first(organisation, 1)
    return this.instances.find((instance) => instance.ip === ip) as FleetInstance
  }

  applyConfiguration (next: Configuration): void {
    this.configuration = next
    for (const instance of this.instances) instance.configuration = next
  }

  /** Runs for a time in which callers arrive at random at instances that run, with the given demands. */
  async run (durationMs: number, demands: Demand[] = []): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      this.nowMs += STEP_MS
      await jest.advanceTimersByTimeAsync(STEP_MS)
      for (const instance of this.instances) if (instance.pausedUntilMs <= this.nowMs) this.#step(instance)
      for (const demand of demands) {
        this.#arrive(demand.organisation, MODEL_TOKENS, demand.modelPerS)
        this.#arrive(demand.organisation, PLAIN_TOKENS, demand.plainPerS)
      }
    }
  }

  /** Most units granted in any window, as a share of what the bounds allow; over all organisations. */
  largestUse (organisations = this.configuration.organisations): number {
    return Math.max(...organisations.map(({ name, quota }) => quota === null ? 0 : this.#largestUseOf(name) / (windowUnits(quota, bounds) + toleranceOf(quota, bounds))))
  }

  /** Share of the decisions about some organisations that were not granted. */
  refusedShare (isMeant: (organisation: string) => boolean, sinceMs = 0): number {
    const meant = this.decisions.filter(({ organisation, ms }) => isMeant(organisation) && ms >= sinceMs)
    return meant.filter(({ verdict }) => verdict !== QuotaVerdict.Granted).length / meant.length
  }

  #largestUseOf (name: string): number {
    const grants = this.decisions.filter(({ organisation, verdict }) => organisation === name && verdict === QuotaVerdict.Granted)
    let first = 0
    let sum = 0
    let most = 0
    for (const { ms, cost } of grants) {
      sum += cost
      while ((grants[first]?.ms ?? ms) <= ms - bounds.windowS * MS_PER_SECOND) {
        sum -= grants[first]?.cost ?? 0
        first += 1
      }
      most = Math.max(most, sum)
    }
    return most
  }

  #step ({ ip, readyMs, failureDomain, sharing, configuration: applied }: FleetInstance): void {
    if (this.nowMs % HEARTBEAT_MS === 0) {
      const status = { ip, failureDomain: String(failureDomain), callers: `${ip}:1`, ready: this.nowMs >= readyMs, configurationVersion: 1, storeRevision: 1, reachesStore: true, processorShare: 1 }
      for (const other of this.instances) if (other.ip !== ip && !this.loses(ip, other.ip) && other.pausedUntilMs <= this.nowMs) other.table.recordHeartbeat({ ...status })
    }
    if (this.nowMs % TICK_MS === 0 && this.decide === null) sharing.tick(applied)
  }

  #arrive (organisation: string, cost: number, perS: number): void {
    let expected = perS * STEP_MS / MS_PER_SECOND
    for (; expected > this.#random(); expected -= 1) {
      const serving = this.instances.filter(({ readyMs, pausedUntilMs }) => readyMs - READY_MS + REACHABLE_MS <= this.nowMs && pausedUntilMs <= this.nowMs)
      const instance = serving[Math.floor(this.#random() * serving.length)]
      if (instance !== undefined) this.request(instance, organisation, cost).catch((error: unknown) => { this.errors.push(error) })
    }
  }

  async request (instance: FleetInstance, organisation: string, cost: number): Promise<QuotaAdmission> {
    const { sharing, configuration: { organisations, version } } = instance
    const quota = organisations.find(({ name }) => name === organisation)?.quota
    if (quota == null) throw new Error(`${organisation} has no quota`)
    const limit = { organisation, perS: quota.perS, burst: quota.burst, version }
    const admission = this.decide === null
      ? await sharing.client.acquire(limit, cost)
      : { verdict: this.decide(instance, limit, cost) ? QuotaVerdict.Granted : QuotaVerdict.Refused, cost, waitMs: null, decidedBy: instance.ip }
    this.decisions.push({ ms: this.nowMs, organisation, cost, verdict: admission.verdict, waitMs: admission.waitMs })
    return admission
  }

  #deliver (from: FleetInstance, to: string[], message: PeerDatagram): void {
    const bytes = encodeDatagram(message)
    for (const ip of to) {
      const receiver = this.instances.find((instance) => instance.ip === ip)
      this.messages += 1
      if (receiver?.failureDomain !== from.failureDomain) this.farBytes += bytes.length
      if (receiver === undefined || this.loses(from.ip, ip) || receiver.pausedUntilMs > this.nowMs) continue
      receiver.sharing.handleDatagram(from.ip, decodeDatagram(bytes) as PeerDatagram)
    }
  }
}
