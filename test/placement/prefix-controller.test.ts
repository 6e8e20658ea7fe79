import { describe, expect, test } from '@jest/globals'
import { cacheReport } from '../../src/placement/cache-report.js'
import { ServerActionKind } from '../../src/placement/server-action.js'
import { ServerEventKind } from '../../src/placement/server-event.js'
import { createCore, contextAt, MODEL } from './fixture.js'

const changes = (...entries: Array<[number, string, boolean?]>): Array<{ sequence: number, piece: string, added: boolean }> =>
  entries.map(([sequence, piece, added = true]) => ({ sequence, piece, added }))

describe('prefixController', () => {
  test('after a gap between reports the full list is read, and reports are ignored until it has been received: otherwise the index would miss changes', () => {
    const core = createCore()
    const report = (after: number, sequence: number, list: ReturnType<typeof changes>): unknown[] =>
      core.step(cacheReport({ server: 'prefill-0', after, sequence, changes: list }), contextAt(0))
    report(0, 2, changes([1, 'a'], [2, 'b']))
    const readCache = { kind: ServerActionKind.ReadCache, server: 'prefill-0' }
    expect(report(2, 5, changes([4, 'd'], [5, 'e']))).toContainEqual(readCache)
    report(2, 6, changes([3, 'c'], [4, 'd'], [5, 'e'], [6, 'f']))
    expect(core.board.prefixes.index.prefixLength(MODEL, ['f'], 'prefill-0')).toBe(0)
    expect(core.step({ kind: ServerEventKind.ServerTick }, contextAt(1))).toContainEqual(readCache)
    core.step({ kind: ServerEventKind.CacheReset, server: 'prefill-0', sequence: 6, pieces: ['b', 'f'] }, contextAt(2))
    expect(['a', 'b', 'f'].map((piece) => core.board.prefixes.index.prefixLength(MODEL, [piece], 'prefill-0'))).toEqual([0, 1, 1])
    expect(core.board.prefixes.stale.size).toBe(0)
  })

  test('a missing event within one report counts as a gap, and so does an engine that restarts its numbering: otherwise the index would miss changes', () => {
    const core = createCore()
    core.step(cacheReport({ server: 'prefill-0', after: 0, sequence: 3, changes: changes([1, 'a'], [3, 'c']) }), contextAt(0))
    expect(core.board.prefixes.stale.has('prefill-0')).toBe(true)
    core.step({ kind: ServerEventKind.CacheReset, server: 'prefill-0', sequence: 9, pieces: ['a'] }, contextAt(0))
    core.step(cacheReport({ server: 'prefill-0', after: 9, sequence: 2, changes: [] }), contextAt(0))
    expect(core.board.prefixes.stale.has('prefill-0')).toBe(true)
  })

  test('an outdated report does not add a piece again that a newer report removed', () => {
    const core = createCore()
    core.step(cacheReport({ server: 'prefill-0', after: 0, sequence: 2, changes: changes([1, 'a'], [2, 'a', false]) }), contextAt(0))
    core.step(cacheReport({ server: 'prefill-0', after: 0, sequence: 1, changes: changes([1, 'a']) }), contextAt(1))
    expect(core.board.prefixes.index.prefixLength(MODEL, ['a'], 'prefill-0')).toBe(0)
    expect(core.board.prefixes.stale.size).toBe(0)
  })
})
