import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Tells whether the connection of a request was reset before the response was complete. */
export interface ConnectionReset {
  readonly occurred: boolean
}

/**
 * Watches the connection of a request for a reset within the response. Node.js marks a response that ends with its connection
 * as complete also if the connection was reset.
 */
export function watchReset (request: ClientRequest): ConnectionReset {
  const reset = { occurred: false }
  let response: IncomingMessage | undefined
  request.on('response', (message) => { response = message })
  request.on('socket', (socket: Socket) => {
    const record = (): void => { reset.occurred ||= response?.complete !== true }
    // libuv reports the end of the stream, and no error, if the reset arrives together with the last bytes. Then the peer's address can't be read any more.
    const recordIfNotConnected = (): void => { if (socket.remoteAddress === undefined) record() }
    // Node.js' own listeners complete the response, so these come first.
    socket.prependListener('error', record)
    socket.prependListener('end', recordIfNotConnected)
    request.on('close', () => {
      socket.removeListener('error', record)
      socket.removeListener('end', recordIfNotConnected)
    })
  })
  return reset
}
