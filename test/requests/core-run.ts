import { type BackendServer, RunnerRole, ServerKind, ServerState } from '../../src/board/backend-server.js'
import { type Board, createBoard } from '../../src/board/board.js'
import { bundleSchema } from '../../src/bundles/bundle.js'
import { BundleIndex } from '../../src/bundles/bundle-index.js'
import type { Action, ActionKind, ActionOf } from '../../src/core/action.js'
import type { Controller } from '../../src/core/controller.js'
import { Core } from '../../src/core/core.js'
import { CoreActionKind, type Schedule } from '../../src/core/core-action.js'
import type { Event } from '../../src/core/event.js'
import { RequestActionKind } from '../../src/requests/request-action.js'
import { type RequestEvent, RequestEventKind } from '../../src/requests/request-event.js'

const self = { id: 'entry-0', incarnation: 'i0', failureDomain: 'd', region: 'r', callerAddress: 'c0', peerAddress: 'p0' }

/** Runs a core in virtual time: `advance` delivers the scheduled events; all actions except `Schedule` are collected in `actions`. */
export class CoreRun {
  readonly board: Board = createBoard({ self })
  readonly actions: Action[] = []
  nowMs = 1000
  readonly #core: Core
  #timers: Array<{ atMs: number, event: Event }> = []

  constructor (controllers: Controller[]) {
    this.#core = new Core({ board: this.board, controllers })
    const content = bundleSchema.parse({
      models: [{ name: 'm', service: 'm' }],
      classes: [{ name: 'c', firstTokenMs: 1000, perTokenMs: 50, deadlineMs: 20000, interactive: true }],
      organisations: [{ id: 'o', keyHashes: [], class: 'c' }]
    })
    this.board.bundle = { version: 1, hash: '', sinceMs: 0, content, index: new BundleIndex(content) }
    for (const id of ['p1', 'p2']) this.addRunner(id, RunnerRole.Prefill)
    for (const id of ['d1', 'd2']) this.addRunner(id, RunnerRole.Decode)
  }

  addRunner (id: string, role: RunnerRole): BackendServer {
    const server: BackendServer = {
      id,
      address: `${id}:1`,
      service: 'm',
      kind: ServerKind.Model,
      role,
      model: 'm',
      failureDomain: 'd',
      region: 'r',
      state: ServerState.Live,
      load: null,
      breaker: { failures: 0, openUntilMs: 0, trial: false },
      inFlight: 0,
      assignedTokens: 0
    }
    this.board.servers.set(id, server)
    return server
  }

  step (event: Event): void {
    for (const action of this.#core.step(event, { nowMs: this.nowMs, random: () => 0.5, nextId: () => 'id' })) {
      if (action.kind === CoreActionKind.Schedule) this.#schedule(action)
      else this.actions.push(action)
    }
  }

  advance (ms: number): void {
    const endMs = this.nowMs + ms
    for (;;) {
      const next = this.#timers.filter((timer) => timer.atMs <= endMs).sort((a, b) => a.atMs - b.atMs)[0]
      if (next === undefined) break
      this.#timers = this.#timers.filter((timer) => timer !== next)
      this.nowMs = Math.max(this.nowMs, next.atMs)
      this.step(next.event)
    }
    this.nowMs = endMs
  }

  actionsOf<K extends ActionKind> (kind: K): Array<ActionOf<K>> {
    return this.actions.filter((action): action is ActionOf<K> => action.kind === kind)
  }

  lastAction<K extends ActionKind> (kind: K): ActionOf<K> {
    const action = this.actionsOf(kind).at(-1)
    if (action === undefined) throw new Error(`no action of kind ${kind}`)
    return action
  }

  /** Steps the core with the arrival and the admission of a request. */
  arriveAndAdmit (fields: { request?: string, stream?: boolean, promptTokens?: number } = {}): void {
    const request = fields.request ?? 'r'
    this.step({ kind: RequestEventKind.RequestArrived, request, organisation: 'o', model: 'm', promptTokens: fields.promptTokens ?? 4000, pieces: ['a', 'b', 'c'], maxTokens: 10, stream: fields.stream ?? false })
    this.step({ kind: RequestEventKind.RequestAdmitted, request })
  }

  /** Steps the core with an event of the current attempt of request `r`. */
  stepRequest (fields: DistributiveOmit<Extract<RequestEvent, { attempt: number }>, 'attempt' | 'request'>): void {
    this.step({ request: 'r', attempt: this.board.requests.get('r')?.attempt ?? 0, ...fields } as RequestEvent)
  }

  /** Grants the last requested reservation; the link is free in `linkFreeInMs` milliseconds. */
  grantReservation (linkFreeInMs = 0): void {
    this.stepRequest({ kind: RequestEventKind.ReservationAnswered, server: this.lastAction(RequestActionKind.RequestReservation).server, granted: true, transferMs: this.nowMs + linkFreeInMs, freePieces: 10 })
  }

  /** Finishes the prefill of request `r`; its result expires after 800 ms. */
  finishPrefill (): void {
    this.stepRequest({ kind: RequestEventKind.PrefillFinished, handle: 'h', computedTokens: 4000, cachedTokens: 0, expiresMs: this.nowMs + 800 })
  }

  /** Advances request `r` to its decode stage. */
  advanceToDecode (stream = false): void {
    this.arriveAndAdmit({ stream })
    this.grantReservation()
    this.finishPrefill()
    this.stepRequest({ kind: RequestEventKind.TransferFinished })
  }

  /** Gives the server a load report with the current time. */
  setLoad (id: string, queuedTokens = 0): void {
    const server = this.board.servers.get(id)
    if (server !== undefined) server.load = { freePieces: 1, totalPieces: 1, batch: 0, queuedTokens, linkBusyMs: 0, reportedMs: this.nowMs }
  }

  #schedule ({ afterMs, event }: Schedule): void {
    this.#timers.push({ atMs: this.nowMs + afterMs, event })
  }
}

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never
