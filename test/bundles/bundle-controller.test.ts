import { describe, expect, test } from '@jest/globals'
import type { Bundle } from '../../src/bundles/bundle.js'
import { KEY_VALUE_SOURCE, BundleEventKind } from '../../src/bundles/bundle-event.js'
import { BundleActionKind } from '../../src/bundles/bundle-action.js'
import { type ModelInstance, SpreadModel, type SpreadModelOptions } from '../../src/measure/spread-model.js'
import { exampleBundle, exampleKey, exampleSigned } from './example-bundle.js'

const key = exampleKey('k')
const SEED = 11

function withConcurrency (bundle: Bundle, concurrency: number): Bundle {
  return { ...bundle, organisations: bundle.organisations.map((item, index) => index === 0 ? { ...item, concurrency } : item) }
}

function signedVersion (version: number, organisations = 300): ReturnType<typeof exampleSigned> {
  return exampleSigned(withConcurrency(exampleBundle(organisations), version), version, key)
}

function accept (model: SpreadModel, { signed, parts }: ReturnType<typeof exampleSigned>): void {
  model.accept(signed, parts)
}

function startedModel (options: Partial<SpreadModelOptions> = {}): SpreadModel {
  const model = new SpreadModel({ instances: 24, domains: 3, regions: 1, trustedKeys: [key.trusted], seed: SEED, ...options })
  accept(model, signedVersion(1))
  model.clock.runUntil(30000)
  return model
}

function activeVersions (model: SpreadModel): Set<number> {
  return new Set(model.instances.filter(({ up }) => up).map(({ board }) => board.bundle?.version ?? 0))
}

function maxCallsPerSecond (model: SpreadModel): number {
  const perSecond = new Map<number, number>()
  for (const ms of model.service.calls) perSecond.set(Math.floor(ms / 1000), (perSecond.get(Math.floor(ms / 1000)) ?? 0) + 1)
  return Math.max(...perSecond.values())
}

function expectAscending (instances: ModelInstance[]): void {
  for (const { applied } of instances) expect(applied).toEqual([...applied].sort((a, b) => a - b))
}

describe('distribution', () => {
  test('a change reaches every instance within two seconds, although only two instances per failure domain watch the service', () => {
    const model = startedModel()
    expect(model.instances.filter(({ watching }) => watching > 0)).toHaveLength(6)
    model.resetCounts()
    accept(model, signedVersion(2))
    model.clock.runUntil(32000)
    expect(activeVersions(model)).toEqual(new Set([2]))
    expect(model.service.reads).toBeLessThan(15)
    expect(Math.max(...model.instances.map(({ bytes }) => bytes))).toBeLessThan(25000)
  })

  test('with a tenth of all messages lost, every instance activates each version within eight seconds', () => {
    const model = startedModel({ loss: 0.1 })
    for (let version = 2; version <= 6; version += 1) {
      accept(model, signedVersion(version))
      model.clock.runUntil(30000 + (version - 1) * 8000)
      expect(activeVersions(model)).toEqual(new Set([version]))
    }
    expectAscending(model.instances)
    const delaysMs = model.instances.flatMap(({ appliedMs }) => [3, 4, 5, 6].map((version) => (appliedMs.get(version) ?? Infinity) - 30000 - (version - 2) * 8000))
    expect(delaysMs.filter((ms) => ms > 1000).length / delaysMs.length).toBeLessThan(0.06)
  })

  test('a paused instance catches up by querying its peers when it resumes, although announcements to it are no longer retried', () => {
    const model = startedModel()
    const paused = model.instances.filter(({ board }) => !board.bundleSpread.reader).slice(0, 3)
    for (const instance of paused) instance.up = false
    accept(model, signedVersion(2))
    model.clock.runUntil(33000)
    expect(activeVersions(model)).toEqual(new Set([2]))
    for (const instance of paused) instance.up = true
    model.clock.runUntil(38000)
    expect(activeVersions(model)).toEqual(new Set([2]))
  })

  test('a failure domain whose watches of the service ended without notice receives the version from readers of other domains', () => {
    const model = startedModel()
    for (const instance of model.instances.filter(({ domain }) => domain === 'd1')) instance.watching = 0
    model.clock.runUntil(30100)
    accept(model, signedVersion(2))
    model.clock.runUntil(30600)
    expect(activeVersions(model)).toEqual(new Set([2]))
  })

  test('a failure domain that was cut off catches up, and no instance activates a lower version', () => {
    const model = startedModel()
    model.setCut('d2', true)
    for (const version of [2, 3]) {
      accept(model, signedVersion(version))
      model.clock.runUntil(model.clock.nowMs + 5000)
    }
    expect(activeVersions(model)).toEqual(new Set([1, 3]))
    model.setCut('d2', false)
    model.clock.runUntil(model.clock.nowMs + 2000)
    expect(activeVersions(model)).toEqual(new Set([3]))
    expectAscending(model.instances)
  })

  test('instances do not all call the service at once when it recovers from a long outage', () => {
    const model = startedModel()
    model.setServiceUp(false)
    model.clock.runUntil(120000)
    model.resetCounts()
    model.setServiceUp(true)
    model.clock.runUntil(124000)
    expect(maxCallsPerSecond(model)).toBeLessThanOrEqual(12)
  })
})

