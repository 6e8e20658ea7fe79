#!/usr/bin/env node
import meow from 'meow'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { runSoak } from './run-soak.js'

const cli = meow(`
  Usage
    $ npm run soak -- --seeds N --seed S

  Options
    --seeds      number of seeds to play (1)
    --seed       first seed (1)
    --seconds    time of faults for each seed (12)
    --instances  gateway processes (5)
    --callers    callers at once (12)
`, {
  importMeta: import.meta,
  flags: {
    seeds: { type: 'number', default: 1 },
    seed: { type: 'number', default: 1 },
    seconds: { type: 'number', default: 12 },
    instances: { type: 'number', default: 5 },
    callers: { type: 'number', default: 12 }
  }
})

let failed = 0
for (let seed = cli.flags.seed; seed < cli.flags.seed + cli.flags.seeds; seed += 1) {
  const folder = join(tmpdir(), `daisybarrow-soak-${process.pid}-${seed}`)
  const outcome = await runSoak({ seed, folder, faultsMs: cli.flags.seconds * 1000, instances: cli.flags.instances, callers: cli.flags.callers })
  process.stdout.write(`seed=${seed} calls=${outcome.calls} good=${outcome.good} faults=${outcome.faults.join(',')} violations=${outcome.violations.length} logs=${folder}\n`)
  for (const violation of outcome.violations) process.stdout.write(`  ${violation}\n`)
  if (outcome.violations.length > 0) failed += 1
}
process.stdout.write(`${cli.flags.seeds - failed} passed, ${failed} failed\n`)
process.exit(failed === 0 ? 0 : 1)
