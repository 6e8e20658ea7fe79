import { expect, test } from '@jest/globals'
import { entrySettingsSchema } from '../../src/settings/entry-settings.js'
import { checkSettings, formatFaults } from '../../src/settings/load-settings.js'

const valid = {
  id: 'entry-0',
  failureDomain: 'a',
  region: 'r',
  callers: { port: 1 },
  peers: { port: 2 },
  operators: { port: 3 },
  keyValueUrl: 'http://127.0.0.1:4',
  instanceListUrl: 'http://127.0.0.1:5/targets',
  trustedKeys: [{ id: 'k', publicKey: 'p' }]
}

test('defaults are used for settings that are left out', () => {
  expect(checkSettings(valid, entrySettingsSchema).unwrap()).toMatchSnapshot()
})

test('each error states its path, the value found and the remedy; unknown fields are errors', () => {
  const errors = checkSettings({ ...valid, callers: { port: 70000 }, region: undefined, regoin: 'r' }, entrySettingsSchema)
  expect(formatFaults(errors.err ? errors.val : [])).toMatchSnapshot()
})
