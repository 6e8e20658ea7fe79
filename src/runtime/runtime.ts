import { EventEmitter } from 'node:events'
import { fromEvent, periodic } from 'most'
import type { Action, ActionKind } from '../core/action.js'
import type { Context } from '../core/context.js'
import type { Core } from '../core/core.js'
import { CoreActionKind } from '../core/core-action.js'
import type { Event } from '../core/event.js'
import type { ActionHandlers } from './action-handlers.js'

const EVENT_NAME = 'event'

interface RuntimeOptions {
  core: Core
  handlers: ActionHandlers
  random: () => number
  nextId: () => string
  onError: (detail: string) => void
}

/** Feeds the core with a stream of events and performs the actions that it returns. */
export class Runtime {
  readonly #core: Core
  readonly #handlers: ActionHandlers
  readonly #events = new EventEmitter()
  readonly #options: RuntimeOptions

  constructor (options: RuntimeOptions) {
    this.#options = options
    this.#core = options.core
    this.#handlers = {
      ...options.handlers,
      [CoreActionKind.Schedule]: ({ afterMs, event }) => {
        setTimeout(() => this.emit(event), Math.max(0, afterMs))
      }
    }
  }

  /** Subscribes to the stream of events. Returns at once; an error that ends the stream is reported to the callback in the options. */
  start (): void {
    fromEvent<Event>(EVENT_NAME, this.#events)
      .map((event) => this.#step(event))
      .observe((actions) => { for (const action of actions) this.#perform(action) })
      .catch((error: unknown) => this.#options.onError(String(error)))
  }

  /** Emits the same event at a fixed period. */
  emitPeriodically (periodMs: number, event: Event): void {
    periodic(periodMs)
      .observe(() => this.emit(event))
      .catch((error: unknown) => this.#options.onError(String(error)))
  }

  emit (event: Event): void {
    // `most` drops an event that is emitted while it delivers an earlier one, and action handlers may emit events.
    queueMicrotask(() => this.#events.emit(EVENT_NAME, event))
  }

  #step (event: Event): Action[] {
    const context: Context = { nowMs: Date.now(), random: this.#options.random, nextId: this.#options.nextId }
    try {
      return this.#core.step(event, context)
    } catch (error) {
      // An event whose handler throws must not end the stream that serves all other events.
      this.#options.onError(`${event.kind}: ${error instanceof Error ? error.stack : String(error)}`)
      return []
    }
  }

  #perform (action: Action): void {
    const handler = this.#handlers[action.kind] as ((action: Action) => Promise<void> | void) | undefined
    if (handler === undefined) {
      this.#options.onError(`no handler for action ${action.kind as ActionKind}`)
      return
    }
    Promise.resolve(handler(action)).catch((error: unknown) => this.#options.onError(`${action.kind}: ${String(error)}`))
  }
}
