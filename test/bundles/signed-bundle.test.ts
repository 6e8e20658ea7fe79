import { describe, expect, test } from '@jest/globals'
import { checkBundle } from '../../src/bundles/check-bundle.js'
import { MAX_PART_BYTES, splitContent } from '../../src/bundles/part.js'
import { joinContent, missingParts } from '../../src/bundles/part-tree.js'
import { partsByHash, verifyContent, verifyRoot } from '../../src/bundles/signed-bundle.js'
import { exampleBundle, exampleKey, exampleSigned } from './example-bundle.js'

const ORGANISATIONS = 38000

describe('bundle format', () => {
  test('a change of one of 38,000 organisations adds only a few KB of parts to those of the previous version', () => {
    const bundle = exampleBundle(ORGANISATIONS)
    const before = splitContent(bundle)
    const organisations = bundle.organisations.map((item) => item.id === 'shop-7' ? { ...item, concurrency: 7 } : item)
    const after = splitContent({ ...bundle, organisations })
    const fresh = [...after.parts].filter(([hash]) => !before.parts.has(hash)).map(([, bytes]) => bytes)
    expect(fresh.reduce((sum, bytes) => sum + bytes.length, 0)).toBeLessThan(6000)
    expect(Math.max(...[...after.parts.values()].map((bytes) => bytes.length))).toBeLessThan(MAX_PART_BYTES)
    expect(missingParts({ sections: after.sections, complete: before.parts, partial: partsByHash(fresh) })).toEqual([])
    const joined = joinContent(after.sections, new Map([...before.parts, ...after.parts])) as typeof bundle
    expect(joined.organisations).toHaveLength(ORGANISATIONS)
    expect(joined.organisations.find((item) => item.id === 'shop-7')?.concurrency).toBe(7)
  })

  test('a part of another version is never used in place of the signed one', () => {
    const key = exampleKey('k')
    const first = exampleSigned(exampleBundle(100), 1, key)
    const second = exampleSigned(exampleBundle(100, { weights: { wastedPrefill: 4, goodput: 1 } }), 2, key)
    const { root } = verifyRoot(second.signed, [key.trusted]).unwrap()
    expect(verifyContent(root.sections, first.parts).err).toBe(true)
    expect(missingParts({ sections: root.sections, complete: new Map(), partial: first.parts })).toEqual([root.sections.weights])
    expect(verifyContent(root.sections, second.parts).unwrap().weights.wastedPrefill).toBe(4)
  })

  test('a root is rejected if its key is unknown or revoked, or if its text or key id was changed after signing', () => {
    const [old, next] = [exampleKey('old'), exampleKey('next')]
    const byOld = exampleSigned(exampleBundle(1), 1, old).signed
    const byNext = exampleSigned(exampleBundle(1), 2, next).signed
    const both = [old.trusted, next.trusted]
    expect([verifyRoot(byOld, both).ok, verifyRoot(byNext, both).ok]).toEqual([true, true])
    expect(verifyRoot(byNext, [old.trusted]).val).toContain('next is not among the trusted keys')
    expect(verifyRoot(byOld, [{ ...old.trusted, revoked: true }]).val).toContain('old is revoked')
    expect(verifyRoot({ ...byOld, root: byOld.root.replace('"version":1', '"version":9') }, both).err).toBe(true)
    expect(verifyRoot({ ...byOld, signature: { ...byOld.signature, keyId: 'next' } }, both).err).toBe(true)
  })
})

test('each validation error names its field, what was found and a remedy', () => {
  const bundle = exampleBundle(2)
  const [shop0, shop1] = bundle.organisations
  const wrong = {
    ...bundle,
    organisations: [{ ...shop0, class: 'gold' }, shop1, { ...shop1, keyHashes: [] }],
    routes: [...bundle.routes, { ...bundle.routes[0], name: 'again', service: 'm' }],
    models: [{ ...bundle.models[0], minimumRunners: 99 }]
  }
  expect(checkBundle(wrong).val).toMatchSnapshot()
  // A key shared by two organisations would let one act as the other.
  expect(checkBundle({ ...bundle, organisations: [shop0, { ...shop1, keyHashes: shop0?.keyHashes }] }).err).toBe(true)
  expect(checkBundle({ ...bundle, classes: 3, extra: 1 }).val).toMatchSnapshot()
})
