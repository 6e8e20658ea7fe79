import { expect, test } from '@jest/globals'
import { BufferGarbage, CollectionKind } from '../../src/gateway/buffer-garbage.js'

const MB = 1024 * 1024

/** Receives 1 MB each 10 ms; returns how often buffers were collected, by kind. */
function collections ({ megabytes, freed, held = 0 }: { megabytes: number, freed: Record<CollectionKind, number>, held?: number }): Record<CollectionKind, number> {
  const counts = { [CollectionKind.Minor]: 0, [CollectionKind.Major]: 0 }
  let nowMs = 0
  let bufferBytes = held * MB
  const garbage = new BufferGarbage({
    memoryMb: 100,
    heldBytes: () => held * MB,
    bufferBytes: () => bufferBytes,
    nowMs: () => nowMs,
    collect: (kind) => {
      counts[kind] += 1
      bufferBytes -= freed[kind] * (bufferBytes - held * MB)
    }
  })
  for (let i = 0; i < megabytes; i += 1) {
    nowMs += 10
    bufferBytes += MB
    garbage.record(MB)
  }
  return counts
}

test.each([
  ['not while the buffers are counted as in use', { megabytes: 3, held: 50, freed: { minor: 0, major: 0 } }, { minor: 0, major: 0 }],
  ['recent ones', { megabytes: 16, freed: { minor: 1, major: 1 } }, { minor: 4, major: 0 }],
  ['all if that is not enough', { megabytes: 14, freed: { minor: 0, major: 1 } }, { minor: 6, major: 2 }]
])('collects %s', (_name, options, expected) => {
  expect(collections(options)).toEqual(expected)
})

// Guards against a process that does nothing but collect, because its buffers are in use without being counted.
test('collects all ever more rarely if that frees nothing', () => {
  expect(collections({ megabytes: 1000, freed: { minor: 0, major: 0 } }).major).toBeLessThan(10)
})
