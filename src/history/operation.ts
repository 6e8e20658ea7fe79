/** What a schedule can do to the fleet and its callers. */
export enum OperationKind {
  Request = 'request',
  Leave = 'leave',
  OrderIssued = 'order-issued',
  OrderOwn = 'order-own',
  OrderAgain = 'order-again',
  Stock = 'stock',
  Kill = 'kill',
  Restart = 'restart',
  Pause = 'pause',
  Drain = 'drain',
  KillServer = 'kill-server',
  SlowServer = 'slow-server',
  LeaveServer = 'leave-server',
  StallTransfers = 'stall-transfers',
  KeyValueDown = 'key-value-down',
  KeyValueUp = 'key-value-up',
  KeyValueSlow = 'key-value-slow',
  LostReplies = 'lost-replies',
  Cut = 'cut',
  Heal = 'heal',
  Loss = 'loss',
  Bundle = 'bundle'
}

/** One step of a schedule. `a`, `b` and `amount` mean what the handler of the kind says. */
export interface Operation {
  atMs: number
  kind: OperationKind
  /** Chooses an instance, server or earlier attempt, modulo their number. */
  a: number
  b: number
  amount: number
}
