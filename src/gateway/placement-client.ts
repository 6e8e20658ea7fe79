import type { Log } from '../logs/log.js'
import type { EngineConfiguration, Route } from './configuration.js'
import type { InstanceTable } from './instance-table.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import type { PendingRequest } from './pending-request.js'
import type { Placer } from './placer.js'
import { type Placement, type PlacementRequest, PlacementRefusal, type RefusedPlacement, type RunProgress } from './placement.js'
import { type PlacementScheduler } from './placement-scheduler.js'

/** Wait for any sign from the keeper before it is asked again, in milliseconds; an answer takes a few. */
const ASK_AGAIN_MS = 70

/** Unanswered questions after which the keeper is taken for dead. */
const MAX_UNANSWERED = 3

/** Keepers asked in turn before this instance decides alone. */
const MAX_KEEPERS = 2

/** Time between questions about a request that waits at the keeper, in milliseconds. */
const ASK_WAITING_MS = 300

/** Time between reports of the runs of this instance, in milliseconds. */
export const REPORT_PERIOD_MS = 300

/** Runs in one report, so that it fits a datagram. */
const RUNS_IN_REPORT = 8

/** Time needed from a place to the first event, in milliseconds; a wait that leaves less makes the stream late. */
const START_TIME_MS = 250

/** Callers give up on a silent stream after the longest of two seconds, four objectives and eight longest pauses. */
const GIVE_UP_MS = 2000
const GIVE_UP_OBJECTIVES = 4
const GIVE_UP_PAUSES = 8

/** Share of the time until callers give up in which a request may wait for a place; the rest is for its first event and for a truthful refusal in time. */
const PATIENCE_SHARE = 0.7

/** Share of its remaining time that a request may wait for a place; a stream needs the rest. */
const WAITING_SHARE = 0.4

type Decision = Placement | RefusedPlacement

/** Settles the question of a request that has ended meanwhile; nobody reads it. */
const CALLER_LEFT: RefusedPlacement = { refusal: PlacementRefusal.CallerDisconnected, retryAfterMs: 0, waiting: 0, runs: 0 }

interface OwnRun extends RunProgress {
  tokensPerEvent: number
  keeper: string
}

interface Asking {
  heard: () => void
  decide: (decision: Decision) => void
}

interface PlacementClientOptions {
  ip: string
  failureDomain: string
  instances: InstanceTable
  /** Decides for all instances where this one is the keeper. */
  desk: PlacementScheduler
  /** Decides for this instance alone when no keeper answers. */
  ownDesk: PlacementScheduler
  engine: (service: string) => EngineConfiguration | null
  serves: () => boolean
  send: (ip: string, message: PeerDatagram) => void
  log: Log
  nowMs: () => number
}

/** Asks the instance that keeps a service's runners for places, and reports to it. */
export class PlacementClient implements Placer {
  readonly #options: PlacementClientOptions
  readonly #asking = new Map<string, Asking>()
  readonly #runs = new Map<string, OwnRun>()

  constructor (options: PlacementClientOptions) {
    this.#options = options
  }

  async place (pending: PendingRequest, excluded: string[]): Promise<Decision> {
    for (const server of excluded) this.recordRunnerFailure(pending.service, server)
    this.#release(pending.request.id)
    const request = this.#requestOf(pending)
    for (let asked = 0; asked < MAX_KEEPERS && !pending.ended; asked += 1) {
      const keeper = this.#keeperOf(request.service)
      const decision = keeper === this.#options.ip
        ? await this.#askDesk(this.#options.desk, request, pending)
        : await this.#askKeeper(keeper, request, pending)
      if (decision !== null) return this.#taken(pending, request, keeper, decision)
      const dead = this.#options.instances.suspect(keeper)
      this.#options.log.warn('keeper.silent', { keeper, dead, request: request.id, service: request.service })
      // Another keeper would not know the runs of one that lives.
      if (!dead) break
    }
    const decision = await this.#askDesk(this.#options.ownDesk, request, pending)
    return this.#taken(pending, request, this.#options.ip, decision)
  }

  recordPrefillDone (id: string, tokensPerMs: number | null): void {
    const run = this.#runs.get(id)
    if (run === undefined) return
    this.#options.ownDesk.recordPrefillDone(id, tokensPerMs)
    this.#tell(run.keeper, { kind: PeerDatagramKind.Prefilled, id, tokensPerMs })
  }

  recordProgress (id: string, _eventId: string | null): void {
    const run = this.#runs.get(id)
    if (run !== undefined) run.madeTokens += run.tokensPerEvent
  }

  recordRunnerFailure (service: string, server: string): void {
    this.#options.ownDesk.recordRunnerFailure(server)
    this.#tell(this.#keeperOf(service), { kind: PeerDatagramKind.Failed, server })
  }

  /** Reports the runs of this instance to their keepers. */
  report (): void {
    const byKeeper = new Map<string, RunProgress[]>()
    for (const { tokensPerEvent: _tokens, keeper: _keeper, ...report } of this.#runs.values()) {
      const keeper = this.#keeperOf(report.service)
      byKeeper.set(keeper, [...byKeeper.get(keeper) ?? [], report])
    }
    for (const [keeper, runs] of byKeeper) {
      this.#options.ownDesk.recordProgress(runs)
      for (let at = 0; at < runs.length; at += RUNS_IN_REPORT) {
        this.#tell(keeper, { kind: PeerDatagramKind.Report, runs: runs.slice(at, at + RUNS_IN_REPORT) })
      }
    }
  }

