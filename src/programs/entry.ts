#!/usr/bin/env node
import meow from 'meow'
import { formatFaults, loadSettings } from '../settings/load-settings.js'
import { entrySettingsSchema } from '../settings/entry-settings.js'
import { startEntry } from './start-entry.js'

const cli = meow(`
  Usage
    $ daisybarrow-entry --settings FILE

  Options
    --settings  JSON settings file
`, {
  importMeta: import.meta,
  flags: { settings: { type: 'string', isRequired: true } }
})

const settings = loadSettings(cli.flags.settings, entrySettingsSchema)
if (settings.err) {
  process.stderr.write(`${formatFaults(settings.val)}\n`)
  process.exit(2)
}
await startEntry(settings.val, () => process.exit(0))
