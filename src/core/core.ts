import type { Board } from '../board/board.js'
import type { Action } from './action.js'
import type { Context } from './context.js'
import type { Controller } from './controller.js'
import { CoreActionKind } from './core-action.js'
import type { Event, EventKind } from './event.js'

type AnyHandler = (board: Board, event: Event, context: Context) => Action[]

/** Deterministic state machine: the blackboard and an event go in, actions come out. */
export class Core {
  readonly board: Board
  readonly #handlers: Map<EventKind, AnyHandler[]>

  constructor (options: { board: Board, controllers: Controller[] }) {
    this.board = options.board
    this.#handlers = handlersByKind(options.controllers)
  }

  /** Handles one event and every internal event that its handlers emit. Returns all other actions, in order. */
  step (event: Event, context: Context): Action[] {
    const pending = [event]
    const actions: Action[] = []
    for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
      for (const handler of this.#handlers.get(next.kind) ?? []) {
        for (const action of handler(this.board, next, context)) {
          if (action.kind === CoreActionKind.Emit) {
            pending.push(action.event)
          } else {
            actions.push(action)
          }
        }
      }
    }
    return actions
  }
}

function handlersByKind (controllers: Controller[]): Map<EventKind, AnyHandler[]> {
  const table = new Map<EventKind, AnyHandler[]>()
  for (const controller of controllers) {
    for (const [kind, handler] of Object.entries(controller.handlers)) {
      const key = kind as EventKind
      const handlers = table.get(key) ?? []
      handlers.push(handler as AnyHandler)
      table.set(key, handlers)
    }
  }
  return table
}
