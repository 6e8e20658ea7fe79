import { describe, expect, test } from '@jest/globals'
import { decode, encode } from 'cbor-x'
import { KeyCheck } from '../../src/gateway/key-check.js'
import { type Configuration, RouteKind } from '../../src/gateway/configuration.js'
import { hashKey } from '../../src/gateway/organisation-key.js'
import { PendingRequest } from '../../src/gateway/pending-request.js'
import { GatewayRefusal } from '../../src/gateway/refusal.js'
import { RouteTable } from '../../src/gateway/route-table.js'
import { snapshotSchema } from '../../src/gateway/snapshot-schema.js'
import { answerTo, type HttpGateway, startGateway, startServer } from '../platform/http-gateway.js'
import { callerRequest, configuration, RecordingResponder, route } from './gateway-fixtures.js'

function withKeys (version: number, keys: Record<string, string[]>, options: Partial<Configuration> = {}): Configuration {
  const organisations = Object.entries(keys).map(([name, texts]) => ({ name, keyHashes: texts.flatMap((text) => hashKey(text) ?? []), priority: null, quota: null }))
  return configuration({ version, organisations, requiresKeys: true, ...options })
}

function checkOf (active: Configuration, mayLackNewKeys = false): KeyCheck {
  const routes = new RouteTable(active)
  return new KeyCheck({ routes: () => routes, mayLackNewKeys: () => mayLackNewKeys })
}

describe('KeyCheck', () => {
  // Guards against requests that are served for the wrong organisation, or without one.
  test.each([
    ['a known key', 'key-a', false, 'org-a'],
    ['an unknown key', 'key-x', false, undefined],
    ['no key', null, false, undefined],
    ['an unknown key on an anonymous route', 'key-x', true, null],
    ['a key far longer than any', 'k'.repeat(5000), false, undefined]
  ])('finds the organisation of a request with %s', (_name, key, anonymous, expected) => {
    const organisation = checkOf(withKeys(1, { 'org-a': ['key-a'], 'org-b': ['key-b'] })).organisationOf({ keyHash: key === null ? null : hashKey(key) }, route({ anonymous }))
    expect(organisation?.name ?? organisation).toBe(expected)
  })

  test('needs no key without organisations, and any key once the last organisation is gone', () => {
    expect(checkOf(configuration()).organisationOf({ keyHash: null }, route())).toBeNull()
    expect(checkOf(withKeys(1, {})).organisationOf({ keyHash: hashKey('key-a') }, route())).toBeUndefined()
  })

  // Guards against 401 for a key that a newer configuration has added, which callers do not retry.
  test.each([
    [true, 'key-x', GatewayRefusal.KeyNotYetKnown],
    [true, null, GatewayRefusal.UnknownKey],
    [false, 'key-x', GatewayRefusal.UnknownKey]
  ])('refuses while a newer configuration is known: %s, with the key %s', (mayLackNewKeys, key, expected) => {
    const [refusal] = checkOf(withKeys(1, {}), mayLackNewKeys).refusalOf({ keyHash: key === null ? null : hashKey(key) })
    expect(refusal).toBe(expected)
  })

  // Guards against a run that begins after its key was taken away, and against an answer of a run that is cut for that reason.
  test.each([
    ['waits for its first send', false, false, GatewayRefusal.UnknownKey],
    ['may be running', true, true, null]
  ])('when a key is removed while its request %s', (_name, mayHaveRun, admitted, refusal) => {
    const responder = new RecordingResponder()
    const [organisation = null] = withKeys(1, { 'org-a': ['key-a'] }).organisations
    const pending = new PendingRequest({ request: callerRequest({ keyHash: hashKey('key-a') }), route: route(), service: 'plain', organisation, responder, nowMs: () => 0 })
    pending.mayHaveRun = mayHaveRun
    expect(checkOf(withKeys(2, { 'org-a': ['key-b'] })).admits(pending)).toBe(admitted)
    expect(responder.refusal).toBe(refusal)
    pending.abort('test')
  })

  // Guards against a request that runs for the organisation that held its key when it arrived, or without a key that its route has come to need.
  test.each([
    ['gives its key to another organisation', withKeys(2, { 'org-b': ['key-a'] }), 'org-a', GatewayRefusal.KeyNotYetKnown],
    ['ends the anonymity of its route', withKeys(2, { 'org-b': ['key-b'] }), null, GatewayRefusal.UnknownKey],
    ['removes its route', withKeys(2, { 'org-a': ['key-a'] }, { routes: [] }), 'org-a', null],
    ['removes all organisations', configuration({ version: 2 }), 'org-a', null]
  ])('when a configuration %s while a request waits', (_name, next, name, refusal) => {
    const responder = new RecordingResponder()
    const organisation = name === null ? null : { name, keyHashes: [], priority: null, quota: null }
    const pending = new PendingRequest({ request: callerRequest({ keyHash: hashKey('key-a') }), route: route(), service: 'plain', organisation, responder, nowMs: () => 0 })
    expect(checkOf(next).admits(pending)).toBe(refusal === null)
    expect(responder.refusal).toBe(refusal)
    pending.abort('test')
  })

  // Guards against an instance that serves requests without keys because a peer of an older version sent it the configuration.
  test('does not take a configuration from a peer that knows no organisations', () => {
    const { organisations: _organisations, requiresKeys: _requiresKeys, ...older } = configuration()
    const snapshot = { revision: 3, configuration: older, backends: [] }
    expect(snapshotSchema.parse(decode(encode(snapshot))).configuration).toBeNull()
    expect(snapshotSchema.parse(decode(encode({ ...snapshot, configuration: withKeys(4, { 'org-a': ['key-a'] }) }))).configuration?.organisations).toHaveLength(1)
  })
})

describe('a gateway whose configuration has organisations', () => {
  async function callWith (gateway: HttpGateway, headers: string): Promise<string> {
    const caller = gateway.call()
    caller.socket.write(`GET /again/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: q1\r\n${headers}Connection: close\r\n\r\n`)
    return await caller.until('\r\n\r\n')
  }

  // Guards against keys that reach servers, and against callers that choose their organisation themselves.
  test('passes on the organisation instead of the key, refuses unknown keys, and takes changes on open connections', async () => {
    const server = await startServer((socket, head) => socket.write(answerTo(head)))
    const gateway = await startGateway(server.address)
    const routes = [route({ name: 'again', pathPrefix: '/again/', kind: RouteKind.Idempotent })]
    gateway.gateway.applyConfiguration(withKeys(2, { 'org-a': ['key-a'] }, { routes }), 'store')
    expect(await callWith(gateway, 'X-Key: key-a\r\nX-Tenant: org-b\r\n')).toMatch('200 OK')
    expect(server.received[0]).toMatch(/X-Tenant: org-a\r\n/)
    expect(server.received[0]).not.toMatch(/key-a|org-b/)
    expect(await callWith(gateway, '')).toMatch('401')
    expect(await callWith(gateway, 'X-Key: key-a\r\nX-Key: key-a\r\n')).toMatch('401')
    const kept = gateway.call()
    const request = 'GET /again/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: q2\r\nX-Key: key-a\r\n\r\n'
    kept.socket.write(request)
    expect(await kept.until('ok')).toMatch('200 OK')
    gateway.gateway.applyConfiguration(withKeys(3, { 'org-a': ['key-b'] }, { routes }), 'store')
    kept.socket.write(request)
    expect(await kept.until('401')).toMatch('401')
    expect(server.received).toHaveLength(2)
    expect(gateway.log.lines.join('\n')).not.toMatch('key-a')
    gateway.close()
    server.close()
  })
})
