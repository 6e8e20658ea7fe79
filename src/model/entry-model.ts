import { ReservationActionKind } from '../reservations/reservation-action.js'
import { ReservationEventKind } from '../reservations/reservation-event.js'
import { peerActions } from '../adapters/peer-actions.js'
import { dispatchMessage, peerEvents } from '../adapters/peer-events.js'
import type { PeerEnvelope } from '../adapters/peer-message.js'
import { type Board, createBoard, type Tuning } from '../board/board.js'
import type { Identity } from '../board/identity.js'
import { workId } from '../board/model-request.js'
import type { Action } from '../core/action.js'
import type { Controller } from '../core/controller.js'
import { Core } from '../core/core.js'
import { CoreActionKind } from '../core/core-action.js'
import type { Event } from '../core/event.js'
import { DrainActionKind } from '../drain/drain-action.js'
import { RequestActionKind } from '../requests/request-action.js'
import { RequestEventKind, StageFailure } from '../requests/request-event.js'
import { cacheReport } from '../placement/cache-report.js'
import { ServerActionKind } from '../placement/server-action.js'
import { ServerEventKind } from '../placement/server-event.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import { modelTrustedKeys } from './bundle-store-model.js'
import { CallsModel } from './calls-model.js'
import type { EngineModel } from './engine-model.js'
import type { FleetModel } from './fleet-model.js'

/** What the model holds for a request or call besides the facts that decisions need. */
export interface Exchange {
  /** The caller's own name of this request or call. */
  attempt: string
  subject: string
  body: string
  tokens: string[]
  stream: boolean
  firstTokenMs: number | undefined
  onAnswer: (tokens: string[]) => void
  onRefusal: (refusal: string) => void
  /** The connection ended without an answer. */
  onLost: () => void
}

/** One entry instance of the model: the real core, with actions carried out on models of its surroundings. */
export class EntryModel {
  readonly self: Identity
  readonly board: Board
  readonly #fleet: FleetModel
  readonly #core: Core
  readonly #handlers: ActionHandlers
  readonly #messageHandlers: ReturnType<typeof peerEvents>
  readonly calls: CallsModel
  readonly exchanges = new Map<string, Exchange>()
  readonly #delayed: Event[] = []
  #lastId = 0
  alive = true
  paused = false
  faults = 0

