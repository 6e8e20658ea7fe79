import { describe, expect, test } from '@jest/globals'
import { decodeItem } from '../../platform/store-entries.js'

function item (key: string, value: unknown): { Key: string, Value: string, Revision: number } {
  const text = typeof value === 'string' ? value : JSON.stringify(value)
  return { Key: key, Value: Buffer.from(text).toString('base64'), Revision: 9 }
}

const runner = { Service: 's', Address: '10.0.0.9:8080', Zone: 'a', Version: 'v1', Slots: 64, State: 'ready', ColdRemainingMs: 0, Stage: 'decode', Sequence: 4, born: 17 }

describe('decodeItem', () => {
  test('decodes a configuration into the gateway\'s own types', () => {
    expect(decodeItem(item('op/config', {
      Version: 7,
      Routes: [
        { Name: 'r1', Host: 'h.example', PathPrefix: '/a/', Kind: 'streaming', TimeoutMs: 14000, TargetLatencyMs: 900, Priority: 1, Service: 's1', Attempts: 2, Sticky: true, Resumable: true, TargetGapMs: 300 },
        { Name: 'r2', Host: 'h.example', PathPrefix: '/b/', Kind: 'non_idempotent', TimeoutMs: 1000, TargetLatencyMs: 150, Priority: 2, TrafficSplit: [{ Service: 's1', Weight: 90 }, { Service: 's2', Weight: 10 }] }
      ],
      Services: [
        { Name: 's1', HealthPath: '/health', MaxConnections: 370, Protocol: 'h1', Tls: false, Engine: { Slots: 64, KvCacheTokens: 107754, Stride: 73 } },
        { Name: 's2', HealthPath: '/health', MaxConnections: 110 }
      ],
      Limits: { HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 }
    }))).toMatchSnapshot()
  })

  test('decodes a backend server and its removal', () => {
    expect(decodeItem(item('servers/i-1', runner))).toMatchSnapshot()
    expect(decodeItem({ Key: 'servers/i-1', Revision: 9, Deleted: true })).toEqual({ kind: 'backend-removed', id: 'i-1' })
  })

  test.each([
    ['an unknown state', { ...runner, State: 'odd' }],
    ['a missing address', { ...runner, Address: undefined }],
    ['a field of the wrong type', { ...runner, Slots: 'many' }],
    ['invalid JSON', '\u0000\u0001{']
  ])('reports an entry with %s as unreadable instead of as a server', (_name, value) => {
    expect(decodeItem(item('servers/i-1', value))).toMatchObject({ kind: 'unreadable', key: 'servers/i-1' })
  })

  test('ignores a key that the gateway does not use, and decodes the entry of an instance', () => {
    expect(decodeItem(item('op/other', {}))).toBeNull()
    expect(decodeItem(item('daisybarrow/instances/10.0.0.1', ''))).toEqual({ kind: 'instance', ip: '10.0.0.1' })
  })
})
