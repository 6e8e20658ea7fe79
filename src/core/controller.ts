import type { Board } from '../board/board.js'
import type { Action } from './action.js'
import type { Context } from './context.js'
import type { EventKind, EventOf } from './event.js'

export type Handler<K extends EventKind> = (board: Board, event: EventOf<K>, context: Context) => Action[]

/** Reads and writes the blackboard in reaction to events. Controllers never call each other. */
export interface Controller {
  name: string
  handlers: { [K in EventKind]?: Handler<K> }
}
