import meow from 'meow'
import { measurements } from './measurements.js'

const cli = meow(`
  Usage
    $ npm run measure -- NAME [--seed N]
    $ npm run measure -- --list
`, {
  importMeta: import.meta,
  flags: {
    list: { type: 'boolean', default: false },
    seed: { type: 'number', default: 1 }
  }
})

if (cli.flags.list) {
  for (const { name, summary } of measurements) process.stdout.write(`${name.padEnd(20)} ${summary}\n`)
  process.exit(0)
}
const measurement = measurements.find(({ name }) => name === cli.input[0])
if (measurement === undefined) {
  process.stderr.write(`unknown measurement ${cli.input[0] ?? '(none)'}; see --list\n`)
  process.exit(2)
}
const { rows, figures, ok } = await measurement.run({ seed: cli.flags.seed })
console.table(rows)
process.stdout.write(`${JSON.stringify({ name: measurement.name, seed: cli.flags.seed, ...figures, ok })}\n`)
process.exitCode = ok ? 0 : 1
