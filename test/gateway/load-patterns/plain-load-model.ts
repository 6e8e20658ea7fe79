import type { BackendServer } from '../../../src/gateway/backend.js'
import { BackendTable } from '../../../src/gateway/backend-table.js'
import { DEFAULT_CROSSING_PRICE, DomainCrossing } from '../../../src/gateway/domain-crossing.js'
import { ExchangeOutcome } from '../../../src/gateway/exchange-outcome.js'
import { PlaceScheduler } from '../../../src/gateway/place-scheduler.js'
import { groupCount, type PlaceDecision } from '../../../src/gateway/plain-place.js'
import { ServerHealth } from '../../../src/gateway/server-health.js'
import { seededRandom } from '../../../src/runtime/random.js'
import { backend } from '../gateway-fixtures.js'

const DOMAINS = ['a', 'b', 'c']
const ONE_WAY_MS = 0.5
const MEAN_WORK_MS = 43
const SLOTS = 6
const TICK_MS = 25
/** Fixed cost of another failure domain in choices by own latency. */
const OTHER_DOMAIN_COST_MS = 15
const OBJECTIVE_MS = 197
const PATIENCE_MS = 800

/** How servers are chosen: by the coordinators, or as a limit or for comparison. */
export type Policy = 'places' | 'own-latency' | 'random' | 'perfect'

export interface PlainLoad {
  instances: number
  servers: number
  seconds: number
  /** Demand as a share of what all servers can do at the usual speed. */
  load: (second: number) => number
  /** Speed of a server, as a multiple of the usual one. */
  speed?: (server: number, nowMs: number) => number
  /** Delay of messages to the coordinator besides the usual one, in milliseconds; Infinity if they are lost. */
  messageDelayMs?: (nowMs: number) => number
}

export interface PlainResult {
  /** Time from the arrival of each answered request to its answer, in milliseconds. */
  answeredMs: number[]
  refused: number
  messages: number
}

interface Server {
  backend: BackendServer
  inWork: number
  queue: Array<() => void>
}

interface Job {
  instance: number
  arrivedMs: number
  work: number
}

/** Plays arrivals of a plain service at many instances before few servers in virtual time. Servers queue without bound; callers do not return. */
export class PlainLoadModel {
  readonly #load: PlainLoad
  readonly #policy: Policy
  readonly #random: () => number
  readonly #events: Array<{ atMs: number, run: () => void }> = []
  readonly #servers: Server[]
  readonly #health: ServerHealth[]
  readonly #scheduler: PlaceScheduler
  readonly #jobs = new Map<string, Job>()
  readonly #result: PlainResult = { answeredMs: [], refused: 0, messages: 0 }
  #nowMs = 0

  constructor (load: PlainLoad, policy: Policy, seed: number) {
    this.#load = load
    this.#policy = policy
    this.#random = seededRandom(seed)
    const nowMs = (): number => this.#nowMs
    const backends = new BackendTable({ nowMs })
    this.#servers = Array.from({ length: load.servers }, (_, index) => ({ backend: backend({ id: `s${index}`, slots: SLOTS, failureDomain: DOMAINS[index % 3] as string }), inWork: 0, queue: [] }))
    for (const server of this.#servers) backends.put(server.backend)
    this.#health = Array.from({ length: load.instances }, () => new ServerHealth({ nowMs }))
    const crossing = new DomainCrossing({ nowMs, price: () => DEFAULT_CROSSING_PRICE })
    this.#scheduler = new PlaceScheduler({ nowMs, random: this.#random, backends, crossing, decide: (_from, id, decision) => this.#sendMessage(() => this.#decided(id, decision)) })
  }

  run (): PlainResult {
    const endMs = this.#load.seconds * 1000
    this.#arriveNext()
    this.#at(0, () => this.#tick())
    for (let event = this.#takeEvent(); event !== undefined && event.atMs < endMs + PATIENCE_MS; event = this.#takeEvent()) {
      this.#nowMs = event.atMs
      event.run()
    }
    return this.#result
  }

  #at (atMs: number, run: () => void): void {
    let index = this.#events.length
    while (index > 0 && (this.#events[index - 1]?.atMs ?? 0) < atMs) index -= 1
    this.#events.splice(index, 0, { atMs, run })
  }

  #takeEvent (): { atMs: number, run: () => void } | undefined {
    return this.#events.pop()
  }

  #tick (): void {
    this.#scheduler.tick()
    this.#at(this.#nowMs + TICK_MS, () => this.#tick())
  }

