import { describe, expect, test } from '@jest/globals'
import { RunnerRole, ServerState } from '../../src/gateway/backend.js'
import { BackendTable, REREGISTRATION_GRACE_MS, RESTORED_ENTRY_DOUBT_MS, Staleness } from '../../src/gateway/backend-table.js'
import { backend } from './gateway-fixtures.js'

function createTable (): { table: BackendTable, clock: { ms: number }, changes: string[] } {
  const clock = { ms: 10_000 }
  const changes: string[] = []
  const table = new BackendTable({ nowMs: () => clock.ms, onChange: ({ kind, backend: { id } }) => changes.push(`${kind} ${id}`) })
  return { table, clock, changes }
}

describe('BackendTable', () => {
  test('gives no new work to a leaving server', () => {
    const { table, changes } = createTable()
    table.put(backend())
    table.put(backend({ state: ServerState.Leaving }))
    expect(table.ready('plain')).toEqual([])
    expect(changes).toEqual(['added b1', 'leaving b1'])
  })

  test('removes a server whose entry is deleted while the store is reachable', () => {
    const { table } = createTable()
    table.put(backend())
    table.remove('b1')
    expect(table.get('b1')).toBeUndefined()
  })

  test('keeps servers whose entries expired around an outage of the store until their time to register again has passed', () => {
    const { table, clock, changes } = createTable()
    table.put(backend())
    table.put(backend({ id: 'b2' }))
    table.startReregistrationGrace()
    table.replaceAll([])
    expect(table.ready('plain')).toHaveLength(2)
    table.put(backend({ id: 'b2' }))
    clock.ms += REREGISTRATION_GRACE_MS
    table.expire()
    expect(table.ready('plain').map(({ id }) => id)).toEqual(['b2'])
    expect(changes.slice(2)).toEqual(['missing b1', 'missing b2', 'removed b1'])
  })

  // Guards against requests to a server that has gone: each failed call to the store prolonged the time for which it was kept.
  test('stops using a missing server well within the drain time, however often the store is lost again', () => {
    const { table, clock } = createTable()
    for (const id of ['b1', 'b2']) table.put(backend({ id }))
    table.startReregistrationGrace()
    table.remove('b1')
    const usedUntilMs: Record<string, number> = {}
    for (let ms = 0; ms < 3000; ms += 50) {
      if (ms % 300 === 0) table.startReregistrationGrace()
      if (table.ready('plain').some(({ id }) => id === 'b1')) usedUntilMs.chosen = ms
      if (table.accepts(backend())) usedUntilMs.accepted = ms
      if (table.get('b1') !== undefined) usedUntilMs.known = ms
      clock.ms += 50
      table.expire()
    }
    expect(usedUntilMs).toEqual({ chosen: 950, accepted: 1450, known: 1950 })
  })

  // Guards against refusals while all servers register again after an outage of the store.
  test('uses missing servers for longer while the service has no other one', () => {
    const { table, clock } = createTable()
    for (const id of ['b1', 'b2']) table.put(backend({ id }))
    table.startReregistrationGrace()
    table.replaceAll([])
    clock.ms += 1450
    expect(table.ready('plain')).toHaveLength(2)
    table.put(backend({ id: 'b2' }))
    expect(table.ready('plain').map(({ id }) => id)).toEqual(['b2'])
    clock.ms += 100
    expect(table.accepts(backend())).toBe(false)
  })

  test('does not keep a server that was leaving when its entry expired in an outage of the store', () => {
    const { table } = createTable()
    table.put(backend({ state: ServerState.Leaving }))
    table.startReregistrationGrace()
    table.remove('b1')
    expect(table.get('b1')).toBeUndefined()
  })

  test('tells why a server should get no new requests', () => {
    const { table } = createTable()
    const server = backend()
    expect(table.staleness(server)).toBe(Staleness.Removed)
    table.put(server)
    expect(table.staleness(server)).toBeNull()
    table.startReregistrationGrace()
    table.remove('b1')
    expect(table.staleness(server)).toBe(Staleness.Missing)
    table.put(backend({ state: ServerState.Leaving }))
    expect(table.staleness(server)).toBe(Staleness.Leaving)
    table.put(backend({ startedAtMs: 2 }))
    expect(table.staleness(server)).toBe(Staleness.Restarted)
  })

  test('reports a restart under the same id and accepts no work for the previous incarnation', () => {
    const { table, changes } = createTable()
    const before = backend()
    table.put(before)
    table.put(backend({ startedAtMs: 2 }))
    expect(changes).toEqual(['added b1', 'restarted b1'])
    expect(table.accepts(before)).toBe(false)
  })

  // Guards against requests to a server of which a peer knows that it has left, around a return of the store.
  test('removes a server at once that the snapshot of a new era names as gone', () => {
    const { table, clock } = createTable()
    table.put(backend())
    table.put(backend({ id: 'b2' }))
    table.startEra()
    table.replaceBySnapshot([], [], [{ id: 'b1', startedAtMs: 1, leaving: true, ageMs: 6000 }])
    expect(table.ready('plain').map(({ id }) => id)).toEqual(['b2'])
    clock.ms += 10_000
    table.put(backend())
    expect(table.ready('plain')).toEqual([])
  })

  // Guards against a live server that stays unused after a peer's snapshot, until its entry changes.
  test('uses an unconfirmed server in time although a snapshot of a peer lacks it', () => {
    const { table, clock } = createTable()
    table.put(backend())
    table.remove('b1')
    clock.ms += 3000
    table.startEra()
    table.replaceAll([backend(), backend({ id: 'b2' })])
    clock.ms += 1000
    table.replaceBySnapshot([backend({ id: 'b2' })], [])
    clock.ms += RESTORED_ENTRY_DOUBT_MS
    table.expire()
    expect(table.ready('plain').map(({ id }) => id).sort()).toEqual(['b1', 'b2'])
  })

  // Guards against a service without servers for seconds after two returns of the store in a row.
  test('uses servers that registered again between two returns of the store', () => {
    const { table, clock } = createTable()
    const servers = ['b1', 'b2', 'b3'].map((id) => backend({ id }))
    for (const server of servers) table.put(server)
    table.startEra()
    table.replaceAll([])
    clock.ms += 900
    table.startEra()
    table.replaceAll(servers)
    clock.ms += 1500
    table.expire()
    expect(table.ready('plain')).not.toEqual([])
  })

  // Guards against requests that a runner answers with 421, because a copy of the store lists the role that it had before.
  test('keeps the role that a runner took after the copy of the store was made', () => {
    const { table } = createTable()
    table.put(backend({ stage: RunnerRole.Decode }))
    table.put(backend({ stage: RunnerRole.Prefill }))
    table.startEra()
    table.replaceAll([backend({ stage: RunnerRole.Decode })])
    expect(table.ready('plain', RunnerRole.Decode)).toEqual([])
  })

  // Guards against a role that is kept for good: a runner that took the listed role during the outage does not write its entry again.
  test('takes the listed role of a runner that has not written its entry in time', () => {
    const { table, clock } = createTable()
    table.put(backend({ stage: RunnerRole.Prefill }))
    table.startEra()
    table.replaceAll([backend({ stage: RunnerRole.Decode })])
    clock.ms += RESTORED_ENTRY_DOUBT_MS
    table.expire()
    expect(table.ready('plain', RunnerRole.Decode)).toHaveLength(1)
  })

  // Guards against requests to a server that had gone, because a second copy of the store lists it after a first one did not.
  test('does not use a server that was removed between two returns of the store', () => {
    const { table, clock } = createTable()
    table.put(backend())
    table.startReregistrationGrace()
    table.remove('b1')
    clock.ms += 300
    table.startEra()
    table.replaceAll([])
    clock.ms += 900
    table.startEra()
    table.replaceAll([backend()])
    clock.ms += 1000
    table.expire()
    expect(table.ready('plain')).toEqual([])
  })
})
