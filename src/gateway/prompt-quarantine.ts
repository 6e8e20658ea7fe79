import type { Log } from '../logs/log.js'

/** Crashes after which a part is quarantined with which no request is known to have started successfully. */
const CRASHES_TO_QUARANTINE = 2

/** The same for a part with which a request started successfully shortly before the first crash; more, since runners also crash for other reasons while they serve a popular part. */
const CRASHES_TO_QUARANTINE_RECENTLY_SUCCESSFUL = 4

/** Time for which a successful start counts as recent, and for which a crash is remembered, in milliseconds. */
const MEMORY_MS = 30_000

/** Duration of the first quarantine of a part, in milliseconds. */
const FIRST_QUARANTINE_MS = 30_000

/** Factor by which each further quarantine of the same part is longer. */
const QUARANTINE_GROWTH = 3

/** Longest quarantine, in milliseconds. */
const MAX_QUARANTINE_MS = 600_000

/** Time after a quarantine for which one crash renews it, in milliseconds. */
const PROBATION_MS = 600_000

/** Largest number of suspected or quarantined parts; the one whose last crash is oldest is dropped first. */
const MAX_SUSPECTS = 128

/** Largest number of parts whose last successful start is remembered. */
const MAX_SUCCESSFUL_PARTS = 2048

/** Longest id of a part that is tracked, in characters. */
const MAX_PART_LENGTH = 64

/** Largest number of parts of one prompt that are tracked; the last ones, as they are shared by fewest prompts. */
const MAX_PARTS = 16

/** Largest number of suspects that instances tell each other about. */
const MAX_REPORTS = 16

/** Longest request id in a report, in characters; longer ids are cut. */
const MAX_REPORTED_ID_LENGTH = 32

/** A crash of a runner, as evidence against a part of the prompt that it had begun to answer. */
interface CrashEvidence {
  /** Id of the request that the runner had begun. */
  request: string
  /** When the request was sent to the runner, in milliseconds. */
  sentMs: number
  /** When the crash was observed, in milliseconds. */
  observedMs: number
}

interface Suspect {
  part: string
  service: string
  /** Number of parts before it in the prompt; parts that come later are shared by fewer prompts. */
  position: number
  /** Crashes since the last successful start, oldest first; each of another request, which was sent after the crash before had been observed. */
  crashes: CrashEvidence[]
  /** When the newest request that started successfully with this part was sent, in milliseconds; -Infinity if there is none. */
  successMs: number
  /** Whether a request started successfully with this part shortly before its first crash. */
  recentlySuccessful: boolean
  /** When a stream of the same service without this part last made progress, in milliseconds. */
  controlMs: number
  /** End of the quarantine, in milliseconds; -Infinity if there was none. */
  quarantinedUntilMs: number
  /** Number of quarantines so far. */
  quarantines: number
}

/** What an instance tells others about one suspect; times are ages, as the clocks of instances differ. */
export interface SuspectReport {
  part: string
  service: string
  position: number
  crashes: Array<{ request: string, sentAgeMs: number, observedAgeMs: number }>
  /** Age of the newest successful start; null if there is none. */
  successAgeMs: number | null
  recentlySuccessful: boolean
  /** Time left of the quarantine, negative if it has ended; null if there was none. */
  quarantineLeftMs: number | null
  quarantines: number
}

/** A request whose runner crashed as it began to answer, or which started successfully. */
export interface PromptStart {
  request: string
  service: string
  /** Ids of the parts that the prompt shares with others. */
  parts: string[]
  /** When the request was sent to the decode runner, in milliseconds. */
  sentMs: number
}

interface PromptQuarantineOptions {
  nowMs: () => number
  log: Log
  /** Called when there is something new to tell the other instances. */
  onChange?: () => void
}

/**
 * Finds parts of prompts that crash each runner that begins to answer them, and keeps requests with such a part from the runners.
 * A part is quarantined if runners crash with it one after the other, no request with it starts successfully in between, and streams without it make progress.
 */
export class PromptQuarantine {
  readonly #options: PromptQuarantineOptions
  readonly #suspects = new Map<string, Suspect>()
  /** By part, when the newest request that started successfully was sent, in milliseconds; the least recent part first. */
  readonly #successfulParts = new Map<string, number>()

