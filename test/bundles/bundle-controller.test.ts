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

function version (number: number, organisations = 300): ReturnType<typeof exampleSigned> {
  return exampleSigned(withConcurrency(exampleBundle(organisations), number), number, key)
}

function accept (model: SpreadModel, { signed, parts }: ReturnType<typeof exampleSigned>): void {
  model.accept(signed, parts)
}

function startedModel (options: Partial<SpreadModelOptions> = {}): SpreadModel {
  const model = new SpreadModel({ instances: 24, domains: 3, regions: 1, trustedKeys: [key.trusted], seed: SEED, ...options })
  accept(model, version(1))
  model.clock.runUntil(30000)
  return model
}

function inForce (model: SpreadModel): Set<number> {
  return new Set(model.instances.filter(({ up }) => up).map(({ board }) => board.bundle?.version ?? 0))
}

function mostCallsInASecond (model: SpreadModel): number {
  const perSecond = new Map<number, number>()
  for (const ms of model.service.calls) perSecond.set(Math.floor(ms / 1000), (perSecond.get(Math.floor(ms / 1000)) ?? 0) + 1)
  return Math.max(...perSecond.values())
}

function expectRising (instances: ModelInstance[]): void {
  for (const { applied } of instances) expect(applied).toEqual([...applied].sort((a, b) => a - b))
}

describe('spread', () => {
  test('a change reaches every instance within two seconds although only two a failure domain watch the service', () => {
    const model = startedModel()
    expect(model.instances.filter(({ watching }) => watching > 0)).toHaveLength(6)
    model.resetCounts()
    accept(model, version(2))
    model.clock.runUntil(32000)
    expect(inForce(model)).toEqual(new Set([2]))
    expect(model.service.reads).toBeLessThan(15)
    expect(Math.max(...model.instances.map(({ bytes }) => bytes))).toBeLessThan(25000)
  })

  test('a tenth of all messages lost: the missed announcements are repaired within eight seconds', () => {
    const model = startedModel({ loss: 0.1 })
    for (let number = 2; number <= 6; number += 1) {
      accept(model, version(number))
      model.clock.runUntil(30000 + (number - 1) * 8000)
      expect(inForce(model)).toEqual(new Set([number]))
    }
    expectRising(model.instances)
    const slowest = model.instances.flatMap(({ appliedMs }) => [3, 4, 5, 6].map((number) => (appliedMs.get(number) ?? Infinity) - 30000 - (number - 2) * 8000))
    expect(slowest.filter((ms) => ms > 1000).length / slowest.length).toBeLessThan(0.06)
  })

  test('an instance that was paused asks its peers and catches up although no announcement is repeated to it', () => {
    const model = startedModel()
    const paused = model.instances.filter(({ board }) => !board.bundleSpread.reader).slice(0, 3)
    for (const instance of paused) instance.up = false
    accept(model, version(2))
    model.clock.runUntil(33000)
    expect(inForce(model)).toEqual(new Set([2]))
    for (const instance of paused) instance.up = true
    model.clock.runUntil(38000)
    expect(inForce(model)).toEqual(new Set([2]))
  })

  test('a failure domain without a way to the service gets the version from readers of other domains', () => {
    const model = startedModel()
    for (const instance of model.instances.filter(({ domain }) => domain === 'd1')) instance.watching = 0
    model.clock.runUntil(30100)
    accept(model, version(2))
    model.clock.runUntil(30600)
    expect(inForce(model)).toEqual(new Set([2]))
  })

  test('a failure domain that was cut off catches up; no instance goes back to a lower version', () => {
    const model = startedModel()
    model.setCut('d2', true)
    for (const number of [2, 3]) {
      accept(model, version(number))
      model.clock.runUntil(model.clock.nowMs + 5000)
    }
    expect(inForce(model)).toEqual(new Set([1, 3]))
    model.setCut('d2', false)
    model.clock.runUntil(model.clock.nowMs + 2000)
    expect(inForce(model)).toEqual(new Set([3]))
    expectRising(model.instances)
  })

  test('the service returns after a long outage without a stampede', () => {
    const model = startedModel()
    model.setServiceUp(false)
    model.clock.runUntil(120000)
    model.resetCounts()
    model.setServiceUp(true)
    model.clock.runUntil(124000)
    expect(mostCallsInASecond(model)).toBeLessThanOrEqual(12)
  })
})

