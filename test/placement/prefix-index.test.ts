import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { PrefixIndex } from '../../src/placement/prefix-index.js'

describe('PrefixIndex', () => {
  test('returns the same holders as a plain set after any sequence of changes: growth or removal could break the hash chains', () => {
    const change = fc.record({ kind: fc.constantFrom('add', 'add', 'add', 'remove', 'removeServer'), piece: fc.nat(1500), server: fc.nat(5) })
    fc.assert(fc.property(fc.array(change, { minLength: 500, maxLength: 3000 }), (changes) => {
      const index = new PrefixIndex()
      const expected = new Set<string>()
      for (const { kind, piece, server } of changes) {
        if (kind === 'add') index.add('m', `${piece}`, `s${server}`)
        if (kind === 'remove') index.remove('m', `${piece}`, `s${server}`)
        if (kind === 'removeServer' && piece < 100) index.removeServer(`s${server}`)
        if (kind === 'add') expected.add(`${piece}@s${server}`)
        if (kind === 'remove') expected.delete(`${piece}@s${server}`)
        if (kind === 'removeServer' && piece < 100) for (const key of expected) if (key.endsWith(`@s${server}`)) expected.delete(key)
      }
      expect(index.size).toBe(expected.size)
      for (let piece = 0; piece <= 1500; piece += 1) {
        const servers = index.holders('m', [`${piece}`]).map((holder) => holder.server).sort()
        expect(servers).toEqual([0, 1, 2, 3, 4, 5].map((server) => `s${server}`).filter((server) => expected.has(`${piece}@${server}`)))
      }
    }), { seed: 1, numRuns: 20 })
  })

  test('a full index replaces its oldest records, so that its memory is bounded', () => {
    const index = new PrefixIndex({ limit: 2048 })
    for (let piece = 0; piece < 10000; piece += 1) index.add('m', `${piece}`, `s${piece % 7}`)
    expect(index.size).toBe(2048)
    expect(index.bytes).toBeLessThanOrEqual(2048 * 22)
    expect(index.holders('m', ['9999'])).toEqual([{ server: 's3', prefixLength: 1 }])
    expect(index.holders('m', ['100'])).toEqual([])
  })

  test('only consecutive pieces from the first one count as a prefix: a later piece alone saves no prefill', () => {
    const index = new PrefixIndex()
    for (const piece of ['a', 'b']) index.add('m', piece, 's1')
    for (const piece of ['b', 'c']) index.add('m', piece, 's2')
    index.add('other', 'a', 's3')
    expect(index.holders('m', ['a', 'b', 'c'])).toEqual([{ server: 's1', prefixLength: 2 }])
  })
})
