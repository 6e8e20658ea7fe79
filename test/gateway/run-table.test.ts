import { describe, expect, test } from '@jest/globals'
import { type Run, RunTable } from '../../src/gateway/run-table.js'

const OUTPUT = { estimateTokens: 500, maxTokens: 1000 }

function run (id: string, decode: string, prefill: string | null = null): Run {
  return { id, service: 'model', decode, prefill, placedMs: 0, prefillStartMs: 0, promptTokens: 5000, output: OUTPUT, madeTokens: 0, reportedMs: 0, progressedMs: null }
}

describe('RunTable', () => {
  // Guards against scheduling passes whose cost grows with the runs of the fleet: a coordinator of hundreds of runners would not answer in a burst.
  test.each([[6, 10], [60, 10], [600, 10]])('after the progress of one run, computes the forecast of one of %i runners', (runners, runsPerRunner) => {
    const table = new RunTable({ nowMs: () => 0 })
    const ids = Array.from({ length: runners }, (_, index) => `d${index}`)
    for (const decode of ids) for (let index = 0; index < runsPerRunner; index += 1) table.add(run(`${decode}-${index}`, decode))
    for (const decode of ids) expect(table.forecastOf(decode).runCount).toBe(runsPerRunner)
    const computed = table.computedForecasts
    table.recordProgress({ id: 'd1-1', service: 'model', decode: 'd1', promptTokens: 5000, output: OUTPUT, madeTokens: 80 })
    for (const decode of ids) table.forecastOf(decode)
    expect(table.computedForecasts - computed).toBe(1)
    expect(table.forecastOf('d1').heldTokens).toBe(runsPerRunner * 5000 + 80)
  })

  test('forgets the runs of a removed decode runner, and frees the prompts of a removed prefill runner', () => {
    const table = new RunTable({ nowMs: () => 0 })
    table.add(run('a', 'd1', 'p1'))
    table.add(run('b', 'd2', 'p1'))
    table.removeRunner('d1')
    expect([table.size, table.prefillsOf('p1').map(({ id }) => id)]).toEqual([1, ['b']])
    table.removeRunner('p1')
    expect([table.placementOf('b'), table.tokensOn('p1'), table.tokensOn('d2')]).toEqual([{ prefill: null, decode: 'd2' }, 0, 5000])
  })
})
