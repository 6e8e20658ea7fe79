import { describe, expect, test } from '@jest/globals'
import { type Configuration, QuotaUnit, RouteKind } from '../../src/gateway/configuration.js'
import { configurationReport, ReportVerdict } from '../../src/gateway/configuration-report.js'
import { readConfiguration } from '../../platform/store-entries.js'
import { configuration, route } from './gateway-fixtures.js'

const organisation = { name: 'org-a', keyHashes: ['hash-1'], priority: null, quota: null }

function reportOn (next: Configuration, active: Configuration | null = null): string {
  return configurationReport({ configuration: next }, active).text
}

describe('configurationReport', () => {
  test('finds no fault in a sound configuration', () => {
    expect(configurationReport({ configuration: configuration({ routes: [route(), route({ name: 'm', pathPrefix: '/m/', services: [{ service: 'model', weight: 1 }] })] }) }, null)).toMatchObject({ verdict: ReportVerdict.Sound, findings: [], differences: null })
  })

  // Guards against a configuration that is sent although it refuses callers or has entries without effect.
  test('names each fault with its place and remedy', () => {
    expect(reportOn(configuration({
      routes: [
        route({ name: 'first', timeoutMs: 100, targetLatencyMs: 150, resumable: true }),
        route({ name: 'second', attempts: 0 }),
        route({ name: 'second', pathPrefix: 'x', host: 'h.example:80', services: [{ service: 'gone', weight: 0 }] }),
        route({ name: 'stream', pathPrefix: '/s?a/', kind: RouteKind.Streaming, resumable: true, attempts: 1, timeoutMs: 0 })
      ],
      limits: { headerBytes: 0, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      services: [...configuration().services, { name: 'idle', maxConnections: 1, engine: { slots: 0, memoryTokens: 5, tokensPerEvent: 1, roleChangeMs: 1 } }],
      organisations: [organisation, { ...organisation, name: 'org-b' }, { name: 'org-c', keyHashes: [], priority: 1, quota: { unit: QuotaUnit.Tokens, perS: 50, burst: 100, plainTokens: 200 } }],
      requiresKeys: true
    }))).toMatchSnapshot()
  })

  test.each([
    ['no organisation', { requiresKeys: true }],
    ['anonymous routes only', { requiresKeys: true, organisations: [organisation], routes: [route({ anonymous: true })] }]
  ])('warns about keys that are never asked or never known: %s', (_name, options) => {
    expect(reportOn(configuration(options))).toMatchSnapshot()
  })

  // Guards against a change whose writer does not see that it cuts off callers.
  test('tells what differs from the configuration in force, and which changes cut off callers', () => {
    const active = configuration({ version: 4, routes: [route(), route({ name: 'old', pathPrefix: '/old/' })], organisations: [organisation, { ...organisation, name: 'org-b', keyHashes: ['hash-2', 'hash-3'] }], requiresKeys: true })
    const next = configuration({
      version: 4,
      routes: [route({ timeoutMs: 500, priority: 0 }), route({ name: 'new', pathPrefix: '/new/', services: [{ service: 'model', weight: 1 }] })],
      limits: { ...active.limits, bodyBytes: 100, idleTimeoutMs: 1 },
      organisations: [{ ...organisation, name: 'org-b', keyHashes: ['hash-3', 'hash-4', 'hash-5'] }],
      requiresKeys: true
    })
    expect(reportOn(next, active)).toMatchSnapshot()
    expect(reportOn(next, active)).not.toMatch(/hash-/)
  })

  test('names the faults of a file that instances would not read', () => {
    expect(configurationReport(readConfiguration(Buffer.from('{"Version":"7","Routes":[{"Name":"r"}],"Services":[]}')), null).text).toMatchSnapshot()
    // The words of a syntax error are those of the runtime.
    expect(configurationReport(readConfiguration(Buffer.from('{')), null)).toMatchObject({ verdict: ReportVerdict.Errors, findings: [{ field: 'configuration' }] })
  })
})
