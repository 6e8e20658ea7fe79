import { afterAll, afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { mkdtempSync, rmSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SoakFleet, type SoakInstance } from '../../src/soak/soak-fleet.js'
import { SoakLedger } from '../../src/soak/soak-ledger.js'
import { serverKey } from '../../src/standin/platform-entries.js'

/** Time in which an instance applies a change of the store, in milliseconds; twice its pause between watch calls and more. */
const APPLY_MS = 500

const folder = mkdtempSync(join(tmpdir(), 'odd-entries-'))
let agent: Agent
let fleet: SoakFleet
let instance: SoakInstance

beforeEach(async () => {
  agent = new Agent({ keepAlive: true })
  fleet = new SoakFleet({ folder, net: '78.2', instances: 1, ledger: new SoakLedger() })
  await fleet.start()
  const [first] = fleet.instances
  if (first === undefined) throw new Error('the fleet is empty')
  instance = first
  const startedMs = performance.now()
  while (performance.now() - startedMs < 10_000 && await get(fleet.callers(instance), '/checks/x') !== 200) await delay(50)
}, 20_000)

afterEach(async () => {
  agent.destroy()
  await fleet.stop()
})

afterAll(() => rmSync(folder, { recursive: true, force: true }))

const delay = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** Status of one request; null if it got no response. */
function get (address: string, path: string, headers: Record<string, string> = {}): Promise<number | null> {
  return new Promise((resolve) => {
    const call = request(`http://${address}${path}`, { agent, headers: { Host: 'soak.example', 'X-Request-Id': `q${Math.random()}`, 'X-Deadline-Ms': '2000', ...headers } }, (response) => {
      response.resume()
      response.on('end', () => resolve(response.statusCode ?? null))
      response.on('error', () => resolve(null))
    })
    call.on('error', () => resolve(null))
    call.end()
  })
}

/** Bytes of a server's entry; `odd` replaces the JSON text of fields. */
function entry (odd: Record<string, string>): Buffer {
  const fields = { Service: '"plain"', Address: '"127.78.2.200:7107"', Zone: '"a"', State: '"ready"', Slots: '16', Sequence: '1', born: '17', ...odd }
  return Buffer.from(`{${Object.entries(fields).map(([name, json]) => `${JSON.stringify(name)}:${json}`).join()}}`)
}

/** JSON text of a value that contains itself a hundred thousand times. */
function nested (open: string, close: string): string {
  return `${open.repeat(100_000)}1${close.repeat(100_000)}`
}

/** Entries of no usable server, by the id in their key. */
const oddEntries: Record<string, Buffer> = {
  'i-port-over': entry({ Address: '"127.78.2.100:70000"' }),
  'i-port-next': entry({ Address: '"127.78.2.100:65536"' }),
  'i-port-huge': entry({ Address: '"127.78.2.100:99999999999999999999"' }),
  'i-port-zero': entry({ Address: '"127.78.2.100:0"' }),
  'i-ip': entry({ Address: '"127.78.2.300:7107"' }),
  'i-address-long': entry({ Address: `"${'1'.repeat(70_000)}.0.0.1:7107"` }),
  'i-nested-known': entry({ Service: nested('{"a":', '}') }),
  'i-nested-arrays': Buffer.from(nested('[', ']')),
  'i-nested-objects': Buffer.from(nested('{"a":', '}')),
  'i-null': Buffer.from('null'),
  'i-text': Buffer.from('"text"'),
  'i-bytes': Buffer.from([0xff, 0xfe, 0x80, 0x00]),
  '': entry({}),
  'i-\r\nX-Odd: 1': entry({}),
  'i-\u2603': entry({})
}

describe('a gateway process', () => {
  // Guards against requests that are refused, and processes that end, because one entry names a server that no request can be sent to.
  test('serves every request beside entries of servers that no request can be sent to', async () => {
    const model = { 'X-Model': 'm', 'X-Token-Counts': '500,900', 'X-Length-Hint': '500' }
    const statuses: Array<number | null> = []
    for (const [id, bytes] of Object.entries(oddEntries)) {
      for (const stage of ['', 'prefill', 'decode']) {
        const text = bytes.toString('latin1')
        fleet.store.putBytes(serverKey(id), stage === '' ? bytes : Buffer.from(text.replace('"plain"', '"model"').replace(/\}$/, `,"Stage":"${stage}"}`), 'latin1'))
        await delay(APPLY_MS / 2)
        const [path, headers] = stage === '' ? ['/checks/x', {}] : ['/streams/x', model]
        statuses.push(...await Promise.all(Array.from({ length: 20 }, () => get(fleet.callers(instance), path, headers))))
        fleet.store.remove(serverKey(id))
      }
    }
    expect({ statuses: [...new Set(statuses)], exitCode: instance.process.exitCode }).toEqual({ statuses: [200], exitCode: null })
  }, 60_000)

  // Guards against a process that ends when a peer asks for its snapshot, because an entry names a member of the prototype of objects as its stage.
  test.each(['constructor', 'toString', '__proto__'])('goes on beside an entry with the stage "%s"', async (stage) => {
    fleet.store.putBytes(serverKey('i-odd'), entry({ Stage: JSON.stringify(stage) }))
    await delay(APPLY_MS)
    const statuses = [await get(`${instance.ip}:7104`, '/snapshot'), await get(`${instance.ip}:7105`, '/state'), await get(fleet.callers(instance), '/checks/x')]
    expect({ statuses, exitCode: instance.process.exitCode }).toEqual({ statuses: [200, 200, 200], exitCode: null })
  })
})
