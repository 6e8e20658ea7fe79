import fc, { type Arbitrary } from 'fast-check'
import { type Operation, OperationKind } from './operation.js'

/** Length of the busy part of a generated run. */
const SCHEDULE_MS = 20000

const MAX_PAUSE_MS = 12000

/** How often each kind of operation comes up. */
const weights: Record<OperationKind, number> = {
  [OperationKind.Request]: 24,
  [OperationKind.Leave]: 5,
  [OperationKind.OrderIssued]: 8,
  [OperationKind.OrderOwn]: 6,
  [OperationKind.OrderAgain]: 8,
  [OperationKind.Stock]: 4,
  [OperationKind.Kill]: 2,
  [OperationKind.Restart]: 2,
  [OperationKind.Pause]: 3,
  [OperationKind.Drain]: 1,
  [OperationKind.KillServer]: 1,
  [OperationKind.SlowServer]: 2,
  [OperationKind.LeaveServer]: 1,
  [OperationKind.StallTransfers]: 2,
  [OperationKind.KeyValueDown]: 2,
  [OperationKind.KeyValueUp]: 2,
  [OperationKind.KeyValueSlow]: 1,
  [OperationKind.LostReplies]: 2,
  [OperationKind.Cut]: 1,
  [OperationKind.Heal]: 1,
  [OperationKind.Loss]: 2,
  [OperationKind.Bundle]: 2
}

function operationOf (kind: OperationKind): Arbitrary<Operation> {
  return fc.record({
    atMs: fc.integer({ min: 0, max: SCHEDULE_MS }),
    kind: fc.constant(kind),
    a: fc.nat({ max: 63 }),
    b: fc.nat({ max: 5999 }),
    amount: fc.nat({ max: MAX_PAUSE_MS })
  })
}

export interface Schedule {
  seed: number
  deployment: number
  operations: Operation[]
}

/** Schedules of requests and faults; shrinking leaves out operations first. */
export function arbitrarySchedule (): Arbitrary<Schedule> {
  const operation = fc.oneof(...Object.values(OperationKind).map((kind) => ({ arbitrary: operationOf(kind), weight: weights[kind] })))
  return fc.record({
    seed: fc.integer({ min: 1, max: 1000000 }),
    deployment: fc.nat({ max: 1 }),
    operations: fc.array(operation, { minLength: 10, maxLength: 120, size: 'max' })
  })
}
