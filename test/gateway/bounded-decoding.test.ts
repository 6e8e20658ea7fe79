import { describe, expect, test } from '@jest/globals'
import { encode } from 'cbor-x'
import { decodeBoundedCbor, OversizeError, parseBoundedJson } from '../../src/gateway/bounded-decoding.js'

const sound = { text: 'a,[{', list: [1, -5, 1.5, 1_765_000_000_000, true, null, [], {}], long: 'x'.repeat(70_000), many: Array.from({ length: 300 }, (_, index) => ({ index })) }

describe('bounded decoding', () => {
  test('decodes what instances and the store send', () => {
    expect(parseBoundedJson(Buffer.from(JSON.stringify(sound)))).toEqual(sound)
    expect(decodeBoundedCbor(encode(sound))).toEqual(sound)
  })

  // Guards against a few megabytes of empty lists that fill the heap when they are decoded.
  test('throws before it decodes too many values', () => {
    expect(() => parseBoundedJson(Buffer.from(`[${'[],'.repeat(400_000)}1]`))).toThrow(OversizeError)
    expect(() => decodeBoundedCbor(Buffer.concat([Buffer.from('9a00100000', 'hex'), Buffer.alloc(0x100000, 0x80)]))).toThrow(OversizeError)
    expect(() => decodeBoundedCbor(Buffer.from('9affffffff', 'hex'))).toThrow(OversizeError)
  })

  test.each(['', '9a00', '62', '7bffffffffffffffff', 'c0', 'd9dfff80', '8180ff', '1c'])('throws for malformed CBOR: %s', (hex) => {
    expect(() => decodeBoundedCbor(Buffer.from(hex, 'hex'))).toThrow()
  })
})