  constructor (options: PromptQuarantineOptions) {
    this.#options = options
  }

  /** Number of quarantined parts. */
  get size (): number {
    const nowMs = this.#options.nowMs()
    return [...this.#suspects.values()].filter(({ quarantinedUntilMs }) => quarantinedUntilMs > nowMs).length
  }

  /** Number of parts that are remembered as suspected or quarantined. */
  get suspectCount (): number {
    return this.#suspects.size
  }

  /** The quarantined part of a prompt and the time left of its quarantine, in milliseconds; null if no part is quarantined. */
  find (parts: string[]): { part: string, leftMs: number } | null {
    if (this.#suspects.size === 0) return null
    const nowMs = this.#options.nowMs()
    for (const part of parts) {
      const leftMs = (this.#suspects.get(part)?.quarantinedUntilMs ?? -Infinity) - nowMs
      if (leftMs > 0) return { part, leftMs }
    }
    return null
  }

  /** Records that a runner crashed as it began to answer a request. */
  recordCrash ({ request, service, parts: sharedParts, sentMs }: PromptStart): void {
    const observedMs = this.#options.nowMs()
    const parts = trackedParts(sharedParts)
    // A quarantined part explains the crash, so it is no evidence against the other parts.
    if (parts.length === 0 || this.find(parts) !== null) return
    for (const [position, part] of parts.entries()) this.#addCrash(this.#suspectOf(part, service, position), { request: request.slice(0, MAX_REPORTED_ID_LENGTH), sentMs, observedMs })
    this.#options.log.warn('prompt.suspected', { request, service, parts: parts.join(), crashes: parts.map((part) => this.#suspects.get(part)?.crashes.length ?? 0).join() })
    this.#options.onChange?.()
    this.#evict()
    this.#evaluate()
  }

  /** Records that a request started successfully, which clears its parts of crashes of requests sent before it. */
  recordSuccess ({ service, parts, sentMs }: PromptStart): void {
    for (const part of trackedParts(parts)) this.#rememberSuccess(part, sentMs)
    if (this.#suspects.size === 0) return
    for (const part of parts) {
      const suspect = this.#suspects.get(part)
      if (suspect !== undefined && this.#clear(suspect, sentMs)) this.#options.onChange?.()
    }
    this.recordProgress({ service, parts })
  }

  /** Records progress of a stream after its start: the service works, at least for prompts without the suspected parts. */
  recordProgress ({ service, parts }: Pick<PromptStart, 'service' | 'parts'>): void {
    if (this.#suspects.size === 0) return
    const nowMs = this.#options.nowMs()
    let evaluates = false
    for (const suspect of this.#suspects.values()) {
      const first = suspect.crashes[0]
      if (first === undefined || suspect.service !== service || parts.includes(suspect.part)) continue
      evaluates ||= suspect.controlMs <= first.observedMs
      suspect.controlMs = nowMs
    }
    if (evaluates) this.#evaluate()
  }

  /** The newest suspects that are quarantined or still suspected, for instances that may have missed earlier reports. */
  activeReports (): SuspectReport[] {
    return this.reports().filter(({ crashes, quarantineLeftMs }) => crashes.length > 0 || quarantineLeftMs !== null)
  }

  /** The newest suspects, for the other instances. */
  reports (): SuspectReport[] {
    this.#evict()
    const nowMs = this.#options.nowMs()
    return [...this.#suspects.values()].sort((a, b) => lastChangeMs(b) - lastChangeMs(a)).slice(0, MAX_REPORTS).map((suspect) => ({
      part: suspect.part,
      service: suspect.service,
      position: suspect.position,
      crashes: suspect.crashes.map(({ request, sentMs, observedMs }) => ({ request, sentAgeMs: Math.round(nowMs - sentMs), observedAgeMs: Math.round(nowMs - observedMs) })),
      successAgeMs: suspect.successMs === -Infinity ? null : Math.round(nowMs - suspect.successMs),
      recentlySuccessful: suspect.recentlySuccessful,
      quarantineLeftMs: suspect.quarantinedUntilMs === -Infinity ? null : Math.round(suspect.quarantinedUntilMs - nowMs),
      quarantines: suspect.quarantines
    }))
  }

  /** Merges what another instance told; `from` is its address. */
  merge (from: string, reports: SuspectReport[]): void {
    const nowMs = this.#options.nowMs()
    for (const report of reports) {
      const suspect = this.#suspectOf(report.part, report.service, report.position)
      suspect.recentlySuccessful ||= report.recentlySuccessful
      if (report.successAgeMs !== null) this.#clear(suspect, nowMs - report.successAgeMs)
      for (const { request, sentAgeMs, observedAgeMs } of report.crashes) this.#addCrash(suspect, { request, sentMs: nowMs - sentAgeMs, observedMs: nowMs - observedAgeMs })
      this.#mergeQuarantine(from, suspect, report)
    }
    this.#evict()
    this.#evaluate()
  }

  #mergeQuarantine (from: string, suspect: Suspect, { quarantineLeftMs, quarantines, crashes }: SuspectReport): void {
    if (quarantineLeftMs === null || quarantines <= suspect.quarantines) return
    const nowMs = this.#options.nowMs()
    const untilMs = nowMs + quarantineLeftMs
    const lastCrashSentMs = crashes.length === 0 ? untilMs : nowMs - Math.min(...crashes.map(({ sentAgeMs }) => sentAgeMs))
    // The other instance has not heard yet of a request that started successfully after the crashes.
    if (suspect.successMs > lastCrashSentMs) return
    suspect.quarantines = quarantines
    suspect.quarantinedUntilMs = untilMs
    this.#dropExplainedCrashes(suspect)
    if (quarantineLeftMs > 0) this.#options.log.warn('prompt.quarantined', { part: suspect.part, service: suspect.service, from, forMs: quarantineLeftMs, quarantines, requests: crashes.map(({ request }) => request).join() })
  }

  #suspectOf (part: string, service: string, position: number): Suspect {
    const existing = this.#suspects.get(part)
    if (existing !== undefined) return existing
    const successMs = this.#successfulParts.get(part) ?? -Infinity
    const suspect: Suspect = {
      part,
      service,
      position,
      crashes: [],
      successMs,
      recentlySuccessful: successMs > this.#options.nowMs() - MEMORY_MS,
      controlMs: -Infinity,
      quarantinedUntilMs: -Infinity,
      quarantines: 0
    }
    this.#suspects.set(part, suspect)
    return suspect
  }

  /** Adds a crash unless it is known, the part has been cleared since, or a quarantined part explains it. Of several runners that fail together, one counts. */
  #addCrash (suspect: Suspect, crash: CrashEvidence): void {
    if (crash.sentMs <= suspect.successMs || suspect.crashes.some(({ request }) => request === crash.request) || this.#isExplained(suspect, crash)) return
    const crashes = [...suspect.crashes, crash].sort((a, b) => a.observedMs - b.observedMs)
    suspect.crashes = crashes.filter(({ sentMs }, index) => index === 0 || sentMs >= (crashes[index - 1]?.observedMs ?? 0)).slice(-CRASHES_TO_QUARANTINE_RECENTLY_SUCCESSFUL)
  }

  #isExplained (suspect: Suspect, { request }: CrashEvidence): boolean {
    const nowMs = this.#options.nowMs()
    for (const other of this.#suspects.values()) {
      if (other !== suspect && other.quarantinedUntilMs > nowMs && other.crashes.some((crash) => crash.request === request)) return true
    }
    return false
  }

  /** Clears a suspect of the crashes of requests sent before one that started successfully; returns whether that changed anything but the time. */
  #clear (suspect: Suspect, successMs: number): boolean {
    if (successMs <= suspect.successMs) return false
    suspect.successMs = successMs
    const remaining = suspect.crashes.filter(({ sentMs }) => sentMs > successMs)
    const cleared = remaining.length < suspect.crashes.length
    suspect.crashes = remaining
    suspect.recentlySuccessful ||= cleared
    if (remaining.length > 0 || suspect.quarantines === 0) return cleared
    this.#options.log.info('prompt.cleared', { part: suspect.part, service: suspect.service, quarantines: suspect.quarantines })
    suspect.quarantines = 0
    suspect.quarantinedUntilMs = -Infinity
    return true
  }

