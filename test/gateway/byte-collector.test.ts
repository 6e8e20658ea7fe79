import { describe, expect, test } from '@jest/globals'
import { ByteCollector } from '../../src/gateway/byte-collector.js'

describe('ByteCollector', () => {
  test.each([[[]], [['abc']], [['a', 'b', '', 'c']], [['a'.repeat(5000), 'b', 'c'.repeat(9000)]]])('joins chunks in their order', (chunks: string[]) => {
    const collector = new ByteCollector()
    for (const chunk of chunks) collector.push(Buffer.from(chunk))
    expect([collector.bytes().toString(), collector.length]).toEqual([chunks.join(''), chunks.join('').length])
  })

  // Guards against bodies whose small chunks occupy many times their size.
  test('allocates at most a block more than the received bytes, however small the chunks are', () => {
    let allocatedBytes = 0
    const collector = new ByteCollector({ onGrowth: (bytes) => { allocatedBytes += bytes; return true } })
    for (let i = 0; i < 100_000; i++) collector.push(Buffer.from('a'))
    expect(allocatedBytes).toBeLessThanOrEqual(100_000 + 64 * 1024)
  })

  test('drops its bytes when it may not grow', () => {
    const collector = new ByteCollector({ onGrowth: (bytes) => bytes < 10 })
    expect([collector.push(Buffer.from('a')), collector.push(Buffer.from('b')), collector.length]).toEqual([true, false, 0])
  })
})
