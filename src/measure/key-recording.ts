import * as z from 'zod'
import { EtcdKeyValue } from '../adapters/etcd-key-value.js'
import { callJson } from '../adapters/http-call.js'
import { ClaimResult, KeyRecorder } from '../adapters/key-recorder.js'
import { createJsonServer, listen } from '../standin/json-server.js'
import { KeyValueStandin } from '../standin/key-value-service.js'
import type { Measurement } from './measurement.js'

const CONCURRENCIES = [1, 10, 100, 1000]

/** One instance alone, and one of the nine that share the service's rate of writes today. */
const FLEET_SIZES = [1, 9]

const RUN_MS = 3000

/** The platform's key-value service answers in milliseconds. */
const SERVICE_DELAY_MS = 3

const recordSchema = z.object({ writes: z.number() })

interface Row extends Record<string, number> {
  instances: number
  concurrent: number
  keysPerSecond: number
  writesPerSecond: number
  keysPerWrite: number
}

async function measureAt (instances: number, concurrent: number, url: string): Promise<Row> {
  const keyValue = new EtcdKeyValue({ baseUrl: url })
  const recorder = new KeyRecorder({ self: { id: 'measure', incarnation: 'measure' }, keyValue, instances: () => instances })
  const before = await writesOf(url)
  const startedMs = performance.now()
  let recorded = 0
  await Promise.all(Array.from({ length: concurrent }, async (_, caller) => {
    for (let number = 0; performance.now() - startedMs < RUN_MS; number += 1) {
      const id = `${instances}-${concurrent}-${caller}-${number}`
      const claimed = await recorder.claim({ organisation: 'measure', key: id, bodyHash: 'b'.repeat(64), nonce: id, abandoned: [] })
      if (claimed.result === ClaimResult.Recorded) recorded += 1
    }
  }))
  const seconds = (performance.now() - startedMs) / 1000
  const writes = await writesOf(url) - before
  return { instances, concurrent, keysPerSecond: recorded / seconds, writesPerSecond: writes / seconds, keysPerWrite: recorded / writes }
}

async function writesOf (url: string): Promise<number> {
  const answer = await callJson({ url: `${url}/standin/record`, schema: recordSchema, timeoutMs: 2000 })
  return answer.unwrap().writes
}

/** How many callers' own keys group commit records, and how many writes that costs the key-value service. */
export const keyRecording: Measurement = {
  name: 'key-recording',
  summary: 'Group commit of callers\' own keys on the stand-in for the key-value service',
  run: async () => {
    const server = createJsonServer(new KeyValueStandin().handlers)
    const port = await listen(server, '127.0.0.1', 0)
    const url = `http://127.0.0.1:${port}`
    await callJson({ url: `${url}/standin/faults`, schema: z.unknown(), method: 'POST', body: { delayMs: SERVICE_DELAY_MS }, timeoutMs: 2000 })
    const rows: Row[] = []
    for (const instances of FLEET_SIZES) {
      for (const concurrent of CONCURRENCIES) rows.push(await measureAt(instances, concurrent, url))
    }
    server.closeAllConnections()
    server.close()
    const figures = Object.fromEntries(rows.map((row) => [`keysPerSecondOf${row.instances}At${row.concurrent}`, row.keysPerSecond]))
    return { rows, figures, ok: rows.every((row) => row.keysPerSecond > 0) }
  }
}
