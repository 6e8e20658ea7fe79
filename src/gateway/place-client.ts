import type { Log } from '../logs/log.js'
import { type BackendServer, RunnerRole } from './backend.js'
import type { BackendTable } from './backend-table.js'
import type { InstanceTable } from './instance-table.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import type { PlaceScheduler } from './place-scheduler.js'
import { groupCount, groupKey, type PlaceDecision, type PlaceRequest, placesOf, type PlaceUse } from './plain-place.js'

/** Time without an answer of the coordinator after which it is asked again, in milliseconds; an answer usually takes a few milliseconds. */
const RESEND_MS = 30

/** Number of unanswered requests after which an instance chooses a server itself. */
const MAX_UNANSWERED_SENDS = 2

/** Time between repetitions of a request that waits, in milliseconds: the answer may have been lost, and a new coordinator knows nothing of it. */
const WAITING_RESEND_MS = 150

/** Time for which an instance chooses servers itself after the coordinator has not answered, in milliseconds. */
const SILENT_COORDINATOR_MS = 500

/** Instances for each place above which the coordinator decides. With fewer, an instance has a place or more on average, and what it sees of the servers itself is enough. */
const COORDINATED_INSTANCES_PER_PLACE = 1

/** Instances for each place below which the instances choose servers themselves again. */
const UNCOORDINATED_INSTANCES_PER_PLACE = 0.8

/** Random digits that tell the places of this run of the process from those of an earlier one. */
const RUN_ID_RANGE = 1_000_000

/** A place that an instance holds, until it is returned. */
export interface Place {
  server: string
  /** Has to be called once; null if the request was not sent. */
  return: (use: PlaceUse | null) => void
}

/** Answer to a request for a place; `unanswered` if no coordinator answers. */
export type PlaceAnswer = Place | { refused: true, retryAfterMs: number } | { unanswered: true }

interface PlaceClientOptions {
  ip: string
  failureDomain: string
  nowMs: () => number
  random: () => number
  log: Log
  backends: Pick<BackendTable, 'ready'>
  instances: InstanceTable
  /** Decides for the groups that this instance coordinates. */
  scheduler: PlaceScheduler
  canCoordinate: () => boolean
  send: (ip: string, message: PeerDatagram) => void
}

interface OutstandingRequest {
  decide: (from: string, decision: PlaceDecision) => void
  markWaiting: () => void
}

/** Requests places at the servers of plain services from the coordinators, where many instances share few servers. */
export class PlaceClient {
  readonly #options: PlaceClientOptions
  readonly #outstanding = new Map<string, OutstandingRequest>()
  /** By id of each place in use, the instance that gave it out. */
  readonly #held = new Map<string, string>()
  readonly #coordinated = new Set<string>()
  /** By group, until when this instance chooses servers itself, in milliseconds. */
  readonly #silentUntilMs = new Map<string, number>()
  readonly #runId: string
  #requests = 0

  constructor (options: PlaceClientOptions) {
    this.#options = options
    this.#runId = `${options.ip}-${Math.floor(options.random() * RUN_ID_RANGE)}`
  }

  /** Whether a coordinator gives out the places of a service: an instance sees too few requests to know the load of its servers. */
  isCoordinated (service: string): boolean {
    const { backends, instances } = this.#options
    const perPlace = instances.servingCount() / Math.max(1, placesOf(backends.ready(service, RunnerRole.None)))
    if (perPlace > COORDINATED_INSTANCES_PER_PLACE) this.#coordinated.add(service)
    if (perPlace < UNCOORDINATED_INSTANCES_PER_PLACE) this.#coordinated.delete(service)
    return this.#coordinated.has(service)
  }

