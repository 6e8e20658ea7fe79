import { expect, test } from '@jest/globals'
import { connectionShare } from '../../src/gateway/connection-shares.js'

// Guards against instances that lose power with their connections open, return and open as many again.
test.each([[9, 110], [99, 560], [195, 1200]])('%i instances that hold their share twice stay within %i connections when idle', (instances, maxConnections) => {
  const { idle, total } = connectionShare({ maxConnections, instances })
  expect(2 * idle * instances).toBeLessThanOrEqual(maxConnections)
  expect(total * instances).toBeLessThanOrEqual(maxConnections)
})

test('a large fleet before a small server still has a connection for each instance', () => {
  expect(connectionShare({ maxConnections: 10, instances: 300 })).toMatchObject({ idle: 1 })
})
