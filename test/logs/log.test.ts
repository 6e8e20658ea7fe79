import { expect, test } from '@jest/globals'
import { createLog, formatLine } from '../../src/logs/log.js'

test('a value with spaces or quotes stays one value of its key', () => {
  expect(formatLine('info', 'started', { id: 'a b', port: 80, note: 'say "x"' }, 0)).toMatchSnapshot()
})

test('events below the configured level are not written', () => {
  const lines: string[] = []
  const log = createLog({ level: 'warn', write: (line) => lines.push(line) })
  log.info('hidden')
  log.warn('shown', { n: 1 })
  expect(lines).toHaveLength(1)
  expect(lines[0]).toContain('event=shown n=1')
})
