import type { Controller } from '../core/controller.js'
import { deployments } from '../demo/deployment.js'
import { WARM_UP_MS } from '../history/run-schedule.js'
import { CallerModel } from '../model/caller-model.js'
import { FleetModel } from '../model/fleet-model.js'
import { RecordKind } from '../model/history.js'
import { expectationHandlers } from './expectation-handlers.js'
import { ScenarioFault } from './scenario-fault.js'
import { lineHandlers, type Stage } from './subject-handlers.js'

/** An expectation that was not met. */
export interface Failure {
  line: number
  text: string
  found: string
}

interface Line {
  number: number
  text: string
  words: string[]
}

/** Runs the text of a scenario on the fleet model and returns the expectations that were not met. */
export function runScenario (text: string, controllers: Controller[]): Failure[] {
  const lines = splitLines(text)
  const [first, ...rest] = lines
  const stage = createStage(first, controllers)
  stage.fleet.run(WARM_UP_MS)
  const failures: Failure[] = []
  let atMs = 0
  for (const line of rest) {
    const [word = '', ...words] = line.words
    if (word === 'expect') {
      const failure = expect(stage, line, words)
      if (failure !== null) failures.push(failure)
      continue
    }
    atMs = timeOf(line, word, atMs)
    stage.fleet.run(WARM_UP_MS + atMs)
    act(stage, line, words)
  }
  return failures
}

function splitLines (text: string): Line[] {
  return text.split('\n')
    .map((raw, index) => ({ number: index + 1, text: raw.replace(/#.*$/, '').trim() }))
    .filter((line) => line.text !== '')
    .map((line) => ({ ...line, words: line.text.split(/\s+/) }))
}

function createStage (line: Line | undefined, controllers: Controller[]): Stage {
  const [word, name, seedWord, seed] = line?.words ?? []
  const deployment = deployments(0).find((found) => found.name === name)
  if (line === undefined || word !== 'fleet' || deployment === undefined || seedWord !== 'seed' || !/^\d+$/.test(seed ?? '')) {
    const names = deployments(0).map((found) => found.name).join(' or ')
    throw new ScenarioFault(line?.number ?? 1, `found '${line?.text ?? ''}'`, `Begin with: fleet NAME seed N, where NAME is ${names}.`)
  }
  const { bundle, failureDomains, region, modelService, plainService, organisation } = deployment
  const fleet = new FleetModel({ seed: Number(seed), controllers, bundle, failureDomains, region, model: modelService, plainService })
  return { fleet, callers: new CallerModel(fleet), organisation, attempts: new Map(), keys: new Map() }
}

function timeOf (line: Line, word: string, beforeMs: number): number {
  const atMs = Number(word) * 1000
  if (!Number.isFinite(atMs)) throw new ScenarioFault(line.number, `'${word}' is not a time`, 'Begin the line with seconds, or with expect.')
  if (atMs < beforeMs) throw new ScenarioFault(line.number, `${word} is before the line above`, 'Put the lines in the order of time.')
  return atMs
}

function act (stage: Stage, line: Line, words: string[]): void {
  const [subject = '', verb = '', ...rest] = words
  // `SECONDS ends` lets time pass and marks the end of the run for the checker.
  if (subject === 'ends') {
    stage.fleet.history.add(RecordKind.RunEnded)
    return
  }
  const handler = lineHandlers[verb]
  if (handler === undefined) throw new ScenarioFault(line.number, `unknown verb '${verb}'`, `Use one of ${Object.keys(lineHandlers).join(', ')}.`)
  try {
    handler(stage, subject, rest)
  } catch (error) {
    throw new ScenarioFault(line.number, `found '${line.text}'`, `${error instanceof Error ? error.message : String(error)}.`)
  }
}

function expect (stage: Stage, line: Line, words: string[]): Failure | null {
  const [what = '', ...rest] = words
  const handler = expectationHandlers[what]
  if (handler === undefined) throw new ScenarioFault(line.number, `unknown expectation '${what}'`, `Use one of ${Object.keys(expectationHandlers).join(', ')}.`)
  const found = handler(stage, rest)
  return found === null ? null : { line: line.number, text: line.text, found }
}
