import type { RefusalKind } from '../errors/refusal.js'

/** Who saw what. Routers write nothing here: callers, backend servers, the key-value service and the operating system do. */
export enum RecordKind {
  RequestSent = 'request-sent',
  RequestAnswered = 'request-answered',
  RequestRefused = 'request-refused',
  ConnectionLost = 'connection-lost',
  CallerGone = 'caller-gone',
  CallSent = 'call-sent',
  CallAnswered = 'call-answered',
  CallRefused = 'call-refused',
  ServiceRan = 'service-ran',
  WorkHeld = 'work-held',
  WorkReleased = 'work-released',
  PrefillComputed = 'prefill-computed',
  PrefillWasted = 'prefill-wasted',
  ServerLeaving = 'server-leaving',
  ServerGone = 'server-gone',
  EntryKilled = 'entry-killed',
  EntryDrainAsked = 'entry-drain-asked',
  EntryExited = 'entry-exited',
  EntryPaused = 'entry-paused',
  EntryResumed = 'entry-resumed',
  NetworkCut = 'network-cut',
  NetworkHealed = 'network-healed',
  KeyValueDown = 'key-value-down',
  KeyValueUp = 'key-value-up',
  /** Message loss, or delays and lost replies of the key-value service, began or changed. */
  DegradedFrom = 'degraded-from',
  DegradedUntil = 'degraded-until',
  RunEnded = 'run-ended',
  BundleAccepted = 'bundle-accepted',
  BundleInForce = 'bundle-in-force'
}

/** One line of a history. Fields that do not apply are left out. */
export interface HistoryRecord {
  atMs: number
  kind: RecordKind
  /** The caller's own number of its request or call; sending again makes a new one. */
  attempt?: string
  /** The caller's identity of the request: the prompt, or organisation and key. */
  subject?: string
  entry?: string
  server?: string
  work?: string
  tokens?: string[]
  expectedTokens?: string[]
  body?: string
  firstTokenMs?: number
  refusal?: RefusalKind
  count?: number
  version?: number
}

/** Record of a run, in the order of time. */
export class History {
  readonly records: HistoryRecord[] = []
  readonly #nowMs: () => number

  constructor (options: { nowMs: () => number }) {
    this.#nowMs = options.nowMs
  }

  add (kind: RecordKind, fields: Omit<HistoryRecord, 'atMs' | 'kind'> = {}): void {
    this.records.push({ atMs: this.#nowMs(), kind, ...fields })
  }

  of (kind: RecordKind): HistoryRecord[] {
    return this.records.filter((record) => record.kind === kind)
  }
}