describe('start', () => {
  test('an instance that starts during an outage activates only the highest version of several peers', () => {
    const model = startedModel({ regions: 3 })
    const [first] = model.instances
    if (first === undefined) throw new Error('no instance')
    model.setServiceUp(false)
    const behind = model.instances.filter(({ domain, id }) => domain === first.domain && id !== first.id)
    first.up = false
    // Peers in the domain of the starting instance have only version 1; the others are cut off while they receive version 2.
    const ahead = model.instances.filter((instance) => !behind.includes(instance) && instance !== first)
    for (const peer of ahead) model.setCut(peer.domain, true)
    const { signed, parts } = signedVersion(2)
    for (const { core, id } of ahead) {
      const context = { nowMs: model.clock.nowMs, random: () => 0.5, nextId: () => `x${id}` }
      core.step({ kind: BundleEventKind.HeadRead, signed, fresh: [], parts: [], revision: 2 }, context)
      for (let round = 0; round < 5; round += 1) core.step({ kind: BundleEventKind.BundlePartsReceived, from: KEY_VALUE_SOURCE, ask: `x${id}`, signed: null, parts: [...parts.values()] }, context)
    }
    expect(new Set(ahead.map(({ board }) => board.bundle?.version))).toEqual(new Set([2]))
    for (const peer of ahead) model.setCut(peer.domain, false)
    first.applied = []
    model.start(first)
    expect(first.board.bundle).toBeNull()
    model.clock.runUntil(model.clock.nowMs + 3000)
    expect(first.applied).toEqual([2])
  })

  test('a fleet that starts without a bundle during an outage spreads its calls to the service over time', () => {
    const model = new SpreadModel({ instances: 90, domains: 9, regions: 3, trustedKeys: [key.trusted], seed: SEED })
    model.setServiceUp(false)
    model.clock.runUntil(60000)
    expect(maxCallsPerSecond(model)).toBeLessThan(60)
    expect(activeVersions(model)).toEqual(new Set([0]))
  })
})

describe('verification', () => {
  const context = { nowMs: 60000, random: () => 0.5, nextId: () => 'ask' }

  test('a version below the active one is never activated, whether the head or a peer offers it', () => {
    const model = startedModel()
    const { board, core } = model.instances[0] as ModelInstance
    const before = board.bundle
    core.step({ kind: BundleEventKind.HeadRead, signed: exampleSigned(exampleBundle(1), 1, key).signed, fresh: [], parts: [], revision: 9 }, context)
    core.step({ kind: BundleEventKind.BundleVerified, version: 1, hash: 'x', bundle: exampleBundle(1), source: 'e1' }, context)
    expect(board.bundle).toBe(before)
  })

  test('a wrong part is not used, and no part of a root with an invalid signature is requested', () => {
    const model = startedModel()
    const { board, core } = model.instances[0] as ModelInstance
    const forged = exampleSigned(withConcurrency(exampleBundle(300), 9), 9, exampleKey('k'))
    const refused = core.step({ kind: BundleEventKind.BundleAnnounced, from: 'e1', version: 9, signed: forged.signed }, context)
    expect(refused.map(({ kind }) => kind)).not.toContain(BundleActionKind.RequestBundle)
    expect(refused).toEqual([expect.objectContaining({ name: 'bundle_rejected' })])
    core.step({ kind: BundleEventKind.BundleAnnounced, from: 'e1', version: 2, signed: signedVersion(2).signed }, context)
    core.step({ kind: BundleEventKind.BundlePartsReceived, from: 'e1', ask: 'ask', signed: null, parts: [Buffer.from('not the part')] }, context)
    expect(board.bundle?.version).toBe(1)
    expect(board.bundleSpread.fetch?.parts.size).toBe(0)
  })

  test('incomplete parts of a superseded fetch do not count as complete for a later version with the same tree', () => {
    const model = startedModel()
    const { board, core } = model.instances[0] as ModelInstance
    const signedWith = (version: number, concurrency: number): ReturnType<typeof exampleSigned> => exampleSigned(withConcurrency(exampleBundle(300), concurrency), version, key)
    const [second, third, fourth] = [signedWith(2, 72), signedWith(3, 73), signedWith(4, 72)]
    const announced = (from: string, version: number, { signed }: typeof second): void => { core.step({ kind: BundleEventKind.BundleAnnounced, from, version, signed }, context) }
    const received = (parts: Uint8Array[]): void => { core.step({ kind: BundleEventKind.BundlePartsReceived, from: 'e1', ask: 'ask', signed: null, parts }, context) }
    announced('e1', 2, second)
    received([...second.parts.values()].filter((bytes) => bytes.length < 1000))
    announced('e1', 3, third)
    received([...third.parts.values()])
    expect(board.bundle?.version).toBe(3)
    announced('e1', 4, fourth)
    received([...fourth.parts.values()])
    expect(board.bundle?.version).toBe(4)
  })
})
