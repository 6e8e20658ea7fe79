import { type LogEvent, parseLine } from '../logs/parse-line.js'
import { GatewayRefusal } from './refusal.js'

/** Time before the first line of the request from which events of its servers and instances are shown, in milliseconds: the failure of a server is detected only seconds after it stopped answering. */
const CONTEXT_BEFORE_MS = 10_000

/** Time after the last line of the request up to which events of its servers and instances are shown, in milliseconds. */
const CONTEXT_AFTER_MS = 5000

/** What each refusal means and where to look next. */
const refusalMeanings: Record<GatewayRefusal, string> = {
  [GatewayRefusal.NoConfiguration]: 'The instance had not received a configuration yet; the request did not run.',
  [GatewayRefusal.UnknownRoute]: 'The active configuration has no route for this host and path.',
  [GatewayRefusal.Malformed]: 'The request could not be read.',
  [GatewayRefusal.UnknownKey]: 'It had no key, or one that no organisation of the active configuration holds; the request did not run.',
  [GatewayRefusal.KeyNotYetKnown]: 'Its key is not in the active configuration, and the instance knew that a newer one exists; the request did not run. See configuration.behind.',
  [GatewayRefusal.OverQuota]: 'Its organisation had used up its quota; the request did not run. quota.refused names its cost, the quota, the instance that decided and the time at which the organisation has units again.',
  [GatewayRefusal.QuotaUndecided]: 'No instance that keeps the quota of its organisation answered, and the share of this instance was used up; the request did not run. See quota.coordinator-changed.',
  [GatewayRefusal.BodyTooLarge]: 'The body is over the limit of the configuration.',
  [GatewayRefusal.TooManyFields]: 'The head of the request had more fields than a head within the configured limit can have; the request did not run.',
  [GatewayRefusal.NoServer]: 'No server was known, reachable and ready; the request did not run.',
  [GatewayRefusal.Overloaded]: 'No placement was possible in time; the request did not run. placement.refused says whether decode memory or prefill was short.',
  [GatewayRefusal.CrashingPrompt]: 'A part of its prompt is quarantined since runners crashed with it; the request did not run. prompt.quarantined names the part and the requests that led to it.',
  [GatewayRefusal.RateLimited]: 'All servers of the service limit their requests and have used up their limits; the request did not run. See send.limited and limit.named.',
  [GatewayRefusal.Paused]: 'All servers of the service have turned this instance away for a time; the request did not run. See send.paused and server.paused.',
  [GatewayRefusal.OutOfMemory]: 'The buffers of all requests of the instance exceeded their limit and this one had the largest; the request did not run. See buffers.exceeded.',
  [GatewayRefusal.Rejected]: 'Servers stated that they did not run it, and no attempt or retry was left.',
  [GatewayRefusal.Stopping]: 'The instance was shutting down; the request did not run.',
  [GatewayRefusal.TimedOutBeforeRun]: 'Its time limit passed before it was sent to a server.',
  [GatewayRefusal.OutcomeUnknown]: 'A send failed after the request was written: it may have run, and must not be retried.',
  [GatewayRefusal.TimedOut]: 'Its time limit passed while a server may have been working on it.'
}

/** What each ending in request.ended means; the prefix of `aborted: REASON` is removed before the look-up. */
const endingMeanings: Record<string, string> = {
  ...refusalMeanings,
  answered: 'The answer of a server was passed on, even if it reports an error of the server.',
  left: 'The caller disconnected before the end of its answer.'
}

export interface RequestExplanation {
  id: string
  /** Ending or refusal of the request; null if no line shows it. */
  ending: string | null
  meaning: string
  /** Log lines of the request and of the servers and instances that it used, ordered by time. */
  lines: string[]
}

/** Collects the log lines of all instances that explain one request. */
export function explainRequest (id: string, lines: Iterable<string>): RequestExplanation {
  const events = [...lines].map(parseLine).filter((event) => event !== null)
  const requestEvents = events.filter(({ fields }) => fields.request === id)
  const end = requestEvents.find(({ event }) => event === 'request.ended' || event === 'request.refused')
  const ending = end?.fields.ending ?? end?.fields.refusal ?? null
  const context = requestEvents.length === 0 ? [] : events.filter((event) => mayExplain(event, requestEvents))
  const shown = [...requestEvents, ...context].sort((a, b) => a.timeMs - b.timeMs).map(({ line }) => line.trim())
  return { id, ending, meaning: meaningOf(requestEvents, ending), lines: shown }
}

function meaningOf (requestEvents: LogEvent[], ending: string | null): string {
  if (requestEvents.length === 0) return 'No line names this request: it reached no instance, or its lines were dropped (log.dropped) or are kept elsewhere.'
  if (ending === null) return 'No line shows how it ended: its instance stopped or was killed first.'
  return endingMeanings[ending.replace(/^aborted: /, '')] ?? 'This ending has no explanation here; see the page on operations.'
}

/** Whether an event of a server, coordinator or instance may explain the outcome of the request. */
function mayExplain ({ event, fields, timeMs }: LogEvent, requestEvents: LogEvent[]): boolean {
  if (fields.request !== undefined) return false
  const first = requestEvents[0]?.timeMs ?? 0
  const last = requestEvents.at(-1)?.timeMs ?? 0
  if (timeMs < first - CONTEXT_BEFORE_MS || timeMs > last + CONTEXT_AFTER_MS) return false
  const servers = new Set(requestEvents.flatMap(({ fields: requestFields }) => [requestFields.server, requestFields.decode, requestFields.prefill, ...(requestFields.sentTo ?? '').split(',')]))
  if (fields.server !== undefined) return servers.has(fields.server) && requestEvents.some(({ fields: requestFields }) => requestFields.instance === fields.instance)
  return /^(instance|store|keeper|configuration|settings|prompt)\./.test(event) && requestEvents.some(({ fields: requestFields }) => requestFields.instance === fields.instance)
}
