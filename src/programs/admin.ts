#!/usr/bin/env node
import meow from 'meow'
import { startAdmin } from '../admin/start-admin.js'
import { adminSettingsSchema } from '../settings/admin-settings.js'
import { formatFaults, loadSettings } from '../settings/load-settings.js'

const cli = meow(`
  Usage
    $ daisybarrow-admin --settings FILE

  Options
    --settings  JSON settings file
`, {
  importMeta: import.meta,
  flags: { settings: { type: 'string', isRequired: true } }
})

const settings = loadSettings(cli.flags.settings, adminSettingsSchema)
if (settings.err) {
  process.stderr.write(`${formatFaults(settings.val)}\n`)
  process.exit(2)
}
const server = await startAdmin(settings.val)
const stop = (): void => { server.close(() => process.exit(0)) }
process.on('SIGTERM', stop)
process.on('SIGINT', stop)
