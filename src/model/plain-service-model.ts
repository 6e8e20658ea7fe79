import { type History, RecordKind } from './history.js'
import type { VirtualClock } from './virtual-clock.js'

/** Model of one server of a plain service: each call that reaches it runs. */
export class PlainServiceModel {
  readonly id: string
  readonly #clock: VirtualClock
  readonly #history: History
  readonly #workMs: number
  alive = true
  leaving = false
  slowness = 1

  constructor (options: { id: string, clock: VirtualClock, history: History, workMs: number }) {
    this.id = options.id
    this.#clock = options.clock
    this.#history = options.history
    this.#workMs = options.workMs
  }

  run (subject: string, attempt: string, body: string, reply: (status: number) => void): void {
    this.#history.add(RecordKind.ServiceRan, { server: this.id, subject, attempt, body })
    this.#clock.schedule(this.#workMs * this.slowness, () => {
      if (this.alive) reply(200)
    })
  }
}
