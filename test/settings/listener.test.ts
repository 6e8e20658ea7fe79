import { expect, test } from '@jest/globals'
import { listenerSchema, peerListenerSchema } from '../../src/settings/listener.js'

const tls = { certificateFile: 'c', keyFile: 'k' }

test.each([
  [{ port: 1 }, true],
  [{ port: 1, host: '127.1.2.3' }, true],
  [{ port: 1, host: '::1' }, true],
  [{ port: 1, host: '0.0.0.0' }, false],
  [{ port: 1, host: '10.0.0.1' }, false],
  [{ port: 1, host: '::ffff:127.0.0.1' }, false],
  [{ port: 1, host: '10.0.0.1', allowPlainText: false }, false],
  [{ port: 1, host: '10.0.0.1', allowPlainText: true }, true],
  [{ port: 1, host: '10.0.0.1', tls }, true]
])('guards against plain text on an address other than loopback that the settings do not allow: %j', (settings, accepted) => {
  expect(listenerSchema.safeParse(settings).success).toBe(accepted)
})

test('guards against TLS between peers that authenticates one side only', () => {
  expect(peerListenerSchema.safeParse({ port: 1, tls }).success).toBe(false)
  expect(peerListenerSchema.safeParse({ port: 1, tls: { ...tls, caFile: 'a' } }).success).toBe(true)
})
