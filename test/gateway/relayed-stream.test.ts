import { expect, test } from '@jest/globals'
import type { IncomingMessage } from 'node:http'
import { PassThrough } from 'node:stream'
import { RelayedStream } from '../../src/gateway/relayed-stream.js'

// Guards against streams that are kept in memory without bound: release() read on although the caller read slowly.
test('a stream is read again only once it is released and its caller reads on', () => {
  const message = new PassThrough()
  const relayed = new RelayedStream({ message: message as unknown as IncomingMessage, onEnd: () => {} })
  const isPaused = [relayed.pauseForCaller, relayed.hold, relayed.release, relayed.resumeForCaller, relayed.hold, relayed.pauseForCaller, relayed.resumeForCaller, relayed.release].map((step) => {
    step.call(relayed)
    return message.isPaused()
  })
  expect(isPaused).toEqual([true, true, true, false, true, true, true, false])
})
