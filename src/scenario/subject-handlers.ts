import { issueKey } from '../calls/key-issue.js'
import type { CallerModel } from '../model/caller-model.js'
import type { EntryModel } from '../model/entry-model.js'
import type { FleetModel } from '../model/fleet-model.js'

/** The fleet of a scenario and what its lines refer to. */
export interface Stage {
  fleet: FleetModel
  callers: CallerModel
  organisation: string
  /** Attempts by the name that a line gave them. */
  attempts: Map<string, { entry: EntryModel, attempt: string }>
  /** Issued keys by the name that a line gave them. */
  keys: Map<string, string>
}

/** Throws an Error whose message names the remedy if the words do not fit. */
export type LineHandler = (stage: Stage, subject: string, words: string[]) => void

/** Handlers by the line's verb. */
export const lineHandlers: Record<string, LineHandler> = {
  dies: (stage, subject) => {
    const engine = stage.fleet.engines.get(subject)
    if (engine !== undefined) engine.kill()
    else stage.fleet.kill(entryOf(stage, subject).self.id)
  },
  restarts: (stage, subject) => {
    const entry = entryOf(stage, subject)
    if (entry.alive) stage.fleet.kill(subject)
    stage.fleet.startEntry(subject, Number(subject.split('-')[1] ?? 0))
  },
  pauses: (stage, subject, [seconds]) => stage.fleet.pause(entryOf(stage, subject).self.id, numberOf(seconds) * 1000),
  drains: (stage, subject) => stage.fleet.drain(entryOf(stage, subject).self.id),
  leaves: (stage, subject) => {
    const attempt = stage.attempts.get(subject)
    if (attempt !== undefined) stage.callers.leave(attempt.entry, attempt.attempt)
    else stage.fleet.leave(serverOf(stage, subject))
  },
  slows: (stage, subject, [factor]) => {
    const engine = stage.fleet.engines.get(subject)
    const service = stage.fleet.services.get(subject)
    if (engine !== undefined) engine.slowness = numberOf(factor)
    else if (service !== undefined) service.slowness = numberOf(factor)
    else throw new Error(`there is no server ${subject}; use engine-0 to engine-5 or service-0 to service-2`)
  },
  stalls: (stage, subject, [seconds]) => {
    const engine = stage.fleet.engines.get(serverOf(stage, subject))
    if (engine === undefined) throw new Error('only engines have transfers; use engine-0 to engine-5')
    engine.transferStallMs = numberOf(seconds) * 1000
  },
  requests: (stage, subject, [name = '', via = '', at = '', tokens = '2000']) => {
    if (via !== 'at') throw new Error('write: NAME requests SHEET at ENTRY [TOKENS]')
    const entry = entryOf(stage, at)
    const attempt = stage.callers.request(entry, { organisation: stage.organisation, subject: name, pieces: [], promptTokens: numberOf(tokens), maxTokens: 10, stream: false })
    stage.attempts.set(subject, { entry, attempt })
  },
  'takes-key': (stage, subject, [from, at = '']) => {
    if (from !== 'from') throw new Error('write: KEY takes-key from ENTRY')
    stage.keys.set(subject, issueKey(entryOf(stage, at).board, stage.organisation, stage.fleet.clock.nowMs))
  },
  orders: (stage, subject, [body = '', using, key = '', via, at = '']) => {
    if (using !== 'with' || via !== 'at') throw new Error('write: NAME orders BODY with KEY at ENTRY')
    const entry = entryOf(stage, at)
    const attempt = stage.callers.call(entry, { organisation: stage.organisation, route: 'order', key: stage.keys.get(key) ?? key, body })
    stage.attempts.set(subject, { entry, attempt })
  },
  asks: (stage, subject, [what, via, at = '']) => {
    if (what !== 'stock' || via !== 'at') throw new Error('write: NAME asks stock at ENTRY')
    const entry = entryOf(stage, at)
    stage.attempts.set(subject, { entry, attempt: stage.callers.call(entry, { organisation: stage.organisation, route: 'stock', key: null, body: '' }) })
  },
  goes: (stage, subject, [state]) => {
    if (subject !== 'key-value' || (state !== 'down' && state !== 'up')) throw new Error('write: key-value goes down, or key-value goes up')
    stage.fleet.setKeyValueDown(state === 'down')
  },
  delays: (stage, _subject, [ms]) => stage.fleet.degrade({ delayMs: numberOf(ms) }),
  'loses-replies': (stage, _subject, [percent]) => stage.fleet.degrade({ lostReplies: numberOf(percent) / 100 }),
  loses: (stage, _subject, [percent]) => stage.fleet.degrade({ loss: numberOf(percent) / 100 }),
  'cuts-off': (stage, subject, [other = '']) => stage.fleet.cut(domainOf(stage, subject), domainOf(stage, other)),
  reaches: (stage, subject, [other = '']) => stage.fleet.heal(domainOf(stage, subject), domainOf(stage, other)),
  accepts: (stage, subject, [what]) => {
    if (subject !== 'operator' || what !== 'bundle') throw new Error('write: operator accepts bundle')
    stage.fleet.acceptBundle(stage.fleet.options.bundle)
  }
}

function entryOf (stage: Stage, id: string): EntryModel {
  const entry = stage.fleet.entries.get(id)
  if (entry === undefined) throw new Error(`there is no instance ${id}; use entry-0 to entry-${stage.fleet.options.entries - 1}`)
  return entry
}

function serverOf (stage: Stage, id: string): string {
  if (stage.fleet.engines.has(id) || stage.fleet.services.has(id)) return id
  throw new Error(`there is no server ${id}; use engine-0 to engine-5 or service-0 to service-2`)
}

function domainOf (stage: Stage, name: string): string {
  if (stage.fleet.options.failureDomains.includes(name)) return name
  throw new Error(`there is no failure domain ${name}; use one of ${stage.fleet.options.failureDomains.join(', ')}`)
}

function numberOf (word: string | undefined): number {
  const value = Number(word)
  if (word === undefined || !Number.isFinite(value)) throw new Error(`'${word ?? ''}' is not a number; write a plain number such as 2.5`)
  return value
}
