import { ReservationEventKind } from '../reservations/reservation-event.js'
import type { PeerEnvelope } from '../adapters/peer-message.js'
import { RunnerRole, ServerKind, ServerState } from '../board/backend-server.js'
import type { Tuning } from '../board/board.js'
import type { Bundle } from '../bundles/bundle.js'
import { BundleEventKind } from '../bundles/bundle-event.js'
import { CallEventKind } from '../calls/call-event.js'
import type { Controller } from '../core/controller.js'
import { DrainEventKind } from '../drain/drain-event.js'
import { MemberEventKind } from '../members/member-event.js'
import { type ListedInstance, type ListedServer, ServerEventKind } from '../placement/server-event.js'
import { seededRandom } from '../runtime/random.js'
import { BundleStoreModel } from './bundle-store-model.js'
import { EngineModel, engineModelDefaults, type EngineModelOptions } from './engine-model.js'
import { EntryModel } from './entry-model.js'
import { History, RecordKind } from './history.js'
import { KeyValueModel } from './key-value-model.js'
import { Network } from './network.js'
import { PlainServiceModel } from './plain-service-model.js'
import { VirtualClock } from './virtual-clock.js'

export interface FleetModelOptions {
  seed: number
  controllers: Controller[]
  bundle: Bundle
  model: string
  plainService: string
  entries: number
  failureDomains: string[]
  region: string
  prefillRunners: number
  decodeRunners: number
  plainRunners: number
  engine: Partial<EngineModelOptions>
  tuning: Partial<Tuning>
  networkDelayMs: number
  networkJitterMs: number
  listLagMs: number
  loss: number
  /** Delay of cache events, and the share of them that is missing. */
  cacheLagMs: number
  cacheEventLoss: number
}

export const fleetModelDefaults = {
  entries: 8,
  prefillRunners: 3,
  decodeRunners: 3,
  plainRunners: 3,
  engine: {},
  tuning: {},
  networkDelayMs: 0.5,
  networkJitterMs: 0.5,
  listLagMs: 2000,
  loss: 0,
  cacheLagMs: 300,
  cacheEventLoss: 0.001
}

const LIST_PERIOD_MS = 1000
/** The key-value service answers in milliseconds when it is well. */
const HEALTHY_DELAY_MS = 5
const LOAD_PERIOD_MS = 250
const TICK_PERIOD_MS = 500
const CALL_TICK_PERIOD_MS = 250
const SERVICE_WORK_MS = 20

/**
 * A small fleet in one process under virtual time: entry instances with the real core, and models of runners, plain
 * services, the key-value service, the instance list and the network. It leaves out processor time, real sockets and
 * codecs, connection set-up, and differences between clocks.
 */
export class FleetModel {
  readonly options: FleetModelOptions
  readonly clock = new VirtualClock()
  readonly random: () => number
  readonly history: History
  readonly network: Network
  readonly keyValue: KeyValueModel
  readonly engines = new Map<string, EngineModel>()
  readonly services = new Map<string, PlainServiceModel>()
  readonly entries = new Map<string, EntryModel>()
  readonly logs = new Map<string, number>()
  /** Kinds of actions that the model does not carry out. */
  readonly unhandled = new Set<string>()
  readonly #serverDomains = new Map<string, string>()
  readonly #roles = new Map<string, RunnerRole>()
  readonly #recordedVersions = new Map<string, number>()
  #incarnations = 0
  readonly bundles: BundleStoreModel

  constructor (options: Partial<FleetModelOptions> & Pick<FleetModelOptions, 'bundle' | 'controllers' | 'failureDomains' | 'model' | 'plainService' | 'region' | 'seed'>) {
    this.options = { ...fleetModelDefaults, ...options }
    this.random = seededRandom(this.options.seed)
    this.history = new History({ nowMs: () => this.clock.nowMs })
    const { clock, random } = this
    this.network = new Network({ clock, random, delayMs: this.options.networkDelayMs, jitterMs: this.options.networkJitterMs, loss: this.options.loss })
    this.keyValue = new KeyValueModel({ clock, random })
    this.bundles = new BundleStoreModel({ clock, keyValue: this.keyValue })
    this.bundles.accept(this.options.bundle)
    this.#createServers()
    for (let index = 0; index < this.options.entries; index += 1) this.startEntry(`entry-${index}`, index)
  }

