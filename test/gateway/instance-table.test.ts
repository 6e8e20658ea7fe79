import { describe, expect, test } from '@jest/globals'
import { addressesFor } from '../../src/gateway/directory.js'
import { type InstanceStatus, InstanceTable, LIVENESS_MS } from '../../src/gateway/instance-table.js'

function status (ip: string, options: Partial<InstanceStatus> = {}): InstanceStatus {
  return { ip, failureDomain: 'a', callers: `${ip}:80`, ready: true, configurationVersion: 1, storeRevision: 1, reachesStore: true, ...options }
}

describe('InstanceTable', () => {
  test('takes silent instances for dead and forgets them much later', () => {
    let nowMs = 0
    const table = new InstanceTable({ ip: '1', nowMs: () => nowMs })
    table.name('1')
    table.name('2')
    table.heard(status('3'))
    expect(table.live().map(({ ip }) => ip)).toEqual(['3'])
    nowMs = LIVENESS_MS + 1
    expect(table.live()).toEqual([])
    expect(table.named()).toEqual(['2', '3'])
    nowMs = 60_000
    expect(table.named()).toEqual([])
  })

  test('instances with the same view agree on the keeper, and another follows when it stops or falls silent', () => {
    const ips = ['10.0.0.1', '10.0.0.2', '10.0.0.3']
    const tables = ips.map((ip) => {
      const table = new InstanceTable({ ip, nowMs: () => 0 })
      for (const other of ips) table.heard(status(other))
      return table
    })
    const keepers = new Set(tables.map((table) => table.keeperOf('model', true)))
    expect(keepers.size).toBe(1)
    const keeper = [...keepers][0] ?? ''
    const after = tables.filter((_table, index) => ips[index] !== keeper).map((table) => {
      table.heard(status(keeper, { ready: false }))
      return table.keeperOf('model', true)
    })
    expect(new Set(after).size).toBe(1)
    expect(after[0]).not.toBe(keeper)
  })

  test('an instance that hears nobody keeps everything itself', () => {
    expect(new InstanceTable({ ip: '1', nowMs: () => 0 }).keeperOf('model', false)).toBe('1')
  })
})

describe('addressesFor', () => {
  const near = [status('1'), status('2')]
  const far = [status('3', { failureDomain: 'b' }), status('4', { failureDomain: 'b', ready: false })]

  test('names the instances of the caller\'s own failure domain when there are enough', () => {
    expect(addressesFor('a', [...near, ...far], () => 0).toSorted()).toEqual(['1:80', '2:80'])
  })

  test('names all ready instances when the own failure domain has too few', () => {
    expect(addressesFor('b', [...near, ...far], () => 0).toSorted()).toEqual(['1:80', '2:80', '3:80'])
    expect(addressesFor('unknown', [], () => 0)).toEqual([])
  })
})
