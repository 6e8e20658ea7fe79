import { expect, test } from '@jest/globals'
import { CONNECTION_BYTES, ConnectionBudget, type ConnectionHold, ConnectionStage } from '../../src/gateway/connection-budget.js'
import { recordingLog } from './gateway-fixtures.js'

interface Fake {
  name: string
  stage: ConnectionStage
  address?: string
  bytes?: number
  /** When it last made progress, in milliseconds. */
  atMs?: number
}

/** Opens these connections, then brings the clock to 10 s; records which are closed. */
function budgetWith (fakes: Fake[], { limitBytes = Infinity, maxConnections = Infinity } = {}): { budget: ConnectionBudget, closed: string[], holds: ConnectionHold[], open: (fake: Fake) => ConnectionHold | null } {
  const closed: string[] = []
  let nowMs = 0
  const budget = new ConnectionBudget({ name: 'callers', limitBytes, maxConnections, log: recordingLog(), nowMs: () => nowMs })
  const open = ({ name, stage, address = name, bytes = CONNECTION_BYTES }: Fake): ConnectionHold | null => {
    const hold = budget.open({ address, stage: () => stage, close: () => closed.push(name) > 0 })
    hold?.resize(bytes)
    return hold
  }
  const holds = fakes.flatMap((fake) => {
    nowMs = fake.atMs ?? 0
    return open(fake) ?? []
  })
  nowMs = 10_000
  return { budget, closed, holds, open }
}

// Guards against ordinary callers that lose their connections to a crowd.
test.each<[string, Fake[], string[]]>([
  ['the oldest silent one', [{ name: 'old', stage: ConnectionStage.Unfinished }, { name: 'new', stage: ConnectionStage.Unfinished, atMs: 100 }], ['old']],
  ['a silent one rather than an idle one', [{ name: 'idle', stage: ConnectionStage.Idle }, { name: 'silent', stage: ConnectionStage.Unfinished, atMs: 8000 }], ['silent']],
  ['an idle one rather than one with requests that wait', [{ name: 'queue', stage: ConnectionStage.Queueing, bytes: 1e6 }, { name: 'idle', stage: ConnectionStage.Idle }], ['idle']],
  ['one whose answers are not read rather than an upload', [{ name: 'upload', stage: ConnectionStage.Uploading }, { name: 'unread', stage: ConnectionStage.Unread }], ['unread']],
  ['one of the address that holds most', [{ name: 'a', stage: ConnectionStage.Unfinished, address: 'x' }, { name: 'b', stage: ConnectionStage.Unfinished, address: 'y' }, { name: 'c', stage: ConnectionStage.Idle, address: 'y' }], ['b']],
  ['none that is served', [{ name: 'served', stage: ConnectionStage.Serving, bytes: 1e6 }], []],
  ['none that has just come', [{ name: 'new', stage: ConnectionStage.Unfinished, atMs: 9500 }], []]
])('closes for a new connection: %s', (_name, fakes, expected) => {
  const { closed, open } = budgetWith(fakes, { maxConnections: fakes.length })
  const opened = open({ name: 'next', stage: ConnectionStage.Unfinished })
  expect({ closed, accepted: opened !== null }).toEqual({ closed: expected, accepted: expected.length > 0 })
})

test('closes what holds most for the progress it makes once the memory is short, and no more than needed', () => {
  const { budget, closed, holds } = budgetWith([
    { name: 'small', stage: ConnectionStage.Uploading, bytes: 10_000 },
    { name: 'large', stage: ConnectionStage.Uploading, bytes: 50_000 },
    { name: 'served', stage: ConnectionStage.Serving, bytes: 20_000 }
  ], { limitBytes: 90_000 })
  holds[2]?.resize(35_000)
  expect({ closed, heldBytes: budget.heldBytes }).toEqual({ closed: ['large'], heldBytes: 45_000 })
})

// Guards against ordinary callers that are turned away because requests with large heads, which are served, occupy all memory.
test('ends the largest request that is served once nothing else is left to close', () => {
  const { closed, open } = budgetWith([
    { name: 'ordinary', stage: ConnectionStage.Serving, bytes: 15_000 },
    { name: 'large', stage: ConnectionStage.Serving, bytes: 60_000, atMs: 5000 }
  ], { limitBytes: 80_000 })
  open({ name: 'next', stage: ConnectionStage.Unfinished, bytes: 15_000 })
  expect(closed).toEqual(['large'])
})

test('counts a connection that is refused first until it has closed, and closes it once', () => {
  const budget = new ConnectionBudget({ name: 'callers', limitBytes: 20_000, maxConnections: 10, log: recordingLog(), nowMs: () => 0 })
  let closes = 0
  const hold = budget.open({ address: 'a', stage: () => ConnectionStage.Uploading, close: () => { closes += 1; return false } })
  hold?.resize(30_000)
  hold?.resize(25_000)
  expect([closes, budget.heldBytes, budget.size]).toEqual([1, 25_000, 1])
  hold?.release()
  expect([budget.heldBytes, budget.size]).toEqual([0, 0])
})
