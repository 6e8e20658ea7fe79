import type { Socket } from 'node:net'

/** The part of a socket that the HTTP server of Node.js uses, too, to read no more than it parses. */
interface ReadingSocket {
  _handle: { reading: boolean, readStart: () => void, readStop: () => void } | null
}

/** Stops reading at once; a paused socket would read up to 64 KB ahead. */
export function stopReading (socket: Socket): void {
  const { _handle: handle } = socket as unknown as ReadingSocket
  if (handle === null || !handle.reading) return
  handle.reading = false
  handle.readStop()
}

/** Reads again after `stopReading`. */
export function startReading (socket: Socket): void {
  const { _handle: handle } = socket as unknown as ReadingSocket
  if (handle === null || handle.reading) return
  handle.reading = true
  handle.readStart()
}
