import { ServerKind, ServerState } from '../../src/board/backend-server.js'
import { type Board, createBoard } from '../../src/board/board.js'
import { MemberState } from '../../src/board/member.js'
import { bundleSchema } from '../../src/bundles/bundle.js'
import { BundleIndex } from '../../src/bundles/bundle-index.js'
import { CallActionKind, type ClaimKey, type RecordOutcome, type SendCall } from '../../src/calls/call-action.js'
import { CallEventKind } from '../../src/calls/call-event.js'
import type { Action } from '../../src/core/action.js'
import { controllers } from '../../src/core/controllers.js'
import { Core } from '../../src/core/core.js'
import { CoreActionKind } from '../../src/core/core-action.js'
import type { Event } from '../../src/core/event.js'
import { ServerEventKind } from '../../src/placement/server-event.js'

const organisationConfig = (id: string): object => ({ id, keyHashes: [], class: 'standard', concurrency: 4, requestsPerSecond: 1000 })

const content = bundleSchema.parse({
  models: [],
  routes: [
    { name: 'order', path: '/orders', method: 'POST', service: 'desk', repeatable: false, timeoutMs: 2000 },
    { name: 'stock', path: '/stock', method: 'GET', service: 'desk', repeatable: true, timeoutMs: 2000 }
  ],
  classes: [{ name: 'standard', firstTokenMs: 1, perTokenMs: 1, deadlineMs: 1, interactive: false }],
  organisations: [organisationConfig('shop'), organisationConfig('other')]
})

interface Instance {
  board: Board
  core: Core
}

/** Cores of several entry instances under one virtual clock; forwarded calls arrive immediately unless the receiver is in `unresponsive`. */
export class CallFleet {
  nowMs = 1_000_000
  readonly instances = new Map<string, Instance>()
  readonly unresponsive = new Set<string>()
  readonly sent: SendCall[] = []
  /** Virtual time at which the last call was sent to a backend server. */
  sentMs = 0
  readonly claims: ClaimKey[] = []
  readonly outcomes: RecordOutcome[] = []
  /** Replies that each connection got, in order: the source of an answer, or the refusal. */
  readonly replies: Record<string, string[]> = {}
  /** Attempts whose answer is stored for duplicates. */
  readonly storedAnswers = new Set<string>()
  /** Instance that forwarded each call. */
  readonly #originInstances = new Map<string, string>()
  /** Reply of the other instance to each forwarded call. */
  readonly #forwardedReplies = new Map<string, string>()
  #timers: Array<{ dueMs: number, id: string, event: Event }> = []
  #lastId = 0
  random: () => number = () => 0
  onClaim: (id: string, claim: ClaimKey) => void = () => undefined
  onOutcome: (id: string, outcome: RecordOutcome) => void = () => undefined

  constructor (ids: string[], servers: string[] = ['s1', 's2', 's3']) {
    for (const id of ids) {
      const self = { id, incarnation: `${id}-inc`, failureDomain: 'd', region: 'r', callerAddress: id, peerAddress: id }
      const board = createBoard({ self, keySecret: id })
      board.bundle = { version: 1, hash: '', sinceMs: 0, content, index: new BundleIndex(content) }
      this.instances.set(id, { board, core: new Core({ board, controllers }) })
      for (const peer of ids.filter((other) => other !== id)) {
        board.members.set(peer, { id: peer, incarnation: '', refutation: 0, state: MemberState.Alive, changedMs: 0, peerAddress: '', callerAddress: '', failureDomain: '', region: '', bundleVersion: 1 })
      }
      this.listServers(id, servers)
    }
  }

  listServers (id: string, servers: string[], leaving: string[] = []): void {
    const common = { service: 'desk', kind: ServerKind.Plain, role: 'none', model: '', failureDomain: '', region: '' } as never as object
    const listed = servers.map((server) => ({ ...common, id: server, address: server, state: leaving.includes(server) ? ServerState.Leaving : ServerState.Live }))
    this.step(id, { kind: ServerEventKind.InstanceListRead, servers: listed as never, instances: [] })
  }

