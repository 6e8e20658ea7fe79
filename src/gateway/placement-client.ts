import type { Log } from '../logs/log.js'
import type { EngineConfiguration, Route } from './configuration.js'
import type { InstanceTable } from './instance-table.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import type { PendingRequest } from './pending-request.js'
import type { AlternativePlacement, Placer } from './placer.js'
import { type Placement, type PlacementRequest, PlacementRefusal, type RefusedPlacement, type RunProgress } from './placement.js'
import { type PlacementScheduler } from './placement-scheduler.js'
import type { RunnerPause } from './server-pauses.js'

/** Time without an answer from the coordinator after which a placement request is sent again, in milliseconds; an answer usually takes a few milliseconds. */
const RESEND_MS = 70

/** Number of consecutive unanswered sends of a placement request after which the coordinator counts as unresponsive. */
const MAX_UNANSWERED_SENDS = 3

/** Maximum number of coordinators tried in turn before this instance decides alone. */
const MAX_COORDINATORS = 2

/** Time after which a placement request that waits at the coordinator is sent again, in milliseconds. */
const WAITING_RESEND_MS = 300

/** Time between progress reports of this instance's runs, in milliseconds. */
export const REPORT_PERIOD_MS = 300

/** Maximum number of runs in one report, so that it fits a datagram. */
const MAX_RUNS_PER_REPORT = 8

/** Time reserved for a placed request to produce its first event, in milliseconds; after a longer wait for the placement, the event could come after the caller has given up. */
const FIRST_EVENT_RESERVE_MS = 250

/** Minimum time that callers wait for an event before they give up, in milliseconds; they wait for the maximum of this time and the two multiples below. */
const MIN_GIVE_UP_MS = 2000

/** Multiple of the route's `targetLatencyMs` that callers wait for an event. */
const GIVE_UP_LATENCY_FACTOR = 4

/** Multiple of the route's `longestPauseMs` that callers wait for an event. */
const GIVE_UP_PAUSE_FACTOR = 8

/** Share of the time until callers give up that a request may wait for a placement; the rest is left for its first event, or for a refusal that still reaches the caller. */
const MAX_WAIT_SHARE_OF_GIVE_UP_TIME = 0.7

/** Share of its remaining time, until its deadline or the route's timeout, that a request may wait for a placement; the stream needs the rest. */
const MAX_WAIT_SHARE_OF_REMAINING_TIME = 0.4

/** Least time for which a request for an alternative place waits, in milliseconds; the caller may wait longer than it has to. */
const MIN_ALTERNATIVE_PATIENCE_MS = 300

type Decision = Placement | RefusedPlacement

/** The decision on a request that ended while it waited; nothing uses its values. */
const ENDED_WHILE_WAITING: RefusedPlacement = { refusal: PlacementRefusal.CallerDisconnected, retryAfterMs: 0, waiting: 0, runs: 0 }

/** The decision on an alternative place while no coordinator answers. */
const NO_COORDINATOR: RefusedPlacement = { refusal: PlacementRefusal.NoCoordinator, retryAfterMs: 0, waiting: 0, runs: 0 }

/** A decision and the IP address of the instance that made it. */
interface Decided {
  coordinator: string
  decision: Decision
}

/** What a placement request waits for besides its decision. */
type Waiter = Pick<PendingRequest, 'ended' | 'whenEnded'>

/** The wait for an alternative place; it ends with its request or when it is withdrawn. */
class AlternativeWait implements Waiter {
  readonly #listeners: Array<() => void> = []
  ended = false

  constructor (options: { pending: PendingRequest }) {
    options.pending.whenEnded(() => this.end())
  }

  whenEnded (listener: () => void): void {
    if (this.ended) listener()
    else this.#listeners.push(listener)
  }

