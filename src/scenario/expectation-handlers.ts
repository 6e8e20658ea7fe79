import { refusalDescriptions } from '../errors/refusal.js'
import { checkHistory } from '../history/checker.js'
import { type HistoryRecord, RecordKind } from '../model/history.js'
import type { Stage } from './subject-handlers.js'

/** Returns what was found if the expectation is not met, else null. */
type ExpectationHandler = (stage: Stage, words: string[]) => string | null

/** Handlers by the word after `expect`. */
export const expectationHandlers: Record<string, ExpectationHandler> = {
  answered: (stage, names) => firstFault(names, (name) => answersOf(stage, name).length === 1 ? null : `${name} got ${answersOf(stage, name).length} answers, ${refusalsOf(stage, name).join(' ') || 'no refusal'}`),
  refused: (stage, [name = '', ...kinds]) => refusalsOf(stage, name).some((kind) => kinds.length === 0 || kinds.includes(kind)) ? null : `${name} was refused as ${refusalsOf(stage, name).join(' ') || 'nothing'}, answered ${answersOf(stage, name).length} times`,
  'not-refused-as': (stage, [name = '', refusalClass]) => {
    const found = refusalsOf(stage, name).find((kind) => refusalDescriptions[kind as keyof typeof refusalDescriptions].class === refusalClass)
    return found === undefined ? null : `${name} was refused as ${found}`
  },
  ran: (stage, [body, times]) => {
    const runs = stage.fleet.history.of(RecordKind.ServiceRan).filter((record) => record.body === body).length
    return String(runs) === times ? null : `${body} ran ${runs} times`
  },
  held: (stage, [pieces]) => {
    const held = [...stage.fleet.engines.values()].reduce((sum, engine) => sum + (engine.alive ? engine.heldPieces : 0), 0)
    return String(held) === pieces ? null : `${held} pieces are held`
  },
  version: (stage, [version]) => {
    const found = [...stage.fleet.entries.values()].filter((entry) => entry.alive).map((entry) => `${entry.self.id}=${entry.board.bundle?.version ?? 0}`)
    return found.every((text) => text.endsWith(`=${version}`)) ? null : found.join(' ')
  },
  exited: (stage, [entry]) => {
    const exited = stage.fleet.history.of(RecordKind.EntryExited).some((record) => record.entry?.startsWith(`${entry}/`))
    return exited ? null : `${entry} has not exited`
  },
  violations: (stage, [count]) => {
    const violations = checkHistory(stage.fleet.history.records)
    return String(violations.length) === count ? null : violations.map(({ guarantee, detail }) => `${guarantee}: ${detail}`).join('; ')
  }
}

function recordsOf (stage: Stage, name: string, kinds: RecordKind[]): HistoryRecord[] {
  const attempt = stage.attempts.get(name)?.attempt
  return stage.fleet.history.records.filter((record) => record.attempt === attempt && kinds.includes(record.kind))
}

function answersOf (stage: Stage, name: string): HistoryRecord[] {
  return recordsOf(stage, name, [RecordKind.RequestAnswered, RecordKind.CallAnswered])
}

function refusalsOf (stage: Stage, name: string): string[] {
  return recordsOf(stage, name, [RecordKind.RequestRefused, RecordKind.CallRefused]).map((record) => record.refusal ?? '')
}

function firstFault (names: string[], check: (name: string) => string | null): string | null {
  for (const name of names) {
    const fault = check(name)
    if (fault !== null) return fault
  }
  return null
}
