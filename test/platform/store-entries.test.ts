import { describe, expect, test } from '@jest/globals'
import { decodeItem } from '../../platform/store-entries.js'

function item (key: string, value: unknown): { Key: string, Value: string, Revision: number } {
  const bytes = Buffer.isBuffer(value) ? value : Buffer.from(typeof value === 'string' ? value : JSON.stringify(value))
  return { Key: key, Value: bytes.toString('base64'), Revision: 9 }
}

/** JSON text of a value that contains itself a hundred thousand times. */
function nested (open: string, close: string): string {
  return `${open.repeat(100_000)}1${close.repeat(100_000)}`
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

  // Guards against keys that stay in memory, and against a rate of 0 that refuses everything.
  test('decodes organisations with the hashes of their keys', () => {
    const configuration = {
      Version: 8,
      Routes: [{ Name: 'r1', Host: 'h.example', PathPrefix: '/a/', Kind: 'idempotent', TimeoutMs: 1000, Service: 's1', AllowAnonymous: true }],
      Services: [],
      Limits: { HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
      Tenants: [
        { Name: 'org-a', ApiKeys: ['key-a1', 'key-a2'], Priority: 1, Unit: 'tokens', PlainTokens: 200, RatePerS: 335519, Burst: 335519 },
        { Name: 'org-b', ApiKeys: [], RatePerS: 0 }
      ]
    }
    const decoded = decodeItem(item('op/config', configuration))
    expect(decoded).toMatchSnapshot()
    expect(JSON.stringify(decoded)).not.toMatch(/key-a/)
  })

  test('decodes a backend server and its removal', () => {
    expect(decodeItem(item('servers/i-1', runner))).toMatchSnapshot()
    expect(decodeItem({ Key: 'servers/i-1', Revision: 9, Deleted: true })).toEqual({ kind: 'backend-removed', id: 'i-1' })
  })

  test.each([
    ['an unknown state', { ...runner, State: 'odd' }],
    ['a missing address', { ...runner, Address: undefined }],
    ['a field of the wrong type', { ...runner, Slots: 'many' }],
    ['invalid JSON', '\u0000\u0001{'],
    ['bytes that are not UTF-8', Buffer.from([0xff, 0xfe, 0x80])],
    ['null as its value', 'null'],
    ['arrays within arrays as its value', nested('[', ']')],
    ['objects within objects as its value', nested('{"a":', '}')],
    ['arrays within arrays in a known field', JSON.stringify(runner).replace('"decode"', nested('[', ']'))]
  ])('reports an entry with %s as unreadable instead of as a server', (_name, value) => {
    expect(decodeItem(item('servers/i-1', value))).toMatchObject({ kind: 'unreadable', key: 'servers/i-1' })
  })

  test('ignores how deeply a field that it does not use is nested', () => {
    expect(decodeItem(item('servers/i-1', `{"Other":${nested('[', ']')},${JSON.stringify(runner).slice(1)}`))).toMatchObject({ kind: 'backend', backend: { id: 'i-1' } })
  })

  // Guards against requests that fail because they are sent to a server whose address or id the HTTP client can't use.
  test.each([
    ['a port over the largest one', 'i-1', '10.0.0.9:65536'],
    ['a port far over the largest one', 'i-1', '10.0.0.9:99999999999999999999'],
    ['port 0', 'i-1', '10.0.0.9:0'],
    ['a number over 255 in its IP address', 'i-1', '10.0.0.300:80'],
    ['a very long address', 'i-1', `${'1'.repeat(70_000)}.0.0.1:80`],
    ['a host name', 'i-1', 'runner.example:80'],
    ['two ports', 'i-1', '10.0.0.9:80:80'],
    ['an empty id', '', '10.0.0.9:80'],
    ['an id that ends a header', 'i-1\r\nX-Odd: 1', '10.0.0.9:80'],
    ['an id that no header can hold', 'i-\u2603', '10.0.0.9:80'],
    ['a very long id', 'i'.repeat(201), '10.0.0.9:80']
  ])('reports an entry with %s as unreadable, with a short reason', (_name, id, address) => {
    const change = decodeItem(item(`servers/${id}`, { ...runner, Address: address }))
    expect(change).toMatchObject({ kind: 'unreadable', backendId: id })
    expect(JSON.stringify(change).length).toBeLessThan(1000)
  })

  // Guards against a server that draws all requests to itself, or none, because of the number of slots in its entry.
  test.each([
    ['Slots', '1e999'], ['Slots', '1e308'], ['Slots', '1e21'], ['Slots', '-1'], ['Slots', '0'], ['Slots', '0.5'],
    ['born', '1e999'], ['born', '1e308'], ['born', '-1'], ['born', '0.5'], ['born', 'null']
  ])('reports an entry whose field %s is %s as unreadable', (name, number) => {
    const text = JSON.stringify({ ...runner, [name]: 0.25 }).replace('0.25', number)
    expect(decodeItem(item('servers/i-1', text))).toMatchObject({ kind: 'unreadable', backendId: 'i-1' })
  })

  // Guards against heartbeats to names that must be looked up, which every instance would pass on to the others.
  test.each(['', 'host.example', '10.0.0.300', '10.0.0.1:80', 'x'.repeat(300)])('reports the entry of an instance with the address "%s" as unreadable', (ip) => {
    const change = decodeItem(item(`daisybarrow/instances/${ip}`, ''))
    expect(change).toMatchObject({ kind: 'unreadable', backendId: null })
    expect(JSON.stringify(change).length).toBeLessThan(500)
  })

  test('ignores a key that the gateway does not use, and decodes the entry of an instance', () => {
    expect(decodeItem(item('op/other', {}))).toBeNull()
    expect(decodeItem(item('daisybarrow/instances/10.0.0.1', ''))).toEqual({ kind: 'instance', ip: '10.0.0.1' })
  })
})
