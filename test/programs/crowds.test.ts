import { afterAll, afterEach, describe, expect, test } from '@jest/globals'
import type { Socket } from 'node:net'
import { crowds, type Door, doors, sendCrowd } from './crowds.js'
import { delay, LimitedGateway, soundAnswer } from './limited-gateway.js'

const NET = '78.6'

/** Memory above which the process is killed, in MB: less than the smallest instance has, so that small crowds suffice. */
const MEMORY_MB = 128

/** Limit of the heap, in MB: as in the deploy file, about half of the memory. */
const HEAP_MB = 64

/** Largest number of open descriptors of the process. */
const DESCRIPTORS = 1024

/** Time for which the crowd does what it does before an ordinary caller comes, in milliseconds. */
const CROWD_MS = 2500

const TRIES = 3

const BIG_BODY = Buffer.alloc(3 * 1024 * 1024)

let gateway: LimitedGateway
let sockets: Socket[] = []

/** Peaks and findings of each case, which are printed for the record. */
const figures: string[] = []

afterAll(() => { process.stdout.write(`${figures.join('\n')}\n`) })

afterEach(async () => {
  for (const socket of sockets) socket.destroy()
  await gateway.stop()
})

/** Whether an ordinary request is answered, at the latest when it is sent for the last time. */
async function isServed (door: Door): Promise<boolean> {
  for (let i = 0; i < TRIES && gateway.alive; i += 1) {
    if (await gateway.status('/checks/sound', { deadlineMs: 2000, timeoutMs: 2000 }) === 200 && await gateway.get(door) !== null) return true
  }
  return false
}

describe('a crowd of callers ends no process', () => {
  const table = Object.keys(crowds).flatMap((crowd) => Object.keys(doors).map((door) => [crowd, door] as const))

  // Guards against instances that run out of memory or descriptors, or hang, because of what many clients together send, or leave out, within the limits of each.
  test.each(table)('%s: %s', async (crowdName, doorName) => {
    const crowd = crowds[crowdName]
    const door = doors[doorName]
    if (crowd === undefined || door === undefined) throw new Error('no such crowd or door')
    gateway = new LimitedGateway({ net: NET, memoryMb: MEMORY_MB, heapMb: HEAP_MB, descriptors: DESCRIPTORS, answers: { big: (socket, text) => soundAnswer(socket, text, BIG_BODY) } })
    await gateway.start()
    sockets = sendCrowd(crowd, gateway.ip, door)
    await delay(CROWD_MS)
    const servedBeside = await isServed(door)
    for (const socket of sockets) socket.destroy()
    const servedAfterwards = await isServed(door)
    figures.push(`${crowdName} | ${doorName}: ${Math.round(gateway.peakMb)} MB, ${gateway.peakDescriptors} descriptors, alive ${gateway.alive}, served ${servedBeside} ${servedAfterwards}`)
    expect({ alive: gateway.alive, servedBeside, servedAfterwards }).toEqual({ alive: true, servedBeside: true, servedAfterwards: true })
    expect(gateway.peakMb).toBeLessThan(MEMORY_MB)
    expect(gateway.peakDescriptors).toBeLessThan(DESCRIPTORS)
  }, 90_000)
})