  /** Requests a place. `onWithdrawable` gets a function that ends the wait when the caller has gone. */
  acquire (wanted: Omit<PlaceRequest, 'id' | 'group' | 'failureDomain'>, onWithdrawable: (withdraw: () => void) => void): Promise<PlaceAnswer> {
    const group = this.#chooseGroup(wanted.service)
    const key = groupKey(wanted.service, group)
    if (this.#options.nowMs() < (this.#silentUntilMs.get(key) ?? -Infinity)) return Promise.resolve({ unanswered: true })
    this.#requests += 1
    const request = { ...wanted, id: `${this.#runId}-${this.#requests}`, group, failureDomain: this.#options.failureDomain }
    return new Promise((resolve) => this.#ask(request, resolve, onWithdrawable))
  }

  /** Handles an answer of the instance `from`. A place that is not wanted any more, or was also given out by another coordinator, goes back. */
  handleDecision (from: string, id: string, decision: PlaceDecision): void {
    const outstanding = this.#outstanding.get(id)
    if (outstanding !== undefined) return outstanding.decide(from, decision)
    if ('server' in decision && this.#held.get(id) !== from) this.#return(from, id, null)
  }

  handleWaiting (id: string): void {
    this.#outstanding.get(id)?.markWaiting()
  }

  #ask (request: PlaceRequest, resolve: (answer: PlaceAnswer) => void, onWithdrawable: (withdraw: () => void) => void): void {
    const { nowMs, instances, log } = this.#options
    const startedMs = nowMs()
    const key = groupKey(request.service, request.group)
    let unanswered = 0
    let coordinator = this.#coordinatorOf(key)
    let timer: NodeJS.Timeout | undefined
    const settle = (answer: PlaceAnswer): void => {
      clearTimeout(timer)
      this.#outstanding.delete(request.id)
      resolve(answer)
    }
    const giveUp = (): void => {
      this.#silentUntilMs.set(key, nowMs() + SILENT_COORDINATOR_MS)
      instances.markDeadIfSilent(coordinator)
      log.warn('place.unanswered', { service: request.service, keeper: coordinator })
      this.#return(coordinator, request.id, null)
      settle({ unanswered: true })
    }
    const send = (): void => {
      if (unanswered >= MAX_UNANSWERED_SENDS) return giveUp()
      unanswered += 1
      const previous = coordinator
      coordinator = this.#coordinatorOf(key)
      if (previous !== coordinator) this.#return(previous, request.id, null)
      const elapsedMs = nowMs() - startedMs
      timer = setTimeout(send, RESEND_MS)
      this.#send(coordinator, { ...request, objectiveLeftMs: request.objectiveLeftMs - elapsedMs, patienceMs: request.patienceMs - elapsedMs })
    }
    this.#outstanding.set(request.id, {
      decide: (from, decision) => settle('refused' in decision ? decision : this.#hold(from, request.id, decision.server)),
      markWaiting: () => {
        unanswered = 0
        clearTimeout(timer)
        timer = setTimeout(send, WAITING_RESEND_MS)
      }
    })
    onWithdrawable(() => {
      if (!this.#outstanding.has(request.id)) return
      this.#return(coordinator, request.id, null)
      settle({ refused: true, retryAfterMs: 0 })
    })
    send()
  }

  #hold (coordinator: string, id: string, server: string): Place {
    this.#held.set(id, coordinator)
    return {
      server,
      return: (use) => { if (this.#held.delete(id)) this.#return(coordinator, id, use) }
    }
  }

  #send (coordinator: string, request: PlaceRequest): void {
    const { ip, scheduler, send } = this.#options
    if (coordinator !== ip) return send(coordinator, { kind: PeerDatagramKind.TakePlace, request })
    if (scheduler.request(ip, request)) this.handleWaiting(request.id)
  }

  #return (coordinator: string, id: string, use: PlaceUse | null): void {
    const { ip, scheduler, send } = this.#options
    if (coordinator === ip) scheduler.return(id, use)
    else send(coordinator, { kind: PeerDatagramKind.ReturnPlace, id, use })
  }

  #coordinatorOf (key: string): string {
    const { instances, canCoordinate } = this.#options
    return instances.coordinatorOf(key, canCoordinate())
  }

  #chooseGroup (service: string): number {
    return Math.floor(this.#options.random() * groupCount(this.#readyServers(service)))
  }

  #readyServers (service: string): BackendServer[] {
    return this.#options.backends.ready(service, RunnerRole.None)
  }
}
