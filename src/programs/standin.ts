#!/usr/bin/env node
import meow from 'meow'
import * as z from 'zod'
import { formatFaults, loadSettings } from '../settings/load-settings.js'
import { Engine } from '../standin/engine.js'
import { engineOptionsSchema } from '../standin/engine-options.js'
import { InstanceList } from '../standin/instance-list.js'
import { createJsonServer, type JsonHandlers, listen } from '../standin/json-server.js'
import { KeyValueStandin } from '../standin/key-value-service.js'
import { PlainService } from '../standin/plain-service.js'
import { WeightStore } from '../standin/weight-store.js'

const address = { host: z.string().default('127.0.0.1'), port: z.int() }

const standinSchema = z.strictObject({
  engines: z.array(engineOptionsSchema).default([]),
  services: z.array(z.strictObject({ ...address, id: z.string(), delayMs: z.number().default(20) })).default([]),
  keyValue: z.strictObject(address).optional(),
  weightStore: z.strictObject({ ...address, bytesPerSecond: z.number().positive(), modelBytes: z.number().positive() }).optional(),
  instanceList: z.strictObject({
    ...address,
    lagMs: z.number().default(1000),
    targets: z.array(z.strictObject({ targets: z.array(z.string()), labels: z.record(z.string(), z.string()) })).default([])
  }).optional()
})

const cli = meow(`
  Usage
    $ daisybarrow-standin --settings FILE

  Runs the stand-ins named in the settings: engines, services, keyValue, weightStore, instanceList.
`, {
  importMeta: import.meta,
  flags: { settings: { type: 'string', isRequired: true } }
})

async function serve (handlers: JsonHandlers, { host, port }: { host: string, port: number }): Promise<void> {
  await listen(createJsonServer(handlers), host, port)
}

const settings = loadSettings(cli.flags.settings, standinSchema)
if (settings.err) {
  process.stderr.write(`${formatFaults(settings.val)}\n`)
  process.exit(2)
}
const { engines, services, keyValue, weightStore, instanceList } = settings.val
for (const engine of engines) await serve(new Engine(engine).handlers, engine)
for (const service of services) await serve(new PlainService(service).handlers, service)
if (keyValue !== undefined) await serve(new KeyValueStandin().handlers, keyValue)
if (weightStore !== undefined) await serve(new WeightStore(weightStore).handlers, weightStore)
if (instanceList !== undefined) await serve(new InstanceList(instanceList).handlers, instanceList)
process.stdout.write('ready\n')