  constructor (options: { self: Identity, fleet: FleetModel, controllers: Controller[], tuning: Partial<Tuning> }) {
    this.self = options.self
    this.#fleet = options.fleet
    this.board = createBoard({ self: options.self, tuning: options.tuning, keySecret: options.self.incarnation, trustedKeys: modelTrustedKeys })
    this.calls = new CallsModel({ entry: this, fleet: options.fleet })
    this.#core = new Core({ board: this.board, controllers: options.controllers })
    const peers = { send: (to: string, message: PeerEnvelope['message']) => this.#fleet.sendPeer(this, to, message) }
    const emit = (event: Event): void => this.emit(event)
    const nowMs = (): number => this.#fleet.clock.nowMs
    this.#messageHandlers = { ...peerEvents({ board: this.board, peers, emit, nowMs }), ...this.calls.messages(peers.send) }
    this.#handlers = { ...peerActions({ self: this.self, peers, emit, nowMs }), ...this.#engineHandlers(), ...this.#cacheHandlers(), ...this.calls.handlers(peers.send), ...options.fleet.bundles.handlers(this), ...this.#ownHandlers() }
  }

  nextId (): string {
    this.#lastId += 1
    return `${this.self.id}-${this.self.incarnation}-${this.#lastId}`
  }

  /** Steps an event now; a paused process sees it when it goes on, a dead one never. */
  emit (event: Event): void {
    if (!this.alive) return
    if (this.paused) {
      this.#delayed.push(event)
      return
    }
    const { clock, random } = this.#fleet
    const actions = this.#core.step(event, { nowMs: clock.nowMs, random, nextId: () => this.nextId() })
    for (const action of actions) this.#perform(action)
  }

  receive (envelope: PeerEnvelope): void {
    if (!this.alive) return
    if (this.paused) {
      this.#fleet.clock.schedule(PAUSED_RETRY_MS, () => this.receive(envelope))
      return
    }
    dispatchMessage(this.#messageHandlers, envelope)
  }

  kill (): void {
    this.alive = false
    for (const exchange of this.exchanges.values()) exchange.onLost()
    this.exchanges.clear()
  }

  resume (): void {
    this.paused = false
    for (const event of this.#delayed.splice(0)) this.emit(event)
  }

  #perform (action: Action): void {
    const handler = this.#handlers[action.kind] as ((action: Action) => void) | undefined
    if (handler === undefined) {
      this.#fleet.unhandled.add(action.kind)
      return
    }
    handler(action)
  }

  /** Runs on a server after the network's delay; `unreachable` if the server is dead or cut off. */
  #reach (server: string, arrive: (engine: EngineModel) => void, unreachable: () => void): void {
    const engine = this.#fleet.engines.get(server)
    this.#fleet.toServer(this, server, () => {
      if (engine === undefined || !engine.alive) this.#fleet.toEntry(this, server, unreachable)
      else arrive(engine)
    }, unreachable)
  }

  #reply (server: string, event: Event): void {
    this.#fleet.toEntry(this, server, () => this.emit(event))
  }

  #engineHandlers (): ActionHandlers {
    const { id: owner, incarnation } = this.self
    return {
      [RequestActionKind.StartPrefill]: ({ request, attempt, server, priority }) => {
        const found = this.board.requests.get(request)
        const exchange = this.exchanges.get(request)
        if (found === undefined || exchange === undefined) return
        const { pieces, promptTokens } = found
        const order = { work: workId({ id: request, attempt }), owner, incarnation, subject: exchange.subject, pieces, promptTokens, priority }
        const fail = (failure: StageFailure): Event => ({ kind: RequestEventKind.PrefillFailed, request, attempt, failure })
        this.#reach(server, (engine) => engine.prefill(order, (result) => {
          if (typeof result === 'string') this.#reply(server, fail(result))
          else this.#reply(server, { kind: RequestEventKind.PrefillFinished, request, attempt, ...result })
        }), () => this.emit(fail(StageFailure.Unreachable)))
      },
      [RequestActionKind.StartTransfer]: ({ request, attempt, server, source, handle, promptTokens, maxTokens }) => {
        const order = { work: workId({ id: request, attempt }), owner, incarnation, handle, promptTokens, maxTokens }
        const fail = (failure: StageFailure): Event => ({ kind: RequestEventKind.TransferFailed, request, attempt, failure })
        const sourceEngine = this.#fleet.engineAt(source)
        this.#reach(server, (engine) => {
          if (sourceEngine === undefined) {
            this.#reply(server, fail(StageFailure.Evicted))
            return
          }
          engine.import({ ...order, source: sourceEngine }, (failure) => {
            this.#reply(server, failure === null ? { kind: RequestEventKind.TransferFinished, request, attempt } : fail(failure))
          })
        }, () => this.emit(fail(StageFailure.Unreachable)))
      },
      [RequestActionKind.StartDecode]: (action) => this.#startDecode(action),
      [RequestActionKind.CancelWork]: ({ work, server }) => {
        this.#reach(server, (engine) => {
          engine.cancel(work)
          this.#reply(server, { kind: RequestEventKind.CancelConfirmed, work, server })
        }, () => undefined)
      },
      [ReservationActionKind.ListStreams]: ({ server }) => {
        this.#reach(server, (engine) => this.#reply(server, {
          kind: ReservationEventKind.StreamsListed, server, totalPieces: engine.options.totalPieces, freePieces: engine.freePieces, streams: engine.listing()
        }), () => this.emit({ kind: ReservationEventKind.StreamsUnreadable, server }))
      }
    }
  }

  /** Reads of the cache come late, and single events may be missing. */
  #cacheHandlers (): ActionHandlers {
    const { clock, random, options } = this.#fleet
    return {
      [ServerActionKind.ReadCacheEvents]: ({ server, after }) => {
        this.#reach(server, (engine) => {
          const { sequence } = engine.cachedPieces()
          const changes = engine.cacheLog.filter((change) => change.sequence > after && random() >= options.cacheEventLoss)
          const report = cacheReport({ server, after, sequence, changes })
          clock.schedule(options.cacheLagMs, () => this.#reply(server, report))
        }, () => undefined)
      },
      [ServerActionKind.ReadCache]: ({ server }) => {
        this.#reach(server, (engine) => this.#reply(server, { kind: ServerEventKind.CacheReset, server, ...engine.cachedPieces() }), () => undefined)
      }
    }
  }

  #startDecode ({ request, attempt, server, fromToken }: { request: string, attempt: number, server: string, fromToken: number }): void {
    const exchange = this.exchanges.get(request)
    if (exchange === undefined) return
    const work = workId({ id: request, attempt })
    exchange.tokens.length = Math.min(exchange.tokens.length, fromToken)
    const onToken = (index: number): void => this.#fleet.toEntry(this, server, () => {
      if (!this.alive || index !== exchange.tokens.length) return
      exchange.firstTokenMs ??= this.#fleet.clock.nowMs
      exchange.tokens.push(`${exchange.subject}#${index}`)
      this.emit({ kind: RequestEventKind.DecodeProgress, request, attempt, tokens: exchange.tokens.length })
    })
    const fail = (failure: StageFailure): Event => ({ kind: RequestEventKind.DecodeFailed, request, attempt, failure, tokens: exchange.tokens.length })
    let generated = fromToken
    const onEnd = (failure: StageFailure | null): void => this.#fleet.toEntry(this, server, () => {
      if (failure !== null) this.emit(fail(failure))
      else this.emit({ kind: RequestEventKind.DecodeFinished, request, attempt, tokens: exchange.tokens.length, announcedTokens: generated })
    })
    const counted = (index: number): void => {
      generated = index + 1
      onToken(index)
    }
    this.#reach(server, (engine) => engine.decode({ work, fromToken, onToken: counted, onEnd }), () => this.emit(fail(StageFailure.Unreachable)))
  }

  #ownHandlers (): ActionHandlers {
    return {
      [CoreActionKind.Schedule]: ({ afterMs, event }) => this.#fleet.clock.schedule(afterMs, () => this.emit(event)),
      [CoreActionKind.Log]: ({ name }) => this.#fleet.countLog(name),
      [RequestActionKind.AnswerRequest]: ({ request }) => this.answer(request, this.exchanges.get(request)?.tokens ?? []),
      [RequestActionKind.RefuseRequest]: ({ request, refusal }) => this.refuse(request, refusal),
      [DrainActionKind.Exit]: () => this.#fleet.entryExited(this)
    }
  }

  /** Ends the exchange of a request or call with its answer. */
  answer (id: string, tokens: string[]): void {
    const exchange = this.exchanges.get(id)
    this.exchanges.delete(id)
    exchange?.onAnswer([...tokens])
  }

  refuse (id: string, refusal: string): void {
    const exchange = this.exchanges.get(id)
    this.exchanges.delete(id)
    exchange?.onRefusal(refusal)
  }
}

/** A message that reaches a paused process waits in its socket; it is looked at again after this time. */
const PAUSED_RETRY_MS = 50
