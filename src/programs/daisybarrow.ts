#!/usr/bin/env node
import { randomUUID } from 'node:crypto'
import meow from 'meow'
import { EtcdKeyValue } from '../adapters/etcd-key-value.js'
import { bundleCommands } from '../admin/bundle-commands.js'
import { BundleOperations } from '../admin/bundle-operations.js'
import { type Command, ExitCode, UsageError } from '../admin/command.js'
import { fleetCommands } from '../admin/fleet-commands.js'
import { logCommands } from '../admin/log-commands.js'
import { formatFaults, loadSettings } from '../settings/load-settings.js'
import { type OperatorSettings, operatorSettingsSchema } from '../settings/operator-settings.js'

const cli = meow(`
  Usage
    $ daisybarrow bundle check FILE
    $ daisybarrow bundle propose FILE --parent N --author NAME [--note TEXT]
    $ daisybarrow bundle sign PROPOSAL --key FILE --key-id ID
    $ daisybarrow bundle rollback VERSION --author NAME [--note TEXT]
    $ daisybarrow bundle status | history [--limit N] | sweep
    $ daisybarrow bundle show [VERSION | PROPOSAL]
    $ daisybarrow bundle diff FROM TO
    $ daisybarrow bundle keygen --key-id ID --out FILE
    $ daisybarrow status [--operators HOST:PORT ...]
    $ daisybarrow state --operators HOST:PORT
    $ daisybarrow explain REQUEST-ID LOG-FILE...

  Options
    --settings   JSON settings file: keyValueUrl, trustedKeys, operators, instanceListUrl
    --json       Print JSON

  Exit codes
    0 done                         5 unknown proposal, version or part
    1 an instance is behind or     6 key unknown or revoked, or wrong signature
      can't be reached             7 nothing changed: key-value service unavailable
    2 wrong command line           8 outcome unknown: repeat the command
    3 faults in the bundle         4 conflict: another version was accepted
`, {
  importMeta: import.meta,
  flags: {
    settings: { type: 'string', default: 'daisybarrow.json' },
    json: { type: 'boolean', default: false },
    parent: { type: 'number' },
    author: { type: 'string' },
    note: { type: 'string' },
    key: { type: 'string' },
    keyId: { type: 'string' },
    out: { type: 'string' },
    limit: { type: 'number', default: 20 },
    operators: { type: 'string', isMultiple: true }
  }
})

function settings (): OperatorSettings {
  const loaded = loadSettings(cli.flags.settings, operatorSettingsSchema)
  if (loaded.err) throw new UsageError(formatFaults(loaded.val))
  return loaded.val
}

let created: BundleOperations | null = null

function operations (): BundleOperations {
  const { keyValueUrl, trustedKeys } = settings()
  created ??= new BundleOperations({ keyValue: new EtcdKeyValue({ baseUrl: keyValueUrl }), trustedKeys, nowMs: Date.now, nextId: randomUUID })
  return created
}

async function run (command: Command, input: string[]): Promise<void> {
  try {
    const { exitCode, value, text } = await command({ input, flags: cli.flags as Parameters<Command>[0]['flags'], settings, operations })
    const stream = exitCode === ExitCode.Done || exitCode === ExitCode.Incomplete || cli.flags.json ? process.stdout : process.stderr
    stream.write(`${cli.flags.json ? JSON.stringify(value) : text}\n`)
    process.exitCode = exitCode
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`)
    process.exitCode = error instanceof UsageError ? ExitCode.Usage : ExitCode.Incomplete
  }
}

const [group = '', ...words] = cli.input
const groups: Record<string, Record<string, Command>> = { bundle: bundleCommands }
const [command, input] = groups[group] === undefined
  ? [{ ...fleetCommands, ...logCommands }[group], words]
  : [groups[group][words[0] ?? ''], words.slice(1)]
if (command === undefined) cli.showHelp(ExitCode.Usage)
else await run(command, input)