  /** Starts an entry instance, with a new incarnation if its id ran before. */
  startEntry (id: string, index: number): EntryModel {
    const { failureDomains, region, controllers, tuning } = this.options
    this.#incarnations += 1
    const incarnation = String(this.#incarnations).padStart(8, '0')
    const failureDomain = failureDomains[index % failureDomains.length] ?? ''
    const self = { id, incarnation, failureDomain, region, callerAddress: `${id}:callers`, peerAddress: `${id}:peers` }
    const entry = new EntryModel({ self, fleet: this, controllers, tuning })
    this.entries.set(id, entry)
    this.#startTicks(entry)
    return entry
  }

  run (untilMs: number): void {
    this.clock.runUntil(untilMs)
  }

  kill (id: string): void {
    const entry = this.entries.get(id)
    if (entry === undefined || !entry.alive) return
    if (entry.paused) this.history.add(RecordKind.EntryResumed, { entry: id })
    this.history.add(RecordKind.EntryKilled, { entry: `${id}/${entry.self.incarnation}` })
    entry.kill()
  }

  pause (id: string, forMs: number): void {
    const entry = this.entries.get(id)
    if (entry === undefined || !entry.alive || entry.paused) return
    this.history.add(RecordKind.EntryPaused, { entry: id, count: forMs })
    entry.paused = true
    this.clock.schedule(forMs, () => {
      // The pause of a killed process ended with it.
      if (!entry.alive) return
      this.history.add(RecordKind.EntryResumed, { entry: id })
      entry.resume()
    })
  }

  drain (id: string): void {
    this.history.add(RecordKind.EntryDrainAsked, { entry: id })
    this.entries.get(id)?.emit({ kind: DrainEventKind.DrainRequested })
  }

  cut (a: string, b: string): void {
    this.history.add(RecordKind.NetworkCut, { subject: `${a}|${b}` })
    this.network.cut(a, b)
  }

  heal (a: string, b: string): void {
    this.history.add(RecordKind.NetworkHealed, { subject: `${a}|${b}` })
    this.network.heal(a, b)
  }

  /** Sets message loss between instances and the speed and reliability of the key-value service. */
  degrade (faults: { loss?: number, delayMs?: number, lostReplies?: number }): void {
    const { loss = this.network.options.loss, delayMs = this.keyValue.faults.delayMs, lostReplies = this.keyValue.faults.lostReplies } = faults
    this.network.options.loss = loss
    Object.assign(this.keyValue.faults, { delayMs, lostReplies })
    const healthy = loss === 0 && lostReplies === 0 && delayMs <= HEALTHY_DELAY_MS
    this.history.add(healthy ? RecordKind.DegradedUntil : RecordKind.DegradedFrom)
  }

  setKeyValueDown (down: boolean): void {
    this.history.add(down ? RecordKind.KeyValueDown : RecordKind.KeyValueUp)
    this.keyValue.faults.down = down
    if (down) this.bundles.endWatches()
  }

  /** The platform tells a backend server to leave; the instance list shows it only after its lag. */
  leave (server: string): void {
    this.history.add(RecordKind.ServerLeaving, { server })
    const engine = this.engines.get(server)
    const service = this.services.get(server)
    if (engine !== undefined) engine.leaving = true
    if (service !== undefined) service.leaving = true
  }

  entryExited (entry: EntryModel): void {
    this.history.add(RecordKind.EntryExited, { entry: `${entry.self.id}/${entry.self.incarnation}`, count: entry.exchanges.size })
    entry.kill()
  }

  /** The operators accept a new bundle: the head has moved. */
  acceptBundle (content: Bundle): void {
    this.bundles.accept(content)
    this.history.add(RecordKind.BundleAccepted, { version: this.bundles.version })
  }

  countLog (name: string): void {
    this.logs.set(name, (this.logs.get(name) ?? 0) + 1)
  }

  engineAt (address: string): EngineModel | undefined {
    return this.engines.get(address.split(':')[0] ?? '')
  }

  sendPeer (from: EntryModel, to: string, message: PeerEnvelope['message']): void {
    const target = this.entries.get(to)
    if (target === undefined || !from.alive) return
    const copy = structuredClone(message)
    this.network.send(from.self.failureDomain, target.self.failureDomain, () => {
      target.receive({ from: from.self.id, incarnation: from.self.incarnation, message: copy })
    })
  }

  /** Carries a call from an entry instance to a backend server. */
  toServer (from: EntryModel, server: string, arrive: () => void, unreachable: () => void): void {
    const domain = this.#serverDomains.get(server) ?? ''
    const { clock, network } = this
    if (network.isCut(from.self.failureDomain, domain)) clock.schedule(CONNECT_TIMEOUT_MS, unreachable)
    else clock.schedule(this.#delay(), arrive)
  }

  /** Carries a reply back; a cut loses it. */
  toEntry (to: EntryModel, server: string, arrive: () => void): void {
    const domain = this.#serverDomains.get(server) ?? ''
    if (this.network.isCut(to.self.failureDomain, domain)) return
    this.clock.schedule(this.#delay(), arrive)
  }

  listing (): { servers: ListedServer[], instances: ListedInstance[] } {
    return { servers: [...this.#listedRunners(), ...this.#listedServices()], instances: this.#listedEntries() }
  }

  #delay (): number {
    // Replies on one connection keep their order, so jitter is left to messages between instances.
    return this.options.networkDelayMs
  }

  #createServers (): void {
    const { prefillRunners, decodeRunners, plainRunners, engine, failureDomains } = this.options
    const { clock, history } = this
    for (let index = 0; index < prefillRunners + decodeRunners; index += 1) {
      const id = `engine-${index}`
      this.engines.set(id, new EngineModel({ ...engineModelDefaults, ...engine, id, clock, history }))
      this.#roles.set(id, index < prefillRunners ? RunnerRole.Prefill : RunnerRole.Decode)
      this.#serverDomains.set(id, failureDomains[index % failureDomains.length] ?? '')
    }
    for (let index = 0; index < plainRunners; index += 1) {
      const id = `service-${index}`
      this.services.set(id, new PlainServiceModel({ id, clock, history, workMs: SERVICE_WORK_MS }))
      this.#serverDomains.set(id, failureDomains[index % failureDomains.length] ?? '')
    }
  }

  #listedRunners (): ListedServer[] {
    const { model, region } = this.options
    return [...this.engines].filter(([, engine]) => engine.alive).map(([id, engine]) => ({
      id,
      address: `${id}:80`,
      service: model,
      kind: ServerKind.Model,
      role: this.#roles.get(id) ?? RunnerRole.None,
      model,
      failureDomain: this.#serverDomains.get(id) ?? '',
      region,
      state: engine.leaving ? ServerState.Leaving : ServerState.Live
    }))
  }

  #listedServices (): ListedServer[] {
    const { plainService, region } = this.options
    return [...this.services].filter(([, service]) => service.alive).map(([id, service]) => ({
      id,
      address: `${id}:80`,
      service: plainService,
      kind: ServerKind.Plain,
      role: RunnerRole.None,
      model: '',
      failureDomain: this.#serverDomains.get(id) ?? '',
      region,
      state: service.leaving ? ServerState.Leaving : ServerState.Live
    }))
  }

  #listedEntries (): ListedInstance[] {
    return [...this.entries.values()].filter((entry) => entry.alive).map(({ self }) => ({
      id: self.id,
      callerAddress: self.callerAddress,
      peerAddress: self.peerAddress,
      failureDomain: self.failureDomain,
      region: self.region,
      leaving: false
    }))
  }

