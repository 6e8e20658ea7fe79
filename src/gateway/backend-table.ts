import { type BackendServer, ServerState, incarnationOf, RunnerRole } from './backend.js'
import { type DepartedServer, DepartedServers } from './departed-servers.js'

/** Time that servers whose entries disappeared around an outage of the store have to register again, in milliseconds; the platform promises that they do within about two seconds. */
export const REREGISTRATION_GRACE_MS = 2000

/** Time after the start of an era for which the listing of a server that had gone before does not make it usable, in milliseconds: the platform removes the entry of a dead server after three check-in intervals of silence, of 1.2 s each. */
export const RESTORED_ENTRY_DOUBT_MS = 5000

/** Time for which a server still takes requests after it has said that it leaves, unless stated, in milliseconds. */
const DEFAULT_DRAIN_MS = 2000

/** Share of the drain time for which a missing server is used like any other. It may have left, and other instances may have learned of that earlier. */
const MISSING_USE_SHARE = 0.5

/** Share of the drain time for which a missing server is used if its service has no other one. */
const LAST_RESORT_SHARE = 0.75

/** A ready server whose entry has disappeared around an outage of the store. */
export interface MissingServer {
  id: string
  /** Time since its entry disappeared, in milliseconds. */
  ageMs: number
}

interface BackendEntry {
  backend: BackendServer
  /** When the entry disappeared around an outage of the store, in milliseconds; null while the entry exists. */
  missingSinceMs: number | null
  /** Whether it is missing only because a copy of the store, from which a new era began, did not have it. */
  missingFromCopy?: boolean
}

/** How this instance learned of a change of a server. */
export enum ServerSource {
  /** A change of the store. */
  Watch = 'watch',
  /** A listing of the store. */
  Listing = 'listing',
  /** The snapshot of a peer. */
  Snapshot = 'snapshot',
  /** Its entry has been missing for too long. */
  Expiry = 'expiry'
}

/** Why a server should get no new requests. */
export enum Staleness {
  Leaving = 'leaving',
  /** It has said so in an answer; its entry is still ready. */
  SaidLeaving = 'said-leaving',
  /** Its entry has disappeared around an outage of the store. */
  Missing = 'missing',
  Removed = 'removed',
  Restarted = 'restarted'
}

export interface BackendChange {
  kind: 'added' | 'changed-role' | 'leaving' | 'missing' | 'removed' | 'restarted' | 'unconfirmed'
  backend: BackendServer
  source: ServerSource
}

interface BackendTableOptions {
  nowMs: () => number
  /** Time for which a server still takes requests after it has said that it leaves, in milliseconds. */
  drainMs?: () => number
  /** Whether the server has said in an answer that it leaves. */
  hasSaidLeaving?: (backend: BackendServer) => boolean
  /** Called for each change of the table. */
  onChange?: (change: BackendChange) => void
}

/** The backend servers and whether they may get new requests. */
export class BackendTable {
  readonly #entries = new Map<string, BackendEntry>()
  readonly #departed: DepartedServers
  /** Servers that the copy of the store lists although they had gone before; they are not used until they write their entries or RESTORED_ENTRY_DOUBT_MS has passed. */
  readonly #unconfirmed = new Map<string, BackendServer>()
  /** Runners that the copy of the store lists with another role than they were known to have; it counts if they have not written their entries after RESTORED_ENTRY_DOUBT_MS. */
  readonly #doubtfulRoles = new Map<string, BackendServer>()
  readonly #options: BackendTableOptions & Required<Pick<BackendTableOptions, 'drainMs' | 'hasSaidLeaving'>>
  /** Number of changes so far; the same number means the same servers. */
  changeCount = 0
  /** Time until which a missing entry may be caused by an outage of the store, in milliseconds. */
  #graceUntilMs = -Infinity
  /** When the store was first seen in its present era, in milliseconds. */
  #eraStartedMs = -Infinity

  constructor (options: BackendTableOptions) {
    this.#options = { drainMs: () => DEFAULT_DRAIN_MS, hasSaidLeaving: () => false, ...options }
    this.#departed = new DepartedServers(options)
  }

