import { describe, expect, test } from '@jest/globals'
import { encodeFrame, FrameReader, MAX_FRAME_BYTES } from '../../src/adapters/frame.js'

describe('FrameReader', () => {
  test('a frame split at any byte is read completely, since TCP keeps no message boundaries', () => {
    const bytes = Buffer.concat([encodeFrame({ a: 1 }), encodeFrame({ b: 'two' })])
    for (let cut = 0; cut <= bytes.length; cut += 1) {
      const reader = new FrameReader()
      const values = [...reader.push(bytes.subarray(0, cut)), ...reader.push(bytes.subarray(cut))]
      expect(values).toEqual([{ a: 1 }, { b: 'two' }])
    }
  })

  test('an oversized length is refused before memory is allocated for the frame', () => {
    const header = Buffer.alloc(4)
    header.writeUInt32BE(MAX_FRAME_BYTES + 1, 0)
    expect(() => new FrameReader().push(header)).toThrow(RangeError)
  })
})
