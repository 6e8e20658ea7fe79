#!/usr/bin/env node
import meow from 'meow'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { regressionSeeds } from './regression-seeds.js'
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
    --regressions  play the seeds that failed once instead
`, {
  importMeta: import.meta,
  flags: {
    seeds: { type: 'number', default: 1 },
    seed: { type: 'number', default: 1 },
    seconds: { type: 'number', default: 12 },
    instances: { type: 'number', default: 5 },
    callers: { type: 'number', default: 12 },
    regressions: { type: 'boolean', default: false }
  }
})

const fresh = Array.from({ length: cli.flags.seeds }, (_, index) => ({ seed: cli.flags.seed + index, seconds: cli.flags.seconds }))
const plays = cli.flags.regressions ? regressionSeeds : fresh
let failed = 0
for (const { seed, seconds } of plays) {
  const folder = join(tmpdir(), `daisybarrow-soak-${process.pid}-${seed}`)
  const outcome = await runSoak({ seed, folder, faultsMs: seconds * 1000, instances: cli.flags.instances, callers: cli.flags.callers })
  process.stdout.write(`seed=${seed} calls=${outcome.calls} good=${outcome.good} faults=${outcome.faults.join(',')} disturbances=${outcome.disturbances.join(',')} peakMb=${Math.round(outcome.peakMb)} violations=${outcome.violations.length} logs=${folder}\n`)
  for (const violation of outcome.violations) process.stdout.write(`  ${violation}\n`)
  if (outcome.violations.length > 0) failed += 1
}
process.stdout.write(`${plays.length - failed} passed, ${failed} failed\n`)
process.exit(failed === 0 ? 0 : 1)
