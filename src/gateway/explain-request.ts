import { type LogEvent, parseLine } from '../logs/parse-line.js'
import { GatewayRefusal } from './refusal.js'

/** Events of the servers and instances concerned that are shown before the request arrived, in milliseconds: a lost server is noticed seconds after it fell silent. */
const BEFORE_MS = 10_000

/** The same after it ended, in milliseconds. */
const AFTER_MS = 5000

/** What each refusal means and where to look next. */
const refusalMeanings: Record<GatewayRefusal, string> = {
  [GatewayRefusal.NoConfiguration]: 'The instance had not received a configuration yet; the request did not run.',
  [GatewayRefusal.UnknownRoute]: 'The configuration in force has no route for this host and path.',
  [GatewayRefusal.Malformed]: 'The request could not be read.',
  [GatewayRefusal.BodyTooLarge]: 'The body is over the limit of the configuration.',
  [GatewayRefusal.NoServer]: 'No server was known, reachable and ready; the request did not run.',
  [GatewayRefusal.Overloaded]: 'No place came free in time; the request did not run. placement.refused says whether decode memory or prefill was short.',
  [GatewayRefusal.Rejected]: 'Servers stated that they did not run it, and no attempt or repeat was left.',
  [GatewayRefusal.Stopping]: 'The instance was about to end; the request did not run.',
  [GatewayRefusal.TimedOutBeforeRun]: 'Its time was over before it was sent to a server.',
  [GatewayRefusal.OutcomeUnknown]: 'A send broke after the request was written: it may have run, and it may not be repeated.',
  [GatewayRefusal.TimedOut]: 'Its time was over while a server may have been at work on it.'
}

/** The same for all endings, as request.ended names them. */
const meanings: Record<string, string> = {
  ...refusalMeanings,
  answered: 'A server\'s own answer was passed on, also one that says that the server failed.',
  left: 'The caller left before the end of its answer.'
}

export interface RequestExplanation {
  id: string
  /** Null if no line tells the end of the request. */
  ending: string | null
  meaning: string
  /** Lines of the request and of the servers and instances that it depended on, in order. */
  lines: string[]
}

/** Collects what the lines of all instances tell about one request. */
export function explainRequest (id: string, lines: Iterable<string>): RequestExplanation {
  const events = [...lines].map(parseLine).filter((event) => event !== null)
  const own = events.filter(({ fields }) => fields.request === id)
  const end = own.find(({ event }) => event === 'request.ended' || event === 'request.refused')
  const ending = end?.fields.ending ?? end?.fields.refusal ?? null
  const around = own.length === 0 ? [] : events.filter((event) => concerns(event, own))
  const shown = [...own, ...around].sort((a, b) => a.timeMs - b.timeMs).map(({ line }) => line.trim())
  return { id, ending, meaning: meaningOf(own, ending), lines: shown }
}

function meaningOf (own: LogEvent[], ending: string | null): string {
  if (own.length === 0) return 'No line names this request: it reached no instance, or its lines were dropped (log.dropped) or are kept elsewhere.'
  if (ending === null) return 'No line tells how it ended: its instance stopped or was killed first.'
  return meanings[ending.replace(/^aborted: /, '')] ?? 'See the field of this name in the page on operations.'
}

/** Whether an event of a server, keeper or instance may have decided what became of the request. */
function concerns ({ event, fields, timeMs }: LogEvent, own: LogEvent[]): boolean {
  if (fields.request !== undefined) return false
  const first = own[0]?.timeMs ?? 0
  const last = own.at(-1)?.timeMs ?? 0
  if (timeMs < first - BEFORE_MS || timeMs > last + AFTER_MS) return false
  const servers = new Set(own.flatMap(({ fields: known }) => [known.server, known.decode, known.prefill, ...(known.sentTo ?? '').split(',')]))
  if (fields.server !== undefined) return servers.has(fields.server) && own.some(({ fields: known }) => known.instance === fields.instance)
  return /^(instance|store|keeper|configuration|settings)\./.test(event) && own.some(({ fields: known }) => known.instance === fields.instance)
}
