import fc from 'fast-check'
import meow from 'meow'
import { controllers } from '../core/controllers.js'
import { arbitrarySchedule, type Schedule } from './arbitrary-schedule.js'
import { runSchedule } from './run-schedule.js'
import { shrinkOperations } from './shrink-schedule.js'
import type { Guarantee, Violation } from './violation.js'

const cli = meow(`
  Usage
    $ npm run histories -- --runs N --seed S [--first K] [--shrink-seconds T]

  Runs N generated schedules and judges each history. --first K starts at schedule K of the seed.
  For each guarantee that was broken, the first schedule is shrunk for at most T seconds and printed.
`, {
  importMeta: import.meta,
  flags: {
    runs: { type: 'number', default: 100 },
    seed: { type: 'number', default: 1 },
    first: { type: 'number', default: 0 },
    shrinkSeconds: { type: 'number', default: 20 }
  }
})

function violationsOf (schedule: Schedule): Violation[] {
  return runSchedule({ ...schedule, controllers }).violations
}

function report (schedule: Schedule, number: number, guarantee: Guarantee): void {
  const fails = (operations: Schedule['operations']): boolean => violationsOf({ ...schedule, operations }).some((violation) => violation.guarantee === guarantee)
  const operations = shrinkOperations(schedule.operations, fails, shrinkSeconds * 1000)
  process.stdout.write(`${guarantee}: schedule ${number} (seed ${schedule.seed}, deployment ${schedule.deployment}), shrunk from ${schedule.operations.length} to ${operations.length} operations:\n`)
  for (const operation of operations) process.stdout.write(`  ${JSON.stringify(operation)}\n`)
  for (const violation of violationsOf({ ...schedule, operations })) process.stdout.write(`  ${violation.guarantee} at ${Math.round(violation.atMs)}: ${violation.detail}\n`)
}

const { runs, seed, first, shrinkSeconds } = cli.flags
const schedules = fc.sample(arbitrarySchedule(), { numRuns: first + runs, seed }).slice(first)
const byGuarantee: Partial<Record<Guarantee, number>> = {}
let violations = 0
for (const [index, schedule] of schedules.entries()) {
  const found = violationsOf(schedule)
  if (found.length > 0) violations += 1
  for (const guarantee of new Set(found.map((violation) => violation.guarantee))) {
    byGuarantee[guarantee] = (byGuarantee[guarantee] ?? 0) + 1
    if (byGuarantee[guarantee] === 1) report(schedule, first + index, guarantee)
  }
}
process.stdout.write(`${JSON.stringify({ runs, seed, violations, byGuarantee, ok: violations === 0 })}\n`)
process.exitCode = violations === 0 ? 0 : 1