  #evaluate (): void {
    const nowMs = this.#options.nowMs()
    // The part whose last successful start is oldest first, then the one shared by fewest prompts: its quarantine explains the crashes of the others.
    const suspects = [...this.#suspects.values()].sort((a, b) => compareTimes(a.successMs, b.successMs) || b.position - a.position)
    for (const suspect of suspects) if (suspect.quarantinedUntilMs <= nowMs && meetsCrashThreshold(suspect, nowMs)) this.#quarantine(suspect)
  }

  #quarantine (suspect: Suspect): void {
    const nowMs = this.#options.nowMs()
    const forMs = Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * QUARANTINE_GROWTH ** suspect.quarantines)
    this.#options.log.warn('prompt.quarantined', { part: suspect.part, service: suspect.service, from: 'own', forMs, quarantines: suspect.quarantines + 1, requests: suspect.crashes.map(({ request }) => request).join() })
    suspect.quarantines += 1
    suspect.quarantinedUntilMs = nowMs + forMs
    this.#dropExplainedCrashes(suspect)
    this.#options.onChange?.()
  }

  /** Drops the crashes that a quarantined part explains from the other parts of the same prompts. */
  #dropExplainedCrashes (quarantined: Suspect): void {
    const explained = new Set(quarantined.crashes.map(({ request }) => request))
    for (const suspect of this.#suspects.values()) if (suspect !== quarantined) suspect.crashes = suspect.crashes.filter(({ request }) => !explained.has(request))
  }

  #rememberSuccess (part: string, sentMs: number): void {
    const previousMs = this.#successfulParts.get(part) ?? -Infinity
    this.#successfulParts.delete(part)
    this.#successfulParts.set(part, Math.max(previousMs, sentMs))
    if (this.#successfulParts.size <= MAX_SUCCESSFUL_PARTS) return
    const [leastRecent] = this.#successfulParts.keys()
    if (leastRecent !== undefined) this.#successfulParts.delete(leastRecent)
  }

  #evict (): void {
    const nowMs = this.#options.nowMs()
    for (const [part, suspect] of this.#suspects) {
      suspect.crashes = suspect.crashes.filter(({ observedMs }) => nowMs - observedMs < MEMORY_MS || suspect.quarantinedUntilMs > nowMs)
      const retainedUntilMs = Math.max(suspect.quarantinedUntilMs + PROBATION_MS, suspect.successMs + MEMORY_MS)
      if (suspect.crashes.length === 0 && retainedUntilMs < nowMs) this.#suspects.delete(part)
    }
    if (this.#suspects.size <= MAX_SUSPECTS) return
    const oldest = [...this.#suspects.values()].sort((a, b) => lastChangeMs(a) - lastChangeMs(b)).slice(0, this.#suspects.size - MAX_SUSPECTS)
    for (const { part } of oldest) this.#suspects.delete(part)
  }
}

function trackedParts (parts: string[]): string[] {
  return parts.filter(({ length }) => length <= MAX_PART_LENGTH).slice(-MAX_PARTS)
}

function lastChangeMs ({ crashes, successMs, quarantinedUntilMs }: Suspect): number {
  return Math.max(crashes.at(-1)?.observedMs ?? -Infinity, successMs, quarantinedUntilMs)
}

function compareTimes (aMs: number, bMs: number): number {
  return aMs === bMs ? 0 : aMs - bMs
}

function meetsCrashThreshold ({ crashes, recentlySuccessful, controlMs, quarantines, quarantinedUntilMs }: Suspect, nowMs: number): boolean {
  const recent = crashes.filter(({ observedMs }) => nowMs - observedMs < MEMORY_MS && observedMs > quarantinedUntilMs)
  const [first] = recent
  if (first === undefined) return false
  if (quarantines > 0) return true
  // Without progress of other streams of the service, it may be failing as a whole.
  return controlMs > first.observedMs && recent.length >= (recentlySuccessful ? CRASHES_TO_QUARANTINE_RECENTLY_SUCCESSFUL : CRASHES_TO_QUARANTINE)
}
