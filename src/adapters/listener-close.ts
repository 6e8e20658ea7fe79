import type { Server, ServerResponse } from 'node:http'

/** Time that callers have to read open responses before their connections are closed, in milliseconds. */
const FLUSH_LIMIT_MS = 5000

const FLUSH_CHECK_PERIOD_MS = 20

/** Returns a live set of the listener's open responses; a response leaves it when it has been handed to the operating system completely or its connection has closed. */
export function trackAnswers (server: Server): Set<ServerResponse> {
  const openResponses = new Set<ServerResponse>()
  server.on('request', (_request, response) => {
    openResponses.add(response)
    response.once('close', () => openResponses.delete(response))
  })
  return openResponses
}

/**
 * Waits until no response is open, at most `limitMs` milliseconds, then closes the listener and all its connections.
 * Node treats a connection as idle as soon as its response is ended, so that closing idle connections without this wait
 * would truncate a response that the caller is still reading.
 */
export async function closeListener (server: Server, openResponses: Set<ServerResponse>, limitMs = FLUSH_LIMIT_MS): Promise<void> {
  for (let waitedMs = 0; openResponses.size > 0 && waitedMs < limitMs; waitedMs += FLUSH_CHECK_PERIOD_MS) {
    await new Promise((resolve) => { setTimeout(resolve, FLUSH_CHECK_PERIOD_MS) })
  }
  const closed = new Promise<void>((resolve) => { server.close(() => resolve()) })
  server.closeAllConnections()
  await closed
}