  end (): void {
    if (this.ended) return
    this.ended = true
    for (const listener of this.#listeners) listener()
  }
}

/** A run of a request that this instance serves. Its id is that of the placement request. */
interface OwnRun extends RunProgress {
  /** Tokens counted for each event of the stream. */
  tokensPerEvent: number
  /** IP address of the instance that decided on the placement. */
  coordinator: string
}

/** A placement request that its coordinator has not decided yet. */
interface OutstandingRequest {
  /** Called when the coordinator reports that the request waits; restarts the resend timer with the longer period. */
  onWaiting: () => void
  onDecision: (decision: Decision) => void
}

interface PlacementClientOptions {
  ip: string
  failureDomain: string
  instances: InstanceTable
  /** Places the requests of all instances for the services that this one coordinates. */
  scheduler: PlacementScheduler
  /** Places only the requests of this instance, when no coordinator answers. */
  localScheduler: PlacementScheduler
  engine: (service: string) => EngineConfiguration | null
  /** The runners of a service that have turned this instance away. */
  pauses: (service: string) => RunnerPause[]
  /** Whether this instance may coordinate services itself. */
  canCoordinate: () => boolean
  send: (ip: string, message: PeerDatagram) => void
  log: Log
  nowMs: () => number
}

/** Requests placements from the coordinator of a service and reports the progress of runs to it. */
export class PlacementClient implements Placer {
  readonly #options: PlacementClientOptions
  readonly #outstanding = new Map<string, OutstandingRequest>()
  /** Runs by the id of their request. */
  readonly #runs = new Map<string, OwnRun>()
  /** Number of alternative places requested so far; makes the ids of these requests unique. */
  #alternativeCount = 0

  constructor (options: PlacementClientOptions) {
    this.#options = options
  }

  async place (pending: PendingRequest, excluded: string[]): Promise<Decision> {
    for (const server of excluded) this.recordRunnerFailure(pending.service, server)
    this.#release(pending.request.id)
    const request = this.#placementRequestOf(pending)
    const decided = await this.#decide(request, pending)
    return this.#recordDecision(pending, request, decided)
  }

  placeAlternative (pending: PendingRequest, silentMs: number): AlternativePlacement {
    this.#alternativeCount += 1
    const request = this.#alternativeRequestOf(pending, silentMs)
    const wait = new AlternativeWait({ pending })
    let decided: Decided | null = null
    let accepted = false
    wait.whenEnded(() => { if (decided !== null && !accepted) this.#releasePlacement(request.id, decided.coordinator) })
    const decision = this.#decide(request, wait, { alone: false }).then((result) => {
      decided = result
      if (wait.ended && !accepted) this.#releasePlacement(request.id, result.coordinator)
      return result.decision
    })
    return {
      decision,
      accept: () => {
        if (decided === null || wait.ended) return
        accepted = true
        this.#release(pending.request.id)
        this.#recordDecision(pending, request, decided)
      },
      withdraw: () => wait.end()
    }
  }

