import { encodeFrame } from '../adapters/frame.js'
import { type PeerMessage, PeerMessageKind } from '../adapters/peer-message.js'
import { type Board, createBoard } from '../board/board.js'
import { MemberState } from '../board/member.js'
import { BundleActionKind } from '../bundles/bundle-action.js'
import { bundleController } from '../bundles/bundle-controller.js'
import { BundleEventKind, KEY_VALUE_SOURCE } from '../bundles/bundle-event.js'
import type { PartHash } from '../bundles/part.js'
import type { SignedBundle } from '../bundles/signed-bundle.js'
import type { Action } from '../core/action.js'
import { Core } from '../core/core.js'
import { CoreActionKind } from '../core/core-action.js'
import type { Event } from '../core/event.js'
import type { TrustedKey } from '../settings/entry-settings.js'
import { seededRandom } from './seeded-random.js'
import { VirtualClock } from '../model/virtual-clock.js'

const TICK_MS = 1000

/** One-way latencies. */
const SAME_DOMAIN_MS = 0.5
const SAME_REGION_MS = 1
const OTHER_REGION_MS = 60
const SERVICE_MS = 5

const SERVICE_TIMEOUT_MS = 1000

export interface SpreadModelOptions {
  instances: number
  domains: number
  regions: number
  trustedKeys: TrustedKey[]
  seed: number
  /** Share of messages and calls that are lost without notice. */
  loss?: number
  /** Time an instance takes to check a version and put it in force. */
  applyMs?: number
}

export interface ModelInstance {
  id: string
  domain: string
  region: string
  board: Board
  core: Core
  /** False while the process is gone or paused. */
  up: boolean
  /** Bytes sent and received for control. */
  bytes: number
  watching: number
  /** Virtual time at which each version came into force. */
  appliedMs: Map<number, number>
  /** Versions in the order in which they came into force. */
  applied: number[]
}

/** Entry instances with the real bundle controller, a network with delay and loss, and a key-value service, in virtual time. */
export class SpreadModel {
  readonly clock = new VirtualClock()
  readonly instances: ModelInstance[]
  readonly service = { up: true, head: null as SignedBundle | null, fresh: [] as PartHash[], inline: [] as Uint8Array[], revision: 0, parts: new Map<PartHash, Uint8Array>(), reads: 0, watches: 0, calls: [] as number[] }
  /** Failure domains that reach nothing outside themselves. */
  readonly cut = new Set<string>()
  readonly #options: SpreadModelOptions
  readonly #byId: Map<string, ModelInstance>
  readonly #random: () => number
  #lastId = 0
  #lastWatch = 0

  constructor (options: SpreadModelOptions) {
    this.#options = options
    this.#random = seededRandom(options.seed)
    this.instances = Array.from({ length: options.instances }, (_, index) => this.#createInstance(index))
    this.#byId = new Map(this.instances.map((instance) => [instance.id, instance]))
    for (const instance of this.instances) this.#fillMembers(instance)
    for (const instance of this.instances) this.start(instance)
  }

  /** Starts an instance, or starts it again with nothing in memory. */
  start (instance: ModelInstance): void {
    const restarted = this.#createInstance(this.instances.indexOf(instance))
    instance.board = restarted.board
    instance.core = restarted.core
    instance.up = true
    instance.watching = 0
    this.#fillMembers(instance)
    const tick = (): void => {
      if (instance.board !== restarted.board) return
      this.#step(instance, { kind: BundleEventKind.BundleTick })
      this.clock.schedule(TICK_MS, tick)
    }
    this.clock.schedule(this.#random() * TICK_MS, tick)
  }

  /** Moves the head, as signing does; watches report it. */
  accept (signed: SignedBundle, parts: ReadonlyMap<PartHash, Uint8Array>): void {
    const fresh = [...parts.keys()].filter((hash) => !this.service.parts.has(hash))
    for (const [hash, bytes] of parts) this.service.parts.set(hash, bytes)
    const freshBytes = fresh.reduce((sum, hash) => sum + (parts.get(hash)?.length ?? 0), 0)
    this.service.head = signed
    this.service.fresh = fresh.length <= 100 ? fresh : []
    this.service.inline = freshBytes <= MAX_INLINE_BYTES ? fresh.flatMap((hash) => parts.get(hash) ?? []) : []
    this.service.revision += 1
    for (const instance of this.instances) {
      if (instance.watching > 0) this.#fromService(instance, () => this.#headRead(instance), this.#headBytes(), WATCH_MS)
    }
  }

  setServiceUp (up: boolean): void {
    this.service.up = up
    if (up) return
    for (const instance of this.instances) this.#endWatch(instance)
  }

  /** Cuts a failure domain off, or connects it again. */
  setCut (domain: string, cut: boolean): void {
    if (cut) this.cut.add(domain)
    else this.cut.delete(domain)
    for (const instance of this.instances) if (cut && instance.domain === domain) this.#endWatch(instance)
  }

  resetCounts (): void {
    this.service.reads = 0
    this.service.watches = 0
    this.service.calls = []
    for (const instance of this.instances) instance.bytes = 0
  }

  #createInstance (index: number): ModelInstance {
    const { domains, regions, trustedKeys } = this.#options
    const number = index % domains
    const [id, domain, region] = [`e${index}`, `d${number}`, `r${number % regions}`]
    const self = { id, incarnation: 'i', failureDomain: domain, region, callerAddress: '', peerAddress: '' }
    const board = createBoard({ self, trustedKeys })
    return { id, domain, region, board, core: new Core({ board, controllers: [bundleController] }), up: true, bytes: 0, watching: 0, appliedMs: new Map(), applied: [] }
  }

  #fillMembers ({ id, board }: ModelInstance): void {
    for (const other of this.instances ?? []) {
      if (other.id === id) continue
      const { failureDomain, region } = other.board.self
      board.members.set(other.id, { id: other.id, incarnation: 'i', refutation: 0, state: MemberState.Alive, changedMs: 0, peerAddress: '', callerAddress: '', failureDomain, region, bundleVersion: 0 })
    }
  }

