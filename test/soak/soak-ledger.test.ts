import { describe, expect, test } from '@jest/globals'
import { SoakLedger } from '../../src/soak/soak-ledger.js'
import { CallKind } from '../../src/standin/platform-call.js'

function judged (kind: CallKind, runs: number, status: number | null, fault: string | null = null): string[] {
  const ledger = new SoakLedger()
  for (let run = 0; run < runs; run += 1) ledger.ran('q')
  ledger.ends.push({ address: '127.0.0.1:1', id: 'q', kind, status, fault })
  return ledger.violations()
}

describe('SoakLedger', () => {
  test.each([
    ['an order that ran twice', CallKind.Order, 2, 200],
    ['an order refused as not run that ran', CallKind.Order, 1, 503],
    ['a stream that ran twice', CallKind.Stream, 2, null]
  ])('catches %s', (_name, kind, runs, status) => {
    expect(judged(kind, runs, status)).toHaveLength(1)
  })

  test('catches a wrong answer', () => {
    expect(judged(CallKind.Check, 1, 200, 'signature of another')).toEqual(['q (check): signature of another'])
  })

  test.each([
    ['a check that ran twice', CallKind.Check, 2, 200],
    ['an order of unknown outcome', CallKind.Order, 1, 502],
    ['a refused order that did not run', CallKind.Order, 0, 503]
  ])('allows %s', (_name, kind, runs, status) => {
    expect(judged(kind, runs, status)).toEqual([])
  })
})

describe('SoakLedger with organisations', () => {
  // Guards against a soak that passes although keys reach servers, or requests run for the wrong organisation.
  test.each([
    ['the caller\'s organisation', { organisation: 'soak-b', key: undefined }, []],
    ['another organisation', { organisation: 'soak-a', key: undefined }, ['s1c3-1: ran for soak-a instead of soak-b']],
    ['no organisation', { organisation: undefined, key: undefined }, ['s1c3-1: ran for no organisation instead of soak-b']],
    ['its key', { organisation: 'soak-b', key: 'k' }, ['s1c3-1: its key was passed on to a server']]
  ])('judges a run with %s', (_name, caller, violations) => {
    const ledger = new SoakLedger()
    ledger.ran('s1c3-1', caller)
    expect(ledger.violations()).toEqual(violations)
  })
})