  board (id: string): Board {
    return this.instances.get(id)!.board
  }

  arrive (id: string, call: string, options: { key?: string | null, body?: string, route?: string, organisation?: string } = {}): void {
    const { key = null, body = 'body', route = 'order', organisation = 'shop' } = options
    this.step(id, { kind: CallEventKind.CallArrived, call, organisation, route, key, bodyHash: body, forwardedBy: null })
  }

  finish (id: string, call: string, status = 200): void {
    this.step(id, { kind: CallEventKind.CallFinished, call, server: this.serverOf(call), status, succeeded: status < 400, bytes: 10 })
  }

  fail (id: string, call: string, sent: boolean): void {
    this.step(id, { kind: CallEventKind.CallFailed, call, server: this.serverOf(call), sent })
  }

  serverOf (call: string): string {
    return this.sent.findLast((send) => send.call === call)!.server
  }

  advance (ms: number): void {
    const endMs = this.nowMs + ms
    for (;;) {
      const [next] = this.#timers.filter(({ dueMs }) => dueMs <= endMs).sort((a, b) => a.dueMs - b.dueMs)
      if (next === undefined) break
      this.#timers = this.#timers.filter((timer) => timer !== next)
      this.nowMs = Math.max(this.nowMs, next.dueMs)
      this.step(next.id, next.event)
    }
    this.nowMs = endMs
  }

  step (id: string, event: Event): void {
    const context = { nowMs: this.nowMs, random: this.random, nextId: () => `n${++this.#lastId}` }
    for (const action of this.instances.get(id)!.core.step(event, context)) this.#perform(id, action)
  }

  #perform (id: string, action: Action): void {
    if (action.kind === CallActionKind.SendCall) {
      this.sent.push(action)
      this.sentMs = this.nowMs
    }
    if (action.kind === CallActionKind.ClaimKey) {
      this.claims.push(action)
      this.onClaim(id, action)
    }
    if (action.kind === CallActionKind.RecordOutcome) {
      this.outcomes.push(action)
      this.onOutcome(id, action)
    }
    if (action.kind === CallActionKind.AnswerCall) this.#reply(id, action.call, `answer of ${action.source}`, null)
    if (action.kind === CallActionKind.RefuseCall) this.#reply(id, action.call, action.refusal, action)
    if (action.kind === CallActionKind.AnswerOutcome) (this.replies[action.query] ??= []).push(action.refusal ?? action.outcome)
    if (action.kind === CallActionKind.ReleaseCall && action.keepAnswer) this.storedAnswers.add(action.call)
    if (action.kind === CallActionKind.ReleaseCall && !action.keepAnswer) this.storedAnswers.delete(action.call)
    if (action.kind === CoreActionKind.Schedule) this.#timers.push({ dueMs: this.nowMs + action.afterMs, id, event: action.event })
    if (action.kind === CallActionKind.ForwardCall && !this.unresponsive.has(action.instance)) {
      const { organisation, route, key, bodyHash } = this.board(id).calls.get(action.call)!
      this.#originInstances.set(action.call, id)
      this.step(action.instance, { kind: CallEventKind.CallArrived, call: action.call, organisation, route, key, bodyHash, forwardedBy: id })
    }
  }

  #reply (id: string, call: string, text: string, refusal: { refusal: string } | null): void {
    const origin = this.#originInstances.get(call)
    if (origin === undefined || origin === id) {
      (this.replies[call] ??= []).push(refusal === null ? this.#forwardedReplies.get(call) ?? text : text)
      return
    }
    this.#originInstances.delete(call)
    this.#forwardedReplies.set(call, text)
    this.step(origin, { kind: CallEventKind.ForwardedCallAnswered, call, answered: refusal === null, refusal: refusal?.refusal as never ?? null, detail: '' })
  }
}
