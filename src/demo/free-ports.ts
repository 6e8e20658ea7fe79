import { connect } from 'node:net'

const HOST = '127.0.0.1'
const STEP = 1000
/** Above this the operating system gives out ports by itself. */
const LAST_PORT = 32000

/** The first base from the given one on at which none of the offsets is in use. */
export async function freeBase (from: number, offsets: number[]): Promise<number> {
  for (let base = from; base + STEP <= LAST_PORT; base += STEP) {
    const used = await Promise.all(offsets.map((offset) => inUse(base + offset)))
    if (!used.includes(true)) return base
  }
  throw new RangeError(`no free ports from ${from} on; end other test fleets on this machine`)
}

function inUse (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host: HOST, port })
    socket.once('connect', () => {
      socket.destroy()
      resolve(true)
    })
    socket.once('error', () => resolve(false))
  })
}