  /** Asks the coordinator of the request's service. If none answers, it decides alone or, with `alone` false, refuses. */
  async #decide (request: PlacementRequest, waiter: Waiter, { alone = true }: { alone?: boolean } = {}): Promise<Decided> {
    for (let attempt = 0; attempt < MAX_COORDINATORS && !waiter.ended; attempt += 1) {
      const coordinator = this.#coordinatorOf(request.service)
      const decision = coordinator === this.#options.ip
        ? await this.#submitTo(this.#options.scheduler, request, waiter)
        : await this.#requestFrom(coordinator, request, waiter)
      if (decision !== null) return { coordinator, decision }
      const dead = this.#options.instances.markDeadIfSilent(coordinator)
      this.#options.log.warn('keeper.silent', { keeper: coordinator, dead, request: request.id, service: request.service })
      // Another instance would not know the runs of a coordinator that is still alive, so this instance decides alone.
      if (!dead) break
    }
    // Alone, this instance does not see the runs of the others, so it can't tell that another place is better than the present one.
    if (!alone) return { coordinator: this.#coordinatorOf(request.service), decision: NO_COORDINATOR }
    return { coordinator: this.#options.ip, decision: await this.#submitTo(this.#options.localScheduler, request, waiter) }
  }

  recordPrefillDone (requestId: string, tokensPerMs: number | null): void {
    const run = this.#runs.get(requestId)
    if (run === undefined) return
    this.#options.localScheduler.recordPrefillDone(run.id, tokensPerMs)
    this.#notify(run.coordinator, { kind: PeerDatagramKind.Prefilled, id: run.id, tokensPerMs })
  }

  recordProgress (requestId: string, _eventId: string | null): void {
    const run = this.#runs.get(requestId)
    if (run !== undefined) run.madeTokens += run.tokensPerEvent
  }

  recordRunnerFailure (service: string, server: string): void {
    this.#options.localScheduler.recordRunnerFailure(server)
    this.#notify(this.#coordinatorOf(service), { kind: PeerDatagramKind.Failed, server })
  }

  /** Reports the runs of this instance to the coordinators of their services. */
  sendReports (): void {
    const byCoordinator = new Map<string, RunProgress[]>()
    for (const { tokensPerEvent: _tokens, coordinator: _coordinator, ...report } of this.#runs.values()) {
      const coordinator = this.#coordinatorOf(report.service)
      byCoordinator.set(coordinator, [...byCoordinator.get(coordinator) ?? [], report])
    }
    for (const [coordinator, runs] of byCoordinator) {
      this.#options.localScheduler.recordProgress(runs)
      for (let start = 0; start < runs.length; start += MAX_RUNS_PER_REPORT) {
        this.#notify(coordinator, { kind: PeerDatagramKind.Report, runs: runs.slice(start, start + MAX_RUNS_PER_REPORT) })
      }
    }
  }

  /** Handles a coordinator's answer to a placement request. */
  handleAnswer (message: PeerDatagram): void {
    if (message.kind === PeerDatagramKind.Waiting) this.#outstanding.get(message.id)?.onWaiting()
    if (message.kind === PeerDatagramKind.Placed) this.#outstanding.get(message.id)?.onDecision({ prefill: message.prefill, decode: message.decode })
    if (message.kind === PeerDatagramKind.Refused) {
      const { refusal, retryAfterMs, waiting, runs } = message
      this.#outstanding.get(message.id)?.onDecision({ refusal, retryAfterMs, waiting, runs })
    }
  }

  #placementRequestOf (pending: PendingRequest): PlacementRequest {
    const { request, route, service, organisation } = pending
    const parameters = request.generationParameters
    return {
      id: request.id,
      service,
      failureDomain: this.#options.failureDomain,
      organisation: organisation?.name ?? '',
      priority: pending.priority,
      promptTokens: parameters?.promptTokens ?? 0,
      output: { estimateTokens: parameters?.estimatedOutputTokens ?? null, maxTokens: parameters?.maxOutputTokens ?? 0 },
      promptId: parameters?.promptId ?? null,
      objectiveLeftMs: route.targetLatencyMs - pending.ageMs(),
      patienceMs: Math.min(MAX_WAIT_SHARE_OF_GIVE_UP_TIME * giveUpMs(route) - FIRST_EVENT_RESERVE_MS, MAX_WAIT_SHARE_OF_REMAINING_TIME * pending.remainingMs()),
      longestReturnMs: pending.longestReturnMs,
      pauses: this.#options.pauses(service)
    }
  }

  /** The request for another place of a begun stream: its objective is to make the next event before the caller gives up. */
  #alternativeRequestOf (pending: PendingRequest, silentMs: number): PlacementRequest {
    const leftMs = giveUpMs(pending.route) - silentMs
    return {
      ...this.#placementRequestOf(pending),
      id: `${pending.request.id}/${this.#alternativeCount}`,
      objectiveLeftMs: leftMs,
      patienceMs: Math.max(MIN_ALTERNATIVE_PATIENCE_MS, leftMs - FIRST_EVENT_RESERVE_MS)
    }
  }

