import { issueKey } from '../calls/key-issue.js'
import { CallerModel } from '../model/caller-model.js'
import type { EntryModel } from '../model/entry-model.js'
import type { FleetModel } from '../model/fleet-model.js'
import { type Operation, OperationKind } from './operation.js'

/** Slow services go beyond the time limit of their routes. */
const MAX_SLOWNESS = 200

/** Sends requests and faults of a schedule to a fleet. */
export class Driver {
  readonly fleet: FleetModel
  readonly callers: CallerModel
  readonly #organisation: string
  readonly #attempts: Array<{ entry: EntryModel, attempt: string }> = []
  readonly #orders: Array<{ key: string, body: string }> = []
  #subjects = 0

  constructor (options: { fleet: FleetModel, organisation: string }) {
    this.fleet = options.fleet
    this.callers = new CallerModel(options.fleet)
    this.#organisation = options.organisation
  }

  apply (operation: Operation): void {
    this.#handlers[operation.kind](operation)
  }

  readonly #handlers: Record<OperationKind, (operation: Operation) => void> = {
    [OperationKind.Request]: ({ a, b, amount }) => {
      const entry = this.#liveEntry(a)
      if (entry === undefined) return
      const promptTokens = 500 + b % 6000
      const maxTokens = 1 + amount % 24
      const attempt = this.callers.request(entry, { organisation: this.#organisation, subject: this.#nextSubject('sheet'), pieces: [], promptTokens, maxTokens, stream: amount % 2 === 0 })
      this.#attempts.push({ entry, attempt })
    },
    [OperationKind.Leave]: ({ a }) => {
      const found = this.#attempts[a % Math.max(1, this.#attempts.length)]
      if (found !== undefined) this.callers.leave(found.entry, found.attempt)
    },
    [OperationKind.OrderIssued]: ({ a, b }) => {
      const issuer = this.#liveEntry(a)
      if (issuer === undefined) return
      this.#order(b, issueKey(issuer.board, this.#organisation, this.fleet.clock.nowMs))
    },
    [OperationKind.OrderOwn]: ({ b }) => this.#order(b, this.#nextSubject('own')),
    [OperationKind.OrderAgain]: ({ a, b }) => {
      const order = this.#orders[a % Math.max(1, this.#orders.length)]
      if (order !== undefined) this.#order(b, order.key, order.body)
    },
    [OperationKind.Stock]: ({ a }) => {
      const entry = this.#liveEntry(a)
      if (entry !== undefined) this.callers.call(entry, { organisation: this.#organisation, route: 'stock', key: null, body: '' })
    },
    [OperationKind.Kill]: ({ a }) => this.fleet.kill(this.#entryId(a)),
    [OperationKind.Restart]: ({ a }) => {
      const id = this.#entryId(a)
      if (this.fleet.entries.get(id)?.alive === true) this.fleet.kill(id)
      this.fleet.startEntry(id, a % this.fleet.options.entries)
    },
    [OperationKind.Pause]: ({ a, amount }) => this.fleet.pause(this.#entryId(a), amount),
    [OperationKind.Drain]: ({ a }) => this.fleet.drain(this.#entryId(a)),
    [OperationKind.KillServer]: ({ a }) => this.#engine(a)?.kill(),
    [OperationKind.SlowServer]: ({ a, amount }) => {
      const server = [...this.fleet.engines.values(), ...this.fleet.services.values()][a % (this.fleet.engines.size + this.fleet.services.size)]
      if (server !== undefined) server.slowness = 1 + amount % MAX_SLOWNESS
    },
    [OperationKind.LeaveServer]: ({ a }) => this.fleet.leave([...this.fleet.engines.keys(), ...this.fleet.services.keys()][a % (this.fleet.engines.size + this.fleet.services.size)] ?? ''),
    [OperationKind.StallTransfers]: ({ a, amount }) => {
      const engine = this.#engine(a)
      if (engine === undefined) return
      engine.transferStallMs = amount
      this.fleet.clock.schedule(amount, () => { engine.transferStallMs = 0 })
    },
    [OperationKind.KeyValueDown]: () => this.fleet.setKeyValueDown(true),
    [OperationKind.KeyValueUp]: () => this.fleet.setKeyValueDown(false),
    [OperationKind.KeyValueSlow]: ({ amount }) => this.fleet.degrade({ delayMs: 2 + amount % 800 }),
    [OperationKind.LostReplies]: ({ amount }) => this.fleet.degrade({ lostReplies: (amount % 100) / 100 }),
    [OperationKind.Cut]: ({ a, b }) => this.fleet.cut(this.#domain(a), this.#domain(a + 1 + b % 2)),
    [OperationKind.Heal]: ({ a, b }) => this.fleet.heal(this.#domain(a), this.#domain(a + 1 + b % 2)),
    [OperationKind.Loss]: ({ amount }) => this.fleet.degrade({ loss: (amount % 20) / 100 }),
    [OperationKind.Bundle]: () => this.fleet.acceptBundle(this.fleet.options.bundle)
  }

  #order (entryNumber: number, key: string, body = this.#nextSubject('order')): void {
    const entry = this.#liveEntry(entryNumber)
    if (entry === undefined) return
    this.#orders.push({ key, body })
    const attempt = this.callers.call(entry, { organisation: this.#organisation, route: 'order', key, body })
    this.#attempts.push({ entry, attempt })
  }

  #nextSubject (kind: string): string {
    this.#subjects += 1
    return `${kind}-${this.#subjects}`
  }

  #entryId (number: number): string {
    return `entry-${number % this.fleet.options.entries}`
  }

  /** Callers connect to instances that are up; which of them they believe in does not matter here. */
  #liveEntry (number: number): EntryModel | undefined {
    const live = [...this.fleet.entries.values()].filter((entry) => entry.alive && entry.board.drainingSinceMs === null)
    return live[number % Math.max(1, live.length)]
  }

  #engine (number: number): NonNullable<ReturnType<FleetModel['engines']['get']>> | undefined {
    return [...this.fleet.engines.values()][number % this.fleet.engines.size]
  }

  #domain (number: number): string {
    const { failureDomains } = this.fleet.options
    return failureDomains[number % failureDomains.length] ?? ''
  }
}
