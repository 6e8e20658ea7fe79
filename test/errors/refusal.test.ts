import { readFileSync } from 'node:fs'
import { expect, test } from '@jest/globals'
import { refusalDescriptions } from '../../src/errors/refusal.js'

test('guards against outdated documentation: docs/callers.md lists each refusal kind with its status, class and remedy', () => {
  const page = readFileSync(new URL('../../docs/callers.md', import.meta.url), 'utf8')
  const rows = Object.entries(refusalDescriptions).map(([kind, { status, class: refusalClass, remedy }]) => `| \`${kind}\` | ${status} | \`${refusalClass}\` | ${remedy} |`)
  expect(rows.filter((row) => !page.includes(row))).toEqual([])
})