  /** Called when the store can't be reached or has just become reachable: ready servers whose entries disappear within REREGISTRATION_GRACE_MS from now are kept, because they may register again. */
  startReregistrationGrace (): void {
    this.#graceUntilMs = this.#options.nowMs() + REREGISTRATION_GRACE_MS
  }

  /** Time left in which servers whose entries disappear are kept, in milliseconds; negative if it is over. */
  get graceLeftMs (): number {
    return this.#graceUntilMs - this.#options.nowMs()
  }

  /** Keeps servers whose entries disappear within this time from now, in milliseconds. */
  extendGrace (leftMs: number): void {
    this.#graceUntilMs = Math.max(this.#graceUntilMs, this.#options.nowMs() + leftMs)
  }

  /** Called before the servers of a new era of the store are applied: a server that registered after the copy was made is not among them and registers again. */
  startEra (): void {
    this.#eraStartedMs = this.#options.nowMs()
    this.startReregistrationGrace()
  }

  /** Applies a complete list of the servers and removes those that are not in it. */
  replaceAll (backends: BackendServer[]): void {
    const listed = this.#putConfirmed(backends, ServerSource.Listing)
    for (const id of [...this.#entries.keys()]) if (!listed.has(id)) this.remove(id, ServerSource.Listing)
  }

  /** Applies the snapshot of a peer. What the peer does not list is gone, or missing if the era is new and the peer does not know that it went; what it misses is not known to be back. */
  replaceBySnapshot (present: BackendServer[], missing: MissingServer[], departed: DepartedServer[] = []): void {
    const nowMs = this.#options.nowMs()
    this.#departed.merge(departed)
    const known = this.#putConfirmed(present, ServerSource.Snapshot)
    for (const { id } of missing) known.add(id)
    for (const { id, ageMs } of missing) this.#markMissing(id, nowMs - ageMs, ServerSource.Snapshot)
    const isNewEra = nowMs - this.#eraStartedMs < REREGISTRATION_GRACE_MS
    const goneStarts = new Map(departed.map(({ id, startedAtMs }) => [id, startedAtMs]))
    for (const [id, { backend }] of this.#entries) {
      if (known.has(id)) continue
      const isGone = (goneStarts.get(id) ?? -Infinity) >= backend.startedAtMs
      if (isNewEra && !isGone) this.#markMissing(id, nowMs, ServerSource.Snapshot, { fromCopy: true })
      else this.#delete(backend, ServerSource.Snapshot)
    }
  }

  /** Puts the servers of a listing or snapshot, and returns the ids of all but those that it may only have from the copy of the store. */
  #putConfirmed (backends: BackendServer[], source: ServerSource): Set<string> {
    const unconfirmedBefore = new Set(this.#unconfirmed.keys())
    // A peer does not name the servers that it doubts itself, so their absence from its snapshot says nothing of them.
    if (source === ServerSource.Listing) this.#unconfirmed.clear()
    const confirmed = new Set<string>()
    for (const backend of backends) {
      if (this.#isDoubtful(backend)) {
        this.#unconfirmed.set(backend.id, backend)
        if (!unconfirmedBefore.has(backend.id)) this.#notify('unconfirmed', backend, source)
      } else {
        confirmed.add(backend.id)
        this.#putListed(backend, source)
      }
    }
    return confirmed
  }

  /** Puts a listed server; one that the copy of the store lists with another role keeps the role that it was known to have. */
  #putListed (listed: BackendServer, source: ServerSource): void {
    const known = this.#entries.get(listed.id)
    const keepsRole = source === ServerSource.Listing && this.#isInDoubt() && known?.missingSinceMs === null && incarnationOf(known.backend) === incarnationOf(listed) && known.backend.stage !== listed.stage
    this.put(keepsRole ? { ...listed, stage: known.backend.stage } : listed, source)
    if (keepsRole) this.#doubtfulRoles.set(listed.id, listed)
  }

  /** Whether the present era is so new that entries may still be those of the copy. */
  #isInDoubt (): boolean {
    return this.#options.nowMs() - this.#eraStartedMs < RESTORED_ENTRY_DOUBT_MS
  }