  #startTicks (entry: EntryModel): void {
    this.#every(entry, LIST_PERIOD_MS, () => {
      const listing = this.listing()
      this.clock.schedule(this.options.listLagMs, () => entry.emit({ kind: ServerEventKind.InstanceListRead, ...listing }))
    })
    entry.emit({ kind: ServerEventKind.InstanceListRead, ...this.listing() })
    this.#every(entry, LOAD_PERIOD_MS, () => this.#reportLoads(entry))
    this.#every(entry, TICK_PERIOD_MS, () => {
      entry.emit({ kind: ReservationEventKind.ReservationTick })
      entry.emit({ kind: MemberEventKind.MemberTick })
      entry.emit({ kind: ServerEventKind.ServerTick })
    })
    this.#every(entry, CALL_TICK_PERIOD_MS, () => entry.emit({ kind: CallEventKind.CallTick }))
    this.#every(entry, TICK_PERIOD_MS, () => {
      entry.emit({ kind: BundleEventKind.BundleTick })
      this.#recordVersion(entry)
    })
  }

  #every (entry: EntryModel, periodMs: number, run: () => void): void {
    const step = (): void => {
      if (!entry.alive) return
      run()
      this.clock.schedule(periodMs, step)
    }
    this.clock.schedule(this.random() * periodMs, step)
  }

  #reportLoads (entry: EntryModel): void {
    for (const [server, engine] of this.engines) {
      if (engine.alive) entry.emit({ kind: ServerEventKind.LoadReported, server, load: { ...engine.load } })
      else entry.emit({ kind: ServerEventKind.LoadUnreadable, server })
    }
  }

  /** Records a change of the version in force, as an operator would see it. */
  #recordVersion (entry: EntryModel): void {
    const name = `${entry.self.id}/${entry.self.incarnation}`
    const version = entry.board.bundle?.version ?? 0
    if (version === 0 || this.#recordedVersions.get(name) === version) return
    this.#recordedVersions.set(name, version)
    this.history.add(RecordKind.BundleInForce, { entry: name, version })
  }
}

const CONNECT_TIMEOUT_MS = 1000
