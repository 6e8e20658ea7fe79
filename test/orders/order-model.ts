import { RunnerRole, ServerKind, ServerState } from '../../src/board/backend-server.js'
import { type Board, createBoard } from '../../src/board/board.js'
import { BundleEventKind } from '../../src/bundles/bundle-event.js'
import { bundleController } from '../../src/bundles/bundle-controller.js'
import { type Bundle, bundleSchema } from '../../src/bundles/bundle.js'
import type { Action } from '../../src/core/action.js'
import { Core } from '../../src/core/core.js'
import { CoreActionKind } from '../../src/core/core-action.js'
import type { Event } from '../../src/core/event.js'
import { OrderActionKind } from '../../src/orders/order-action.js'
import { orderController } from '../../src/orders/order-controller.js'
import { OrderEventKind, type RunnerState } from '../../src/orders/order-event.js'
import { serverController } from '../../src/placement/server-controller.js'
import { ServerEventKind } from '../../src/placement/server-event.js'
import { seededRandom } from '../../src/runtime/random.js'

const LOAD_MS = 3000

export function bundleWith (version: string): Bundle {
  const model = { name: 'm', service: 's', version, prefillRunners: 3, decodeRunners: 3, minimumRunners: 2 }
  const requestClass = { name: 'c', firstTokenMs: 1, perTokenMs: 1, deadlineMs: 1, interactive: true }
  return bundleSchema.parse({ models: [model], classes: [requestClass], organisations: [] })
}

interface SimulatedRunner {
  state: RunnerState
  readyMs: number
}

/** Simulates instances that do not see each other, the lease on orders and six runners, in virtual time. */
export class OrderModel {
  nowMs = 1000000
  /** True while the key-value service refuses every lease. */
  keyValueDown = false
  lease = { holder: '', endMs: 0, fence: 0 }
  readonly runners = new Map<string, SimulatedRunner>()
  readonly cores = new Map<string, Core>()
  /** Requests for the lease, whether granted or refused. */
  readonly leaseRequests: Array<{ holder: string, atMs: number }> = []
  readonly sent: Array<{ holder: string, server: string, fence: number }> = []
  readonly logs: string[] = []
  /** Model version that fails on every runner once it is loaded. */
  failingVersion = ''
  /** Whether runners refuse orders with an older fencing token than one they have seen. */
  checksFence = true
  fewestServing = Infinity
  readonly #random = seededRandom(3)

  constructor (ids: string[]) {
    for (let index = 0; index < 6; index += 1) {
      const role = index % 2 === 0 ? RunnerRole.Prefill : RunnerRole.Decode
      this.runners.set(`r${index}`, { readyMs: 0, state: { role, models: [{ model: 'm', version: '1', adapters: [] }], busy: false, failed: false, fence: 0 } })
    }
    const servers = [...this.runners].map(([id, { state }], index) => ({
      id, address: id, service: 's', kind: ServerKind.Model, role: state.role, model: 'm', failureDomain: `d${index % 3}`, region: 'r', state: ServerState.Live
    }))
    for (const id of ids) {
      const board = createBoard({ self: { id, incarnation: id, failureDomain: 'd', region: 'r', callerAddress: '', peerAddress: '' } })
      this.cores.set(id, new Core({ board, controllers: [bundleController, serverController, orderController] }))
      this.step(id, { kind: ServerEventKind.InstanceListRead, servers, instances: [] })
    }
  }

  board (id: string): Board {
    return (this.cores.get(id) as Core).board
  }

  applyBundle (version: number, bundle: Bundle, ids = [...this.cores.keys()]): void {
    for (const id of ids) this.step(id, { kind: BundleEventKind.BundleVerified, version, hash: '', bundle, source: '' })
  }

  /** Steps one order tick per second in the given instances; the others are paused. */
  run (seconds: number, ids = [...this.cores.keys()]): void {
    for (let second = 0; second < seconds; second += 1) {
      this.nowMs += 1000
      for (const { state, readyMs } of this.runners.values()) {
        if (!state.busy || readyMs > this.nowMs) continue
        state.busy = false
        state.failed = state.models[0]?.version === this.failingVersion
      }
      const serving = [...this.runners.values()].filter(({ state }) => !state.busy && !state.failed).length
      this.fewestServing = Math.min(this.fewestServing, serving)
      for (const id of ids) this.step(id, { kind: OrderEventKind.OrderTick })
    }
  }

  /** Model versions of the runners in the order of their ids, joined to one string. */
  versions (): string {
    return [...this.runners.values()].map(({ state }) => state.models[0]?.version).join('')
  }

  step (id: string, event: Event): Action[] {
    const actions = this.cores.get(id)?.step(event, { nowMs: this.nowMs, random: this.#random, nextId: () => '' }) ?? []
    for (const action of actions) this.perform(id, action)
    return actions
  }

  perform (id: string, action: Action): void {
    if (action.kind === CoreActionKind.Log) this.logs.push(action.name)
    if (action.kind === OrderActionKind.AcquireLease) this.#acquire(id, action.pool, action.leaseMs)
    if (action.kind === OrderActionKind.ReadRunnerState) {
      const { state } = this.runners.get(action.server) as SimulatedRunner
      this.step(id, { kind: OrderEventKind.RunnerStateRead, server: action.server, state: structuredClone(state) })
    }
    if (action.kind === OrderActionKind.SendOrder) {
      const { server, fence, role, models } = action
      this.sent.push({ holder: id, server, fence })
      const runner = this.runners.get(server) as SimulatedRunner
      const stale = this.checksFence && fence < runner.state.fence
      if (!stale) Object.assign(runner, { readyMs: this.nowMs + LOAD_MS, state: { role, models, busy: true, failed: false, fence: Math.max(fence, runner.state.fence) } })
      this.step(id, { kind: OrderEventKind.OrderAnswered, server, accepted: !stale, stale, detail: '' })
    }
  }

  #acquire (holder: string, pool: string, leaseMs: number): void {
    this.leaseRequests.push({ holder, atMs: this.nowMs })
    const free = this.lease.holder === holder || this.lease.endMs <= this.nowMs
    if (this.keyValueDown || !free) {
      this.step(holder, { kind: OrderEventKind.LeaseRefused, pool })
      return
    }
    const renewed = this.lease.holder === holder && this.lease.endMs > this.nowMs
    this.lease = { holder, endMs: this.nowMs + leaseMs, fence: renewed ? this.lease.fence : this.lease.fence + 1 }
    this.step(holder, { kind: OrderEventKind.LeaseGranted, pool, fence: this.lease.fence, leaseEndMs: this.lease.endMs })
  }
}
