import { type BackendServer, incarnationOf, RunnerRole } from './backend.js'
import type { BackendTable } from './backend-table.js'
import type { DomainCrossing } from './domain-crossing.js'
import { ExchangeOutcome } from './exchange-outcome.js'
import { groupKey, type PlaceDecision, type PlaceRequest, type PlaceUse, serversOfGroup } from './plain-place.js'
import { ServerHealth } from './server-health.js'

/** Time from the end of a request at a server until the next one arrives there, in milliseconds: a message to the coordinator, one to the next instance, and a new connection. A server is given as many more requests as it would finish meanwhile. */
const TURNAROUND_MS = 10

/** Multiple of the usual duration after which a place no longer counts as taken, since the message that returns it may be lost. */
const LOST_RETURN_FACTOR = 10

/** Shortest time after which a place no longer counts as taken, in milliseconds. */
const MIN_LOST_RETURN_MS = 400

/** Multiple of the usual duration for which a server may be silent with requests in work until it gets no further ones. */
const SILENCE_FACTOR = 4

/** Shortest such silence, in milliseconds; a usual pause of a busy process is shorter. */
const MIN_SILENCE_MS = 150

/** Time for which a server that rejected a request as full gets no further one, in milliseconds; about the time in which it finishes one. */
const FULL_PAUSE_MS = 20

/** Multiple of the usual duration that a request has to have left to count as on time: durations vary, and the answer has to get back. */
const DURATION_MARGIN = 1.5

/** Factor by which the servers may be faster than they were lately: a request is refused only if it would be too late even then. */
const SPEED_MARGIN = 1.25

/** Time constant of the average of arrivals, in milliseconds; longer than a usual gap between arrivals, shorter than a burst. */
const ARRIVALS_AVERAGE_MS = 500

/** Shortest retry delay of a refused caller, in milliseconds. */
const MIN_RETRY_AFTER_MS = 150

/** Longest retry delay, in milliseconds; callers of plain services have no more time after a longer one. */
const MAX_RETRY_AFTER_MS = 1500

/** Share of the capacity that is taken to be left for returning callers. */
const SPARE_SHARE = 0.3

interface WaitingRequest {
  request: PlaceRequest
  /** Address of the instance that asks. */
  from: string
  objectiveMs: number
  patienceEndMs: number
}

interface TakenPlace {
  backend: BackendServer
  /** The group whose requests wait for this place. */
  queue: GroupQueue
  takenMs: number
}

interface ServerLoad {
  /** Ids of the requests in work. */
  taken: Set<string>
  lastAnswerMs: number
  fullUntilMs: number
}

interface GroupQueue {
  service: string
  group: number
  waiting: WaitingRequest[]
  /** Moving average of the arrivals, in requests per millisecond, at the time of the last one. */
  arrivalsPerMs: number
  lastArrivalMs: number
  /** When the last refused caller was told to return, in milliseconds. */
  lastReturnMs: number
}

interface PlaceSchedulerOptions {
  nowMs: () => number
  random: () => number
  backends: Pick<BackendTable, 'ready'>
  crossing: DomainCrossing
  /** Tells an instance what was decided on its request. */
  decide: (from: string, id: string, decision: PlaceDecision) => void
}

/**
 * Gives the places of plain servers to the requests of all instances: on the coordinator of a group of servers, which alone knows what is in work there.
 * Requests that can still meet their objective come first; what can't be served in time is refused at once.
 */
export class PlaceScheduler {
  readonly #options: PlaceSchedulerOptions
  /** Outcomes that the instances report. */
  readonly #health: ServerHealth
  /** By incarnation. */
  readonly #loads = new Map<string, ServerLoad>()
  readonly #queues = new Map<string, GroupQueue>()
  readonly #places = new Map<string, TakenPlace>()

  constructor (options: PlaceSchedulerOptions) {
    this.#options = options
    this.#health = new ServerHealth({ nowMs: options.nowMs })
  }