  /** Takes an answer of a keeper. */
  answered (message: PeerDatagram): void {
    if (message.kind === PeerDatagramKind.Waiting) this.#asking.get(message.id)?.heard()
    if (message.kind === PeerDatagramKind.Placed) this.#asking.get(message.id)?.decide({ prefill: message.prefill, decode: message.decode })
    if (message.kind === PeerDatagramKind.Refused) {
      const { refusal, retryAfterMs, waiting, runs } = message
      this.#asking.get(message.id)?.decide({ refusal, retryAfterMs, waiting, runs })
    }
  }

  #requestOf (pending: PendingRequest): PlacementRequest {
    const { request, route, service } = pending
    const work = request.work
    return {
      id: request.id,
      service,
      failureDomain: this.#options.failureDomain,
      promptTokens: work?.promptTokens ?? 0,
      output: { estimateTokens: work?.estimatedOutputTokens ?? null, maxTokens: work?.maxOutputTokens ?? 0 },
      promptId: work?.promptId ?? null,
      objectiveLeftMs: route.targetLatencyMs - pending.ageMs(),
      patienceMs: Math.min(PATIENCE_SHARE * giveUpMs(route) - START_TIME_MS, WAITING_SHARE * pending.remainingMs())
    }
  }

  #askDesk (desk: PlacementScheduler, request: PlacementRequest, pending: PendingRequest): Promise<Decision> {
    return new Promise((resolve) => {
      desk.submit(request, resolve)
      pending.onStop(() => {
        desk.release(request.id)
        resolve(CALLER_LEFT)
      })
    })
  }

  /** Null when the keeper shows no sign of life. */
  #askKeeper (keeper: string, request: PlacementRequest, pending: PendingRequest): Promise<Decision | null> {
    return new Promise((resolve) => {
      let unanswered = 0
      let settled = false
      let timer: NodeJS.Timeout | undefined
      const settle = (decision: Decision | null): void => {
        if (settled) return
        settled = true
        clearTimeout(timer)
        this.#asking.delete(request.id)
        resolve(decision)
      }
      const ask = (): void => {
        if (settled) return
        if (unanswered >= MAX_UNANSWERED) return settle(null)
        unanswered += 1
        this.#options.send(keeper, { kind: PeerDatagramKind.Place, request })
        timer = setTimeout(ask, ASK_AGAIN_MS)
      }
      this.#asking.set(request.id, {
        decide: settle,
        heard: () => {
          unanswered = 0
          clearTimeout(timer)
          timer = setTimeout(ask, ASK_WAITING_MS)
        }
      })
      pending.onStop(() => {
        if (settled) return
        this.#options.send(keeper, { kind: PeerDatagramKind.Release, id: request.id })
        settle(CALLER_LEFT)
      })
      ask()
    })
  }

  #taken (pending: PendingRequest, request: PlacementRequest, keeper: string, decision: Decision): Decision {
    pending.note({ keeper, placedMs: Math.round(pending.ageMs()) })
    if ('refusal' in decision) return decision
    pending.note({ decode: decision.decode, prefill: decision.prefill ?? 'none' })
    const { id, service, promptTokens, output } = request
    const tokensPerEvent = this.#options.engine(service)?.tokensPerEvent ?? 1
    this.#runs.set(id, { id, service, decode: decision.decode, promptTokens, output, madeTokens: 0, tokensPerEvent, keeper })
    pending.onStop(() => {
      pending.note({ estimatedTokens: output.estimateTokens ?? 'none', madeTokens: this.#runs.get(id)?.madeTokens ?? 0 })
      this.#release(id)
    })
    return decision
  }

  #release (id: string): void {
    const run = this.#runs.get(id)
    if (run === undefined) return
    this.#runs.delete(id)
    this.#options.ownDesk.release(id)
    this.#tell(run.keeper, { kind: PeerDatagramKind.Release, id })
    const keeper = this.#keeperOf(run.service)
    if (keeper !== run.keeper) this.#tell(keeper, { kind: PeerDatagramKind.Release, id })
  }

  #keeperOf (service: string): string {
    return this.#options.instances.coordinatorOf(service, this.#options.serves())
  }

  #tell (keeper: string, message: PeerDatagram): void {
    if (keeper !== this.#options.ip) return this.#options.send(keeper, message)
    schedulerHandlers[message.kind]?.(this.#options.desk, message as never)
  }
}

/** Time without an event after which callers give up. */
function giveUpMs ({ targetLatencyMs, longestPauseMs }: Route): number {
  return Math.max(GIVE_UP_MS, GIVE_UP_OBJECTIVES * targetLatencyMs, GIVE_UP_PAUSES * longestPauseMs)
}

type DeskHandlers = { [K in PeerDatagramKind]?: (desk: PlacementScheduler, message: Extract<PeerDatagram, { kind: K }>) => void }

/** What the keeper's desk does with each message that needs no answer. */
export const schedulerHandlers: DeskHandlers = {
  [PeerDatagramKind.Release]: (desk, { id }) => desk.release(id),
  [PeerDatagramKind.Prefilled]: (desk, { id, tokensPerMs }) => desk.recordPrefillDone(id, tokensPerMs),
  [PeerDatagramKind.Report]: (desk, { runs }) => desk.recordProgress(runs),
  [PeerDatagramKind.Failed]: (desk, { server }) => desk.recordRunnerFailure(server)
}