  /** Whether the server had gone before the present era, or had restarted since, and its entry may only be from the copy of the store. */
  #isDoubtful (backend: BackendServer): boolean {
    if (!this.#isInDoubt()) return false
    const known = this.#entries.get(backend.id)
    if (known === undefined) return this.#departed.hadGoneBefore(backend, this.#eraStartedMs)
    const hadGone = known.missingSinceMs !== null && known.missingSinceMs < this.#eraStartedMs && known.missingFromCopy !== true
    return backend.startedAtMs < known.backend.startedAtMs || (hadGone && backend.startedAtMs === known.backend.startedAtMs)
  }

  put (listed: BackendServer, source = ServerSource.Watch): void {
    this.changeCount += 1
    const previous = this.#entries.get(listed.id)
    const backend = this.#withFinalState(listed)
    this.#unconfirmed.delete(backend.id)
    this.#doubtfulRoles.delete(backend.id)
    this.#departed.forget(backend.id)
    this.#entries.set(backend.id, { backend, missingSinceMs: null })
    if (previous === undefined) return this.#notify('added', backend, source)
    if (incarnationOf(previous.backend) !== incarnationOf(backend)) return this.#notify('restarted', backend, source)
    if (previous.backend.stage !== backend.stage) this.#notify('changed-role', backend, source)
    if (previous.backend.state === ServerState.Ready && backend.state === ServerState.Leaving) this.#notify('leaving', backend, source)
  }

