import { encodeFrame, FrameReader } from '../adapters/frame.js'
import { probeMessage } from '../adapters/peer-actions.js'
import { dispatchMessage, peerEvents } from '../adapters/peer-events.js'
import type { PeerEnvelope } from '../adapters/peer-message.js'
import { type Board, createBoard } from '../board/board.js'
import { MemberState } from '../board/member.js'
import type { Action } from '../core/action.js'
import { Core } from '../core/core.js'
import { CoreActionKind } from '../core/core-action.js'
import type { Event } from '../core/event.js'
import { createIncarnation } from '../members/incarnation.js'
import { memberController } from '../members/member-controller.js'
import { MemberActionKind } from '../members/member-action.js'
import { MemberEventKind } from '../members/member-event.js'
import { PROBE_PERIOD_MS } from '../members/member-timing.js'
import { type ListedInstance, ServerEventKind } from '../placement/server-event.js'
import { VirtualClock } from '../model/virtual-clock.js'
import { seededRandom } from '../runtime/random.js'

/** Start of the virtual clock; any time of day does. */
const START_MS = 1800000000000

const LIST_PERIOD_MS = 1000

const FAILURE_DOMAINS = ['mu-north-a', 'mu-north-b', 'mu-north-c']

export interface ModelInstance {
  id: string
  failureDomain: string
  up: boolean
  pausedUntilMs: number
  core: Core
  sentBytes: number
  sentMessages: number
}

/** One instance's view of another changed. */
export interface ViewChange {
  atMs: number
  observer: string
  member: string
  to: string
}

interface ModelOptions {
  instances: number
  seed: number
  /** Share of messages lost. */
  loss?: number
  /** One-way delay, drawn evenly. */
  delayMs?: { from: number, to: number }
}

/** Membership controllers of many instances on a small fake network with a virtual clock. */
export class MembershipModel {
  loss: number
  /** Returns true if no message passes between the two. */
  cut: (from: ModelInstance, to: ModelInstance) => boolean = () => false
  readonly instances: ModelInstance[]
  readonly changes: ViewChange[] = []
  readonly random: () => number
  readonly #byId: Map<string, ModelInstance>
  readonly #delayMs: { from: number, to: number }
  #listed: ListedInstance[] | null = null
  readonly #clock = new VirtualClock()

  constructor ({ instances, seed, loss = 0, delayMs = { from: 0.3, to: 2 } }: ModelOptions) {
    this.random = seededRandom(seed)
    this.#clock.nowMs = START_MS
    this.loss = loss
    this.#delayMs = delayMs
    this.instances = Array.from({ length: instances }, (_, index) => this.#create(index))
    this.#byId = new Map(this.instances.map((instance) => [instance.id, instance]))
    for (const instance of this.instances) this.#start(instance)
  }

  get nowMs (): number {
    return this.#clock.nowMs
  }

  runFor (ms: number): void {
    this.#clock.runUntil(this.nowMs + ms)
  }

  at (afterMs: number, run: () => void): void {
    this.#clock.schedule(afterMs, run)
  }

  kill (instance: ModelInstance): void {
    instance.up = false
  }

  /** Starts the instance again, with a new incarnation and an empty blackboard. */
  restart (instance: ModelInstance): void {
    instance.up = true
    instance.core = this.#core(instance.id, instance.failureDomain)
    this.#start(instance)
  }

  /** Stops the instance for a while; what arrives meanwhile is handled when it goes on, late. */
  pause (instance: ModelInstance, ms: number): void {
    instance.pausedUntilMs = this.nowMs + ms
  }

  /** How many pairs of living instances see each other in another state than alive. */
  wrongViews (): number {
    const up = this.instances.filter((instance) => instance.up)
    let wrong = 0
    for (const { core } of up) {
      for (const other of up) {
        if (other.core !== core && core.board.members.get(other.id)?.state !== MemberState.Alive) wrong += 1
      }
    }
    return wrong
  }

  /** Gives an event to an instance, or later if it is paused. */
  step (instance: ModelInstance, event: Event): void {
    if (!instance.up) return
    if (instance.pausedUntilMs > this.nowMs) {
      this.#schedule(instance, instance.pausedUntilMs - this.nowMs, event)
      return
    }
    const actions = instance.core.step(event, { nowMs: this.nowMs, random: this.random, nextId: () => '' })
    for (const action of actions) this.#perform(instance, action)
  }

  #perform (instance: ModelInstance, action: Action): void {
    if (action.kind === CoreActionKind.Schedule) {
      this.#schedule(instance, action.afterMs, action.event)
    } else if (action.kind === CoreActionKind.Log) {
      if (action.name !== 'member_changed') return
      this.changes.push({ atMs: this.nowMs, observer: instance.id, member: String(action.fields.member), to: String(action.fields.to) })
    } else if (action.kind === MemberActionKind.SendProbe || action.kind === MemberActionKind.SendProbeAck || action.kind === MemberActionKind.SendProbeRequest) {
      this.#send(instance, action.to, { from: instance.id, incarnation: instance.core.board.self.incarnation, message: probeMessage(action) })
    }
  }