  #sendMessage (handle: () => void): void {
    this.#result.messages += 1
    const delayMs = ONE_WAY_MS + (this.#load.messageDelayMs?.(this.#nowMs) ?? 0)
    if (Number.isFinite(delayMs)) this.#at(this.#nowMs + delayMs, handle)
  }

  #arriveNext (): void {
    const capacityPerMs = this.#servers.length * SLOTS / MEAN_WORK_MS
    const ratePerMs = capacityPerMs * this.#load.load(Math.floor(this.#nowMs / 1000))
    const gapMs = -Math.log(1 - this.#random()) / ratePerMs
    this.#at(this.#nowMs + gapMs, () => {
      if (this.#nowMs > this.#load.seconds * 1000) return
      // Work is spread like that of a service with short and some long requests.
      const job = { instance: Math.floor(this.#random() * this.#load.instances), arrivedMs: this.#nowMs, work: MEAN_WORK_MS * (0.5 + this.#random()) }
      this.#choose(job)
      this.#arriveNext()
    })
  }

  #choose (job: Job): void {
    if (this.#policy === 'places') return this.#requestPlace(job)
    const chosen = this.#policy === 'random' ? this.#servers[Math.floor(this.#random() * this.#servers.length)] : this.#cheapest(job)
    if (chosen !== undefined) this.#send(job, chosen, () => {})
  }

  #cheapest ({ instance }: Job): Server | undefined {
    const domain = DOMAINS[instance % 3] as string
    const cost = (server: Server): number => this.#policy === 'perfect'
      ? (server.inWork + server.queue.length + 1) / this.#speed(server)
      : (this.#health[instance] as ServerHealth).cost(server.backend) + (server.backend.failureDomain === domain ? 0 : OTHER_DOMAIN_COST_MS) + this.#random()
    return this.#servers.map((server) => ({ server, cost: cost(server) })).toSorted((a, b) => a.cost - b.cost)[0]?.server
  }

  #requestPlace (job: Job): void {
    const id = `${this.#jobs.size}`
    this.#jobs.set(id, job)
    const group = Math.floor(this.#random() * groupCount(this.#servers.map((server) => server.backend)))
    this.#sendMessage(() => {
      const elapsedMs = this.#nowMs - job.arrivedMs
      this.#scheduler.request(`i${job.instance}`, { id, service: 'plain', group, failureDomain: DOMAINS[job.instance % 3] as string, objectiveLeftMs: OBJECTIVE_MS - elapsedMs, patienceMs: PATIENCE_MS - elapsedMs, bytes: 800, excluded: [] })
    })
  }

  #decided (id: string, decision: PlaceDecision): void {
    const job = this.#jobs.get(id)
    if (job === undefined || 'refused' in decision) this.#result.refused += 1
    else {
      const server = this.#servers.find(({ backend: { id: serverId } }) => serverId === decision.server) as Server
      this.#send(job, server, (durationMs) => this.#sendMessage(() => this.#scheduler.return(id, { outcome: ExchangeOutcome.Answered, durationMs })))
    }
  }

  #send (job: Job, server: Server, onAnswer: (durationMs: number) => void): void {
    const sentMs = this.#nowMs
    const health = this.#health[job.instance] as ServerHealth
    health.recordStart(server.backend)
    const done = (): void => {
      health.recordEnd(server.backend)
      health.recordSuccess(server.backend, this.#nowMs - sentMs)
      this.#result.answeredMs.push(this.#nowMs - job.arrivedMs)
      onAnswer(this.#nowMs - sentMs)
    }
    this.#at(this.#nowMs + ONE_WAY_MS, () => {
      server.queue.push(() => this.#work(server, job.work, done))
      this.#startNext(server)
    })
  }

  #startNext (server: Server): void {
    if (server.inWork >= SLOTS) return
    server.queue.shift()?.()
  }

  #work (server: Server, work: number, done: () => void): void {
    server.inWork += 1
    this.#at(this.#nowMs + work / this.#speed(server), () => {
      server.inWork -= 1
      this.#at(this.#nowMs + ONE_WAY_MS, done)
      this.#startNext(server)
    })
  }

  #speed (server: Server): number {
    return this.#load.speed?.(this.#servers.indexOf(server), this.#nowMs) ?? 1
  }
}

export function percentile (values: number[], share: number): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length * share)] ?? 0
}