describe('start', () => {
  test('an instance that starts during an outage takes the highest version of several peers, and has none before', () => {
    const model = startedModel({ regions: 3 })
    const [first] = model.instances
    if (first === undefined) throw new Error('no instance')
    model.setServiceUp(false)
    const behind = model.instances.filter(({ domain, id }) => domain === first.domain && id !== first.id)
    first.up = false
    // Most peers lag behind: their copies of version 2 are still on the way.
    const ahead = model.instances.filter((instance) => !behind.includes(instance) && instance !== first)
    for (const peer of ahead) model.setCut(peer.domain, true)
    const { signed, parts } = version(2)
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

  test('a fleet that starts empty during an outage does not rush to the service', () => {
    const model = new SpreadModel({ instances: 90, domains: 9, regions: 3, trustedKeys: [key.trusted], seed: SEED })
    model.setServiceUp(false)
    model.clock.runUntil(60000)
    expect(mostCallsInASecond(model)).toBeLessThan(60)
    expect(inForce(model)).toEqual(new Set([0]))
  })
})

describe('checks before use', () => {
  const context = { nowMs: 60000, random: () => 0.5, nextId: () => 'ask' }

  test('a version below the one in force is never put in force, whoever offers it', () => {
    const model = startedModel()
    const { board, core } = model.instances[0] as ModelInstance
    const now = board.bundle
    core.step({ kind: BundleEventKind.HeadRead, signed: exampleSigned(exampleBundle(1), 1, key).signed, fresh: [], parts: [], revision: 9 }, context)
    core.step({ kind: BundleEventKind.BundleVerified, version: 1, hash: 'x', bundle: exampleBundle(1), source: 'e1' }, context)
    expect(board.bundle).toBe(now)
  })

  test('a wrong part is not used, and a root by an unknown key not even asked for', () => {
    const model = startedModel()
    const { board, core } = model.instances[0] as ModelInstance
    const forged = exampleSigned(withConcurrency(exampleBundle(300), 9), 9, exampleKey('k'))
    const refused = core.step({ kind: BundleEventKind.BundleAnnounced, from: 'e1', version: 9, signed: forged.signed }, context)
    expect(refused.map(({ kind }) => kind)).not.toContain(BundleActionKind.RequestBundle)
    expect(refused).toEqual([expect.objectContaining({ name: 'bundle_rejected' })])
    core.step({ kind: BundleEventKind.BundleAnnounced, from: 'e1', version: 2, signed: version(2).signed }, context)
    core.step({ kind: BundleEventKind.BundlePartsReceived, from: 'e1', ask: 'ask', signed: null, parts: [Buffer.from('not the part')] }, context)
    expect(board.bundle?.version).toBe(1)
    expect(board.bundleSpread.fetch?.parts.size).toBe(0)
  })

  test('parts of a superseded fetch leave no gap for a later version that uses the same tree', () => {
    const model = startedModel()
    const { board, core } = model.instances[0] as ModelInstance
    const signedWith = (number: number, concurrency: number): ReturnType<typeof exampleSigned> => exampleSigned(withConcurrency(exampleBundle(300), concurrency), number, key)
    const [second, third, fourth] = [signedWith(2, 72), signedWith(3, 73), signedWith(4, 72)]
    const announced = (from: string, number: number, { signed }: typeof second): void => { core.step({ kind: BundleEventKind.BundleAnnounced, from, version: number, signed }, context) }
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
