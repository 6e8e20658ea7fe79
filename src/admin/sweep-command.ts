import { EtcdKeyValue } from '../adapters/etcd-key-value.js'
import { type CommandContext, type CommandOutcome, done, refused } from './command.js'
import { sweepParts } from './sweep.js'

/** Removes unused parts now, as the administration API does by itself. */
export async function sweepCommand ({ settings }: CommandContext): Promise<CommandOutcome> {
  const swept = await sweepParts({ keyValue: new EtcdKeyValue({ baseUrl: settings().keyValueUrl }), nowMs: Date.now() })
  if (swept.err) return refused(swept.val)
  const { used, unused, removed } = swept.val
  return done(swept.val, `${used} parts in use, ${unused} unused, ${removed} removed`)
}
