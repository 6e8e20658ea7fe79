// Writes docs/settings.md from the settings schemas: npm run build && node scripts/write-settings.mjs
import { writeFileSync } from 'node:fs'
import { settingsReference } from '../dist/settings/settings-reference.js'

writeFileSync(new URL('../docs/settings.md', import.meta.url), settingsReference())