  /** Number of requests that wait for a place. */
  get waitingCount (): number {
    let count = 0
    for (const { waiting } of this.#queues.values()) count += waiting.length
    return count
  }

  /** Number of places that are taken. */
  get takenCount (): number {
    return this.#places.size
  }

  /** Takes a request in and decides on it at once if possible; returns whether it waits. A repeated request gets the same answer. */
  request (from: string, request: PlaceRequest): boolean {
    const { nowMs, decide } = this.#options
    const place = this.#places.get(request.id)
    if (place !== undefined) {
      decide(from, request.id, { server: place.backend.id })
      return false
    }
    const queue = this.#queueOf(request)
    const isWaiting = (): boolean => queue.waiting.some(({ request: { id } }) => id === request.id)
    if (isWaiting()) return true
    this.#recordArrival(queue)
    queue.waiting.push({ request, from, objectiveMs: nowMs() + request.objectiveLeftMs, patienceEndMs: nowMs() + request.patienceMs })
    this.#pass(queue)
    return isWaiting()
  }

  /** Takes a place back and records how it was used, or withdraws a request that still waits. */
  return (id: string, use: PlaceUse | null): void {
    const place = this.#places.get(id)
    if (place === undefined) {
      for (const queue of this.#queues.values()) queue.waiting = queue.waiting.filter(({ request }) => request.id !== id)
      return
    }
    this.#free(id, place)
    if (use !== null) this.#record(place.backend, use)
    this.#pass(place.queue)
  }

  /** Refuses requests whose time runs out, frees places whose return was lost and gives the free ones out. */
  tick (): void {
    const nowMs = this.#options.nowMs()
    for (const [id, place] of this.#places) if (nowMs - place.takenMs > this.#lostReturnMs(place.backend)) this.#free(id, place)
    for (const queue of this.#queues.values()) this.#pass(queue)
  }

  /** Forgets all servers except the given incarnations. */
  retain (incarnations: Set<string>): void {
    this.#health.retain(incarnations)
    for (const [id, place] of this.#places) if (!incarnations.has(incarnationOf(place.backend))) this.#free(id, place)
    for (const incarnation of this.#loads.keys()) if (!incarnations.has(incarnation)) this.#loads.delete(incarnation)
  }

  #free (id: string, { backend }: TakenPlace): void {
    this.#places.delete(id)
    this.#loads.get(incarnationOf(backend))?.taken.delete(id)
  }

  #record (backend: BackendServer, { outcome, durationMs }: PlaceUse): void {
    const nowMs = this.#options.nowMs()
    const load = this.#loadOf(backend)
    if (outcome === ExchangeOutcome.Answered) this.#health.recordSuccess(backend, durationMs)
    else this.#health.recordFailure(backend, outcome)
    if (outcome === ExchangeOutcome.Rejected) load.fullUntilMs = nowMs + FULL_PAUSE_MS
    if (outcome === ExchangeOutcome.Answered || outcome === ExchangeOutcome.Failed || outcome === ExchangeOutcome.Rejected) load.lastAnswerMs = nowMs
  }

  #recordArrival (queue: GroupQueue): void {
    const nowMs = this.#options.nowMs()
    queue.arrivalsPerMs = this.#arrivalsPerMs(queue) + 1 / ARRIVALS_AVERAGE_MS
    queue.lastArrivalMs = nowMs
  }

  #arrivalsPerMs ({ arrivalsPerMs, lastArrivalMs }: GroupQueue): number {
    return arrivalsPerMs * Math.exp((lastArrivalMs - this.#options.nowMs()) / ARRIVALS_AVERAGE_MS)
  }

  #queueOf ({ service, group }: PlaceRequest): GroupQueue {
    const key = groupKey(service, group)
    const queue = this.#queues.get(key) ?? { service, group, waiting: [], arrivalsPerMs: 0, lastArrivalMs: -Infinity, lastReturnMs: -Infinity }
    this.#queues.set(key, queue)
    return queue
  }

  #loadOf (backend: BackendServer): ServerLoad {
    const incarnation = incarnationOf(backend)
    const load = this.#loads.get(incarnation) ?? { taken: new Set<string>(), lastAnswerMs: -Infinity, fullUntilMs: -Infinity }
    this.#loads.set(incarnation, load)
    return load
  }

  #lostReturnMs (backend: BackendServer): number {
    return Math.max(MIN_LOST_RETURN_MS, this.#health.latencyMs(backend) * LOST_RETURN_FACTOR)
  }

  /** Decides on the requests of a group that can be decided on now. */
  #pass (queue: GroupQueue): void {
    if (queue.waiting.length === 0) return
    const servers = serversOfGroup(this.#options.backends.ready(queue.service, RunnerRole.None), queue.group)
    this.#sort(queue, servers)
    this.#placeAll(queue, servers)
    this.#refuseHopeless(queue, servers)
  }

  /** Requests that can meet their objective come first, in the order of their objectives; late ones follow. */
  #sort (queue: GroupQueue, servers: BackendServer[]): void {
    const lastStartMs = this.#options.nowMs() + this.#neededMs(servers)
    const isLate = ({ objectiveMs }: WaitingRequest): number => objectiveMs < lastStartMs ? 1 : 0
    queue.waiting.sort((a, b) => isLate(a) - isLate(b) || a.objectiveMs - b.objectiveMs)
  }

  /** Time that a request has to have left to be answered within its objective, in milliseconds. */
  #neededMs (servers: BackendServer[]): number {
    return Math.min(...servers.map((backend) => this.#health.latencyMs(backend))) * DURATION_MARGIN
  }

  /** Gives the free places out, in the order of the requests. */
  #placeAll (queue: GroupQueue, servers: BackendServer[]): void {
    const passedOver: WaitingRequest[] = []
    const placed: Array<{ waiting: WaitingRequest, server: string }> = []
    let next = 0
    for (let open = servers; next < queue.waiting.length; next += 1) {
      open = open.filter((backend) => this.#hasRoom(backend))
      if (open.length === 0) break
      const waiting = queue.waiting[next] as WaitingRequest
      const server = this.#place(queue, waiting, open)
      if (server === undefined) passedOver.push(waiting)
      else placed.push({ waiting, server })
    }
    queue.waiting = [...passedOver, ...queue.waiting.slice(next)]
    // Last, as a place that is not wanted any more comes back at once.
    for (const { waiting: { from, request: { id } }, server } of placed) this.#options.decide(from, id, { server })
  }

  /** Takes the best place for a request; returns the id of its server, or undefined if no server can take the request. */
  #place (queue: GroupQueue, { request, objectiveMs }: WaitingRequest, servers: BackendServer[]): string | undefined {
    const { nowMs, random, crossing } = this.#options
    const candidates = servers
      .filter((backend) => !request.excluded.includes(backend.id))
      .map((backend) => ({ backend, failureDomain: backend.failureDomain, doneAfterMs: this.#doneAfterMs(backend) + random() }))
    const chosen = crossing.choose({ failureDomain: request.failureDomain, bytes: request.bytes, objectiveLeftMs: objectiveMs - nowMs() }, candidates)?.backend
    if (chosen === undefined) return undefined
    this.#places.set(request.id, { backend: chosen, queue, takenMs: nowMs() })
    this.#loadOf(chosen).taken.add(request.id)
    return chosen.id
  }

  #hasRoom (backend: BackendServer): boolean {
    const { taken, fullUntilMs } = this.#loadOf(backend)
    if (this.#options.nowMs() < fullUntilMs) return false
    return taken.size < (this.#isSilent(backend) ? 1 : this.#capacity(backend))
  }

  /** Requests that a server gets at the same time, in work or on their way. */
  #capacity (backend: BackendServer): number {
    return backend.slots + Math.ceil(backend.slots * TURNAROUND_MS / this.#health.latencyMs(backend))
  }

  /** Whether a server has answered nothing for so long that it may have stopped. */
  #isSilent (backend: BackendServer): boolean {
    const { taken, lastAnswerMs } = this.#loadOf(backend)
    const [oldest] = taken
    const sinceMs = Math.max(lastAnswerMs, this.#places.get(oldest ?? '')?.takenMs ?? Infinity)
    return this.#options.nowMs() - sinceMs > Math.max(MIN_SILENCE_MS, this.#health.latencyMs(backend) * SILENCE_FACTOR)
  }

  /** Expected time until one more request would be answered, with the cost of recent failures, in milliseconds. */
  #doneAfterMs (backend: BackendServer): number {
    const { taken } = this.#loadOf(backend)
    const ahead = Math.max(0, taken.size + 1 - backend.slots)
    return this.#health.cost(backend) * (1 + ahead / backend.slots)
  }

  /** Requests that the servers finish in a millisecond. */
  #ratePerMs (servers: BackendServer[]): number {
    return servers.reduce((sum, backend) => sum + (this.#isSilent(backend) ? 0 : backend.slots / this.#health.cost(backend)), 0)
  }

  /** Refuses the requests that would not be served in time even if the servers were somewhat faster than they were lately. A request that can't meet its objective is served only by what the newer ones leave. */
  #refuseHopeless (queue: GroupQueue, servers: BackendServer[]): void {
    if (queue.waiting.length === 0) return
    const nowMs = this.#options.nowMs()
    const neededMs = this.#neededMs(servers)
    const ratePerMs = this.#ratePerMs(servers) * SPEED_MARGIN
    const sparePerMs = ratePerMs - this.#arrivalsPerMs(queue)
    const onTime: WaitingRequest[] = []
    const late: WaitingRequest[] = []
    const hopeless: WaitingRequest[] = []
    for (const waiting of queue.waiting) {
      const startsMs = nowMs + (onTime.length + 1) / ratePerMs
      const lateStartsMs = sparePerMs <= 0 ? Infinity : startsMs + late.length / sparePerMs
      if (startsMs + neededMs <= waiting.objectiveMs) onTime.push(waiting)
      else if (lateStartsMs + neededMs <= waiting.patienceEndMs) late.push(waiting)
      else hopeless.push(waiting)
    }
    queue.waiting = [...onTime, ...late]
    for (const { from, request: { id } } of hopeless) this.#options.decide(from, id, { refused: true, retryAfterMs: this.#returnAfterMs(queue, ratePerMs) })
  }

  /** Tells refused callers to return one after the other, at the rate that the servers have to spare. */
  #returnAfterMs (queue: GroupQueue, ratePerMs: number): number {
    const nowMs = this.#options.nowMs()
    const spacingMs = ratePerMs === 0 ? 0 : 1 / (ratePerMs * SPARE_SHARE)
    const earliestMs = nowMs + MIN_RETRY_AFTER_MS * (1 + this.#options.random())
    const returnMs = Math.min(nowMs + MAX_RETRY_AFTER_MS, Math.max(earliestMs, nowMs + (ratePerMs === 0 ? 0 : queue.waiting.length / ratePerMs), queue.lastReturnMs + spacingMs))
    queue.lastReturnMs = returnMs
    return returnMs - nowMs
  }
}