  #submitTo (scheduler: PlacementScheduler, request: PlacementRequest, waiter: Waiter): Promise<Decision> {
    return new Promise((resolve) => {
      scheduler.submit(request, resolve)
      waiter.whenEnded(() => {
        scheduler.release(request.id)
        resolve(ENDED_WHILE_WAITING)
      })
    })
  }

  /** Requests a placement from the coordinator; null if it does not answer. */
  #requestFrom (coordinator: string, request: PlacementRequest, waiter: Waiter): Promise<Decision | null> {
    return new Promise((resolve) => {
      let unanswered = 0
      let settled = false
      let timer: NodeJS.Timeout | undefined
      const settle = (decision: Decision | null): void => {
        if (settled) return
        settled = true
        clearTimeout(timer)
        this.#outstanding.delete(request.id)
        resolve(decision)
      }
      const sendRequest = (): void => {
        if (settled) return
        if (unanswered >= MAX_UNANSWERED_SENDS) return settle(null)
        unanswered += 1
        this.#options.send(coordinator, { kind: PeerDatagramKind.Place, request })
        timer = setTimeout(sendRequest, RESEND_MS)
      }
      this.#outstanding.set(request.id, {
        onDecision: settle,
        onWaiting: () => {
          unanswered = 0
          clearTimeout(timer)
          timer = setTimeout(sendRequest, WAITING_RESEND_MS)
        }
      })
      waiter.whenEnded(() => {
        if (settled) return
        this.#options.send(coordinator, { kind: PeerDatagramKind.Release, id: request.id })
        settle(ENDED_WHILE_WAITING)
      })
      sendRequest()
    })
  }

  #recordDecision (pending: PendingRequest, request: PlacementRequest, { coordinator, decision }: Decided): Decision {
    pending.addLogFields({ keeper: coordinator, placedMs: Math.round(pending.ageMs()) })
    if ('refusal' in decision) return decision
    pending.addLogFields({ decode: decision.decode, prefill: decision.prefill ?? 'none' })
    const { id, service, promptTokens, output } = request
    const requestId = pending.request.id
    const tokensPerEvent = this.#options.engine(service)?.tokensPerEvent ?? 1
    this.#runs.set(requestId, { id, service, decode: decision.decode, promptTokens, output, madeTokens: 0, tokensPerEvent, coordinator })
    pending.whenEnded(() => {
      const run = this.#runs.get(requestId)
      if (run?.id !== id) return
      pending.addLogFields({ estimatedTokens: output.estimateTokens ?? 'none', madeTokens: run.madeTokens })
      this.#release(requestId)
    })
    return decision
  }

  #release (requestId: string): void {
    const run = this.#runs.get(requestId)
    if (run === undefined) return
    this.#runs.delete(requestId)
    this.#releasePlacement(run.id, run.coordinator)
    const coordinator = this.#coordinatorOf(run.service)
    if (coordinator !== run.coordinator) this.#notify(coordinator, { kind: PeerDatagramKind.Release, id: run.id })
  }

  #releasePlacement (id: string, coordinator: string): void {
    this.#options.localScheduler.release(id)
    this.#notify(coordinator, { kind: PeerDatagramKind.Release, id })
  }

  #coordinatorOf (service: string): string {
    return this.#options.instances.coordinatorOf(service, this.#options.canCoordinate())
  }

  #notify (coordinator: string, message: PeerDatagram): void {
    if (coordinator !== this.#options.ip) return this.#options.send(coordinator, message)
    schedulerHandlers[message.kind]?.(this.#options.scheduler, message as never)
  }
}

/** Time without an event after which callers give up, in milliseconds. */
function giveUpMs ({ targetLatencyMs, longestPauseMs }: Route): number {
  return Math.max(MIN_GIVE_UP_MS, GIVE_UP_LATENCY_FACTOR * targetLatencyMs, GIVE_UP_PAUSE_FACTOR * longestPauseMs)
}

/** Answers another instance's placement request, now and again with the decision if it has to wait; an answer that was lost is sent anew. */
export function answerPlacementRequest (scheduler: PlacementScheduler, request: PlacementRequest, answer: (message: PeerDatagram) => void): void {
  const { id } = request
  const placement = scheduler.placementOf(id)
  if (placement !== null) return answer({ kind: PeerDatagramKind.Placed, id, ...placement })
  const isWaiting = scheduler.isWaiting(id) || scheduler.submit(request, (decision) => {
    answer('refusal' in decision ? { kind: PeerDatagramKind.Refused, id, ...decision } : { kind: PeerDatagramKind.Placed, id, ...decision })
  })
  if (isWaiting) answer({ kind: PeerDatagramKind.Waiting, id })
}

type SchedulerHandlers = { [K in PeerDatagramKind]?: (scheduler: PlacementScheduler, message: Extract<PeerDatagram, { kind: K }>) => void }

/** Handlers of the messages that get no answer; each applies its message to the coordinator's scheduler. */
export const schedulerHandlers: SchedulerHandlers = {
  [PeerDatagramKind.Release]: (scheduler, { id }) => scheduler.release(id),
  [PeerDatagramKind.Prefilled]: (scheduler, { id, tokensPerMs }) => scheduler.recordPrefillDone(id, tokensPerMs),
  [PeerDatagramKind.Report]: (scheduler, { runs }) => scheduler.recordProgress(runs),
  [PeerDatagramKind.Failed]: (scheduler, { server }) => scheduler.recordRunnerFailure(server)
}