  #send (from: ModelInstance, to: string, envelope: PeerEnvelope): void {
    const frame = encodeFrame(envelope)
    from.sentBytes += frame.length
    from.sentMessages += 1
    const target = this.#byId.get(to)
    if (target === undefined || this.random() < this.loss || this.cut(from, target)) return
    const delayMs = this.#delayMs.from + this.random() * (this.#delayMs.to - this.#delayMs.from)
    this.#clock.schedule(delayMs, () => this.#receive(target, frame))
  }

  #receive (target: ModelInstance, frame: Buffer): void {
    const handlers = peerEvents({ board: target.core.board, peers: { send: () => undefined }, emit: (event) => this.step(target, event), nowMs: () => this.nowMs })
    for (const value of new FrameReader().push(frame)) dispatchMessage(handlers, value as PeerEnvelope)
  }

  #schedule (instance: ModelInstance, afterMs: number, event: Event): void {
    const { core } = instance
    this.#clock.schedule(afterMs, () => {
      if (instance.core === core) this.step(instance, event)
    })
  }

  #create (index: number): ModelInstance {
    const id = `entry-${index}`
    const failureDomain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? ''
    return { id, failureDomain, up: true, pausedUntilMs: 0, core: this.#core(id, failureDomain), sentBytes: 0, sentMessages: 0 }
  }

  #core (id: string, failureDomain: string): Core {
    const board: Board = createBoard({
      self: {
        id,
        incarnation: createIncarnation(this.nowMs, Math.floor(this.random() * 0x100000000).toString(16).padStart(8, '0')),
        failureDomain,
        region: 'mu-north',
        callerAddress: `10.1.2.${id.slice(6)}:8443`,
        peerAddress: `10.1.2.${id.slice(6)}:8444`
      }
    })
    return new Core({ board, controllers: [memberController] })
  }

  #start (instance: ModelInstance): void {
    const { core } = instance
    const every = (periodMs: number, event: () => Event): void => {
      if (!instance.up || instance.core !== core) return
      this.step(instance, event())
      // A paused process catches up with one tick, then goes on in its period.
      this.#clock.schedule(Math.max(0, instance.pausedUntilMs - this.nowMs) + periodMs, () => every(periodMs, event))
    }
    this.#clock.schedule(0, () => every(LIST_PERIOD_MS, () => this.#list()))
    this.#clock.schedule(this.random() * PROBE_PERIOD_MS, () => every(PROBE_PERIOD_MS, () => ({ kind: MemberEventKind.MemberTick })))
  }

  /** The list lags without end here: it shows every instance as live, whatever happened. */
  #list (): Event {
    this.#listed ??= this.instances.map(({ core }) => {
      const { id, callerAddress, peerAddress, failureDomain, region } = core.board.self
      return { id, callerAddress, peerAddress, failureDomain, region, leaving: false }
    })
    return { kind: ServerEventKind.InstanceListRead, servers: [], instances: this.#listed }
  }
}
