import { expect, test } from '@jest/globals'
import { idleShare } from '../../src/gateway/idle-share.js'

// Guards against instances that lose power with their connections open, return and open as many again.
test.each([[9, 110], [99, 560], [195, 1200]])('%i instances that keep their share twice stay within %i connections', (instances, maxConnections) => {
  expect(2 * idleShare({ maxConnections, instances }) * instances).toBeLessThanOrEqual(maxConnections)
})

test('a large fleet before a small server still keeps a connection for each instance', () => {
  expect(idleShare({ maxConnections: 10, instances: 300 })).toBe(1)
})
