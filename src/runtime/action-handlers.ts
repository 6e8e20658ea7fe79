import type { ActionKind, ActionOf } from '../core/action.js'

/** Functions that perform the actions of the core, by action kind. */
export type ActionHandlers = { [K in ActionKind]?: (action: ActionOf<K>) => Promise<void> | void }