  /** Leaving is final for an incarnation: an entry that says otherwise is older, for instance from the copy that the store has returned from. */
  #withFinalState (backend: BackendServer): BackendServer {
    const known = this.#entries.get(backend.id)?.backend
    const isLeaving = known === undefined ? this.#departed.hadSaidToLeave(backend) : known.state === ServerState.Leaving && incarnationOf(known) === incarnationOf(backend)
    return isLeaving ? { ...backend, state: ServerState.Leaving } : backend
  }

  /** Removes a server whose entry was deleted. Around an outage of the store, a ready server is kept until expire() removes it. */
  remove (id: string, source = ServerSource.Watch): void {
    if (source === ServerSource.Watch) this.#unconfirmed.delete(id)
    const entry = this.#entries.get(id)
    if (entry === undefined) return
    const nowMs = this.#options.nowMs()
    if (nowMs < this.#graceUntilMs) this.#markMissing(id, nowMs, source, { fromCopy: source === ServerSource.Listing && nowMs - this.#eraStartedMs < REREGISTRATION_GRACE_MS })
    else this.#delete(entry.backend, source)
  }

  /** Removes a server at once, also around an outage of the store. */
  discard (id: string): void {
    this.#unconfirmed.delete(id)
    const entry = this.#entries.get(id)
    if (entry !== undefined) this.#delete(entry.backend, ServerSource.Watch)
  }

  /** Marks a ready server as missing since `sinceMs`, or earlier if it already is; removes a leaving one. */
  #markMissing (id: string, sinceMs: number, source: ServerSource, { fromCopy = false } = {}): void {
    const entry = this.#entries.get(id)
    if (entry === undefined) return
    if (entry.backend.state !== ServerState.Ready) return this.#delete(entry.backend, source)
    const wasPresent = entry.missingSinceMs === null
    entry.missingSinceMs = Math.min(sinceMs, entry.missingSinceMs ?? Infinity)
    entry.missingFromCopy = fromCopy && (wasPresent || entry.missingFromCopy === true)
    if (wasPresent) this.#notify('missing', entry.backend, source)
  }

  #delete (backend: BackendServer, source: ServerSource): void {
    this.#doubtfulRoles.delete(backend.id)
    this.#departed.record(backend, this.#entries.get(backend.id)?.missingSinceMs ?? this.#options.nowMs())
    this.#entries.delete(backend.id)
    this.#notify('removed', backend, source)
  }

  /** Removes the servers that have not registered again in time; a further outage of the store does not prolong that time. Uses the unconfirmed servers whose entries the store still has after RESTORED_ENTRY_DOUBT_MS. */
  expire (): void {
    this.#departed.expire()
    this.#acceptUnconfirmed()
    for (const entry of this.#entries.values()) if (this.#missingMs(entry) >= REREGISTRATION_GRACE_MS) this.#delete(entry.backend, ServerSource.Expiry)
  }

  #acceptUnconfirmed (): void {
    const nowMs = this.#options.nowMs()
    // Around an outage, this instance would not learn that an entry has been removed.
    if (nowMs - this.#eraStartedMs < RESTORED_ENTRY_DOUBT_MS || nowMs < this.#graceUntilMs) return
    for (const backend of [...this.#unconfirmed.values()]) if (!this.#entries.has(backend.id)) this.put(backend, ServerSource.Listing)
    this.#unconfirmed.clear()
    for (const backend of [...this.#doubtfulRoles.values()]) this.put(backend, ServerSource.Listing)
    this.#doubtfulRoles.clear()
  }

  get (id: string): BackendServer | undefined {
    return this.#entries.get(id)?.backend
  }

  all (): BackendServer[] {
    return [...this.#entries.values()].map(({ backend }) => backend)
  }

  /** The servers whose entries exist. */
  present (): BackendServer[] {
    return [...this.#entries.values()].filter(({ missingSinceMs }) => missingSinceMs === null).map(({ backend }) => backend)
  }

  missing (): MissingServer[] {
    const nowMs = this.#options.nowMs()
    return [...this.#entries.values()].flatMap(({ backend: { id }, missingSinceMs }) => missingSinceMs === null ? [] : [{ id, ageMs: nowMs - missingSinceMs }])
  }

  /** Servers that have gone within the last minute or so. */
  departed (): DepartedServer[] {
    return this.#departed.all()
  }

  /** Servers of a service that may get new requests. */
  ready (service: string, stage: RunnerRole = RunnerRole.None): BackendServer[] {
    const candidates = [...this.#entries.values()].filter(({ backend }) => backend.service === service && backend.stage === stage && backend.state === ServerState.Ready && !this.#options.hasSaidLeaving(backend))
    const drainMs = this.#options.drainMs()
    const usable = candidates.filter((entry) => this.#missingMs(entry) < MISSING_USE_SHARE * drainMs)
    const chosen = usable.length > 0 ? usable : candidates.filter((entry) => this.#missingMs(entry) < LAST_RESORT_SHARE * drainMs)
    return chosen.map(({ backend }) => backend)
  }

  /** Whether this incarnation of the server may still get new requests. */
  accepts (backend: BackendServer): boolean {
    const entry = this.#entries.get(backend.id)
    if (entry === undefined || entry.backend.state !== ServerState.Ready || incarnationOf(entry.backend) !== incarnationOf(backend)) return false
    if (this.#options.hasSaidLeaving(backend)) return false
    return this.#missingMs(entry) < LAST_RESORT_SHARE * this.#options.drainMs()
  }

  /** Why a server should not get new requests; null if its entry exists and is ready. */
  staleness (backend: BackendServer): Staleness | null {
    const entry = this.#entries.get(backend.id)
    if (entry === undefined) return Staleness.Removed
    if (incarnationOf(entry.backend) !== incarnationOf(backend)) return Staleness.Restarted
    if (entry.backend.state === ServerState.Leaving) return Staleness.Leaving
    if (this.#options.hasSaidLeaving(backend)) return Staleness.SaidLeaving
    return entry.missingSinceMs === null ? null : Staleness.Missing
  }

  /** Time since the entry disappeared, in milliseconds; -Infinity while it exists. */
  #missingMs ({ missingSinceMs }: BackendEntry): number {
    return missingSinceMs === null ? -Infinity : this.#options.nowMs() - missingSinceMs
  }

  #notify (kind: BackendChange['kind'], backend: BackendServer, source: ServerSource): void {
    this.changeCount += 1
    this.#options.onChange?.({ kind, backend, source })
  }
}