  #step (instance: ModelInstance, event: Event): void {
    if (!instance.up) return
    const before = instance.board.bundle?.version ?? 0
    const nextId = (): string => { this.#lastId += 1; return String(this.#lastId) }
    const actions = instance.core.step(event, { nowMs: this.clock.nowMs, random: this.#random, nextId })
    const version = instance.board.bundle?.version ?? 0
    const delayMs = version === before ? 0 : this.#options.applyMs ?? 0
    if (version !== before) {
      instance.applied.push(version)
      instance.appliedMs.set(version, this.clock.nowMs + delayMs)
    }
    if (delayMs === 0) for (const action of actions) this.#perform(instance, action)
    else this.clock.schedule(delayMs, () => { for (const action of actions) this.#perform(instance, action) })
  }

  #perform (instance: ModelInstance, action: Action): void {
    switch (action.kind) {
      case CoreActionKind.Schedule: {
        const { board } = instance
        this.clock.schedule(action.afterMs, () => { if (instance.board === board) this.#step(instance, action.event) })
        break
      }
      case BundleActionKind.ReadHead:
        this.#callService(instance, () => this.#headAnswer(instance, action.knownRevision), () => this.#step(instance, { kind: BundleEventKind.HeadReadFailed, source: KEY_VALUE_SOURCE }), action.knownRevision === this.service.revision ? KEY_BYTES : this.#headBytes())
        break
      case BundleActionKind.WatchHead:
        this.#watch(instance, action.fromRevision)
        break
      case BundleActionKind.StopWatch:
        instance.watching = 0
        break
      case BundleActionKind.ReadParts: {
        const parts = action.parts.flatMap((hash) => this.service.parts.get(hash) ?? [])
        const bytes = parts.reduce((sum, part) => sum + part.length * BASE64_GROWTH + KEY_BYTES, 0)
        this.#callService(instance, () => this.#step(instance, { kind: BundleEventKind.BundlePartsReceived, from: KEY_VALUE_SOURCE, ask: action.ask, signed: null, parts }), () => undefined, bytes)
        break
      }
      case BundleActionKind.RequestBundle: {
        const { kind, to, ...ask } = action
        const wire: PeerMessage = { kind: PeerMessageKind.BundleRequest, ...ask, parts: ask.parts.map((hash) => Buffer.from(hash, 'hex')) }
        this.#send(instance, to, wire, { kind: BundleEventKind.BundleRequested, from: instance.id, ...ask })
        break
      }
      case BundleActionKind.SendParts: {
        const { kind, to, ...answer } = action
        this.#send(instance, to, { kind: PeerMessageKind.BundlePart, ...answer }, { kind: BundleEventKind.BundlePartsReceived, from: instance.id, ...answer })
        break
      }
      case BundleActionKind.AnnounceBundle:
        for (const to of action.peers) {
          const { version, signed } = action
          this.#send(instance, to, { kind: PeerMessageKind.BundleAnnounce, version, signed }, { kind: BundleEventKind.BundleAnnounced, from: instance.id, version, signed })
        }
        break
    }
  }

  #send (from: ModelInstance, toId: string, message: PeerMessage, event: Event): void {
    const to = this.#byId.get(toId)
    if (to === undefined) return
    const bytes = encodeFrame({ from: from.id, incarnation: INCARNATION, message }).length + PACKET_BYTES
    from.bytes += bytes
    const parted = from.domain !== to.domain && (this.cut.has(from.domain) || this.cut.has(to.domain))
    if (parted || this.#lost()) return
    const latencyMs = from.domain === to.domain ? SAME_DOMAIN_MS : from.region === to.region ? SAME_REGION_MS : OTHER_REGION_MS
    this.clock.schedule(latencyMs * (1 + this.#random()), () => {
      if (!to.up) return
      to.bytes += bytes
      this.#step(to, event)
    })
  }

  #callService (instance: ModelInstance, answer: () => void, fail: () => void, bytes: number): void {
    instance.bytes += CALL_BYTES
    const reachable = !this.cut.has(instance.domain)
    if (reachable) {
      // Calls to a service that is down reach its machines too: they count for a stampede.
      this.service.reads += 1
      this.service.calls.push(this.clock.nowMs)
    }
    if (!reachable || this.#lost()) this.clock.schedule(SERVICE_TIMEOUT_MS, fail)
    else if (!this.service.up) this.clock.schedule(2 * SERVICE_MS, fail)
    else this.#fromService(instance, answer, bytes)
  }

  #fromService (instance: ModelInstance, answer: () => void, bytes: number, latencyMs = 2 * SERVICE_MS): void {
    if (this.#lost()) return
    this.clock.schedule(latencyMs * (1 + this.#random()), () => {
      if (!this.service.up || this.cut.has(instance.domain)) return
      instance.bytes += bytes
      answer()
    })
  }

  #headAnswer (instance: ModelInstance, knownRevision: number): void {
    if (knownRevision > 0 && knownRevision === this.service.revision) this.#step(instance, { kind: BundleEventKind.HeadUnchanged })
    else this.#headRead(instance)
  }

  #headBytes (): number {
    const { head, fresh, inline } = this.service
    if (head === null) return KEY_BYTES
    const record = head.root.length + SIGNATURE_BYTES + fresh.length * HASH_BYTES + inline.reduce((sum, part) => sum + part.length * BASE64_GROWTH, 0)
    return record * BASE64_GROWTH + KEY_BYTES
  }

  #headRead (instance: ModelInstance): void {
    this.#step(instance, { kind: BundleEventKind.HeadRead, signed: this.service.head, fresh: this.service.fresh, parts: this.service.inline, revision: this.service.revision })
  }

  #watch (instance: ModelInstance, fromRevision: number): void {
    this.#lastWatch += 1
    const watch = this.#lastWatch
    instance.watching = watch
    this.service.watches += 1
    this.service.calls.push(this.clock.nowMs)
    this.clock.schedule(SERVICE_MS, () => {
      if (instance.watching !== watch) return
      if (!this.service.up || this.cut.has(instance.domain)) this.#endWatch(instance)
      else if (this.service.revision >= fromRevision) this.#fromService(instance, () => this.#headRead(instance), this.#headBytes(), WATCH_MS)
    })
  }

  #endWatch (instance: ModelInstance): void {
    if (instance.watching === 0) return
    instance.watching = 0
    this.#step(instance, { kind: BundleEventKind.HeadWatchEnded })
  }

  #lost (): boolean {
    return this.#random() < (this.#options.loss ?? 0)
  }
}

const BASE64_GROWTH = 4 / 3

/** Key and revisions of one record in an answer of the service. */
const KEY_BYTES = 300

/** Request line, headers and body of a call to the service. */
const CALL_BYTES = 500

/** Headers of TCP and IP for one message. */
const PACKET_BYTES = 52

const INCARNATION = '0123456789abcdef'

/** Signature, key id and names of the fields of a head record. */
const SIGNATURE_BYTES = 200

/** A hash in hex with its punctuation. */
const HASH_BYTES = 67

/** As in `BundleOperations`. */
const MAX_INLINE_BYTES = 32 * 1024

/** Delay of a report of a watch. */
const WATCH_MS = SERVICE_MS
