import { readFileSync } from 'node:fs'
import meow from 'meow'
import { controllers } from '../core/controllers.js'
import { runScenario } from './run-scenario.js'
import { ScenarioFault } from './scenario-fault.js'

const cli = meow(`
  Usage
    $ npm run scenario -- FILE...
`, { importMeta: import.meta })

if (cli.input.length === 0) cli.showHelp(2)

let failed = 0
for (const file of cli.input) {
  try {
    const failures = runScenario(readFileSync(file, 'utf8'), controllers)
    failed += failures.length
    process.stdout.write(`${file}: ${failures.length === 0 ? 'ok' : 'failed'}\n`)
    for (const { line, text, found } of failures) process.stdout.write(`  line ${line}: ${text}: ${found}\n`)
  } catch (error) {
    if (!(error instanceof ScenarioFault)) throw error
    process.stderr.write(`${file}: ${error.message}\n`)
    process.exit(2)
  }
}
process.stdout.write(`${JSON.stringify({ files: cli.input.length, failed, ok: failed === 0 })}\n`)
process.exitCode = failed === 0 ? 0 : 1
