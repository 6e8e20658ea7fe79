import { type HeldStream, StreamStage } from '../reservations/reservation-event.js'
import type { LoadReport } from '../board/backend-server.js'
import { StageFailure } from '../requests/request-event.js'
import { type History, RecordKind } from './history.js'
import type { VirtualClock } from './virtual-clock.js'

export interface EngineModelOptions {
  id: string
  clock: VirtualClock
  history: History
  totalPieces: number
  pieceTokens: number
  prefillTokensPerSecond: number
  /** Time of one decode step with one stream, and the addition for each further stream. */
  tokenMs: number
  tokenMsPerStream: number
  evictionMs: number
  kvBytesPerToken: number
  linkBytesPerSecond: number
  cachePieces: number
  reportLagMs: number
}

export const engineModelDefaults = {
  totalPieces: 120,
  pieceTokens: 1000,
  prefillTokensPerSecond: 20000,
  tokenMs: 18,
  tokenMsPerStream: 0.3,
  evictionMs: 800,
  kvBytesPerToken: 131072,
  linkBytesPerSecond: 12.5e9,
  cachePieces: 200,
  reportLagMs: 300
}

interface Work extends HeldStream {
  subject: string
  promptTokens: number
  computedTokens: number
  maxTokens: number
  generated: number
  priority: number
  cancelled: boolean
  exporting: boolean
  finished: boolean
  onToken: ((index: number) => void) | null
  onEnd: ((failure: StageFailure | null) => void) | null
}

export interface PrefillResult {
  handle: string
  computedTokens: number
  cachedTokens: number
  expiresMs: number
}

interface PrefillOrder {
  work: string
  owner: string
  incarnation: string
  subject: string
  pieces: string[]
  promptTokens: number
  priority: number
}

interface QueuedPrefill {
  order: PrefillOrder
  work: Work
  reply: (result: PrefillResult | StageFailure) => void
}

/**
 * Model of one runner: memory in pieces, a prefill queue by priority, a link that carries one transfer at a time,
 * decode steps that slow down with the batch, eviction of unclaimed results. It leaves out preemption, chunked prefill,
 * adapters, memory fragmentation and the limits of links between failure domains.
 */
export class EngineModel {
  readonly options: EngineModelOptions
  readonly #works = new Map<string, Work>()
  readonly #cache = new Map<string, true>()
  readonly #queue: QueuedPrefill[] = []
  readonly #tombstones = new Set<string>()
  readonly cacheLog: Array<{ sequence: number, piece: string, added: boolean }> = []
  #cacheSequence = 0
  #prefilling = false
  #stepping = false
  #linkFreeMs = 0
  #report: LoadReport
  alive = true
  leaving = false
  /** Factor on all times; above 1 the runner is slow but alive. */
  slowness = 1
  /** Addition to each transfer that starts now. */
  transferStallMs = 0

  constructor (options: EngineModelOptions) {
    this.options = options
    this.#report = this.#measureLoad()
    this.#scheduleReport()
  }

  get heldPieces (): number {
    let sum = 0
    for (const work of this.#works.values()) sum += work.pieces
    return sum
  }

  get freePieces (): number {
    return this.options.totalPieces - this.heldPieces
  }

  /** The lagging load report. */
  get load (): LoadReport {
    return this.#report
  }

  get queuedTokens (): number {
    return this.#queue.reduce((sum, { order }) => sum + order.promptTokens, 0)
  }

  listing (): HeldStream[] {
    return [...this.#works.values()].map(({ work, owner, incarnation, stage, pieces }) => ({ work, owner, incarnation, stage, pieces }))
  }

  cachedPieces (): { sequence: number, pieces: string[] } {
    return { sequence: this.#cacheSequence, pieces: [...this.#cache.keys()] }
  }

  kill (): void {
    this.alive = false
    for (const work of this.#works.values()) {
      work.cancelled = true
      if (work.stage !== StreamStage.Prefill) this.#waste(work)
      this.#record(RecordKind.WorkReleased, work)
      work.onEnd?.(StageFailure.Broken)
    }
    this.#works.clear()
    for (const { reply } of this.#queue.splice(0)) reply(StageFailure.Broken)
    this.options.history.add(RecordKind.ServerGone, { server: this.options.id })
  }

  prefill (order: PrefillOrder, reply: (result: PrefillResult | StageFailure) => void): void {
    if (this.#tombstones.has(order.work) || this.#works.has(order.work)) {
      reply(StageFailure.Rejected)
      return
    }
    const work = this.#newWork(order, StreamStage.Prefill, Math.ceil(order.promptTokens / this.options.pieceTokens))
    if (this.leaving || !this.#hold(work)) {
      reply(StageFailure.Full)
      return
    }
    work.priority = order.priority
    const index = this.#queue.findIndex((queued) => queued.order.priority < order.priority)
    const queued = { order, work, reply }
    if (index < 0) this.#queue.push(queued)
    else this.#queue.splice(index, 0, queued)
    this.#nextPrefill()
  }

  import (order: { work: string, owner: string, incarnation: string, handle: string, source: EngineModel, promptTokens: number, maxTokens: number }, reply: (failure: StageFailure | null) => void): void {
    const { clock, kvBytesPerToken, linkBytesPerSecond, pieceTokens } = this.options
    if (this.#tombstones.has(order.work)) {
      reply(StageFailure.Rejected)
      return
    }
    const subject = order.source.subjectOf(order.handle)
    const work = this.#newWork({ ...order, subject }, StreamStage.Import, Math.ceil((order.promptTokens + order.maxTokens) / pieceTokens))
    work.maxTokens = order.maxTokens
    if (this.leaving || this.#works.has(order.work) || !this.#hold(work)) {
      reply(StageFailure.Full)
      return
    }
    const exported = order.source.claimExport(order.handle)
    if (exported === null) {
      this.#release(work)
      reply(StageFailure.Evicted)
      return
    }
    work.computedTokens = exported.computedTokens
    const transferMs = order.promptTokens * kvBytesPerToken / linkBytesPerSecond * 1000 * this.slowness + this.transferStallMs
    this.#linkFreeMs = Math.max(clock.nowMs, this.#linkFreeMs) + transferMs
    clock.schedule(this.#linkFreeMs - clock.nowMs, () => {
      order.source.endExport(order.handle)
      reply(work.cancelled ? StageFailure.Broken : null)
    })
  }

  /** Streams tokens from an index on; work goes on without a connection. */
  decode (order: { work: string, fromToken: number, onToken: (index: number) => void, onEnd: (failure: StageFailure | null) => void }): void {
    const work = this.#works.get(order.work)
    if (work === undefined || work.stage === StreamStage.Prefill || work.stage === StreamStage.Exported) {
      order.onEnd(StageFailure.Evicted)
      return
    }
    work.stage = StreamStage.Decode
    work.onToken = order.onToken
    work.onEnd = order.onEnd
    for (let index = order.fromToken; index < work.generated; index += 1) order.onToken(index)
    this.#step()
  }

  /** The connection of a stream broke; the stream itself goes on. */
  detach (id: string): void {
    const work = this.#works.get(id)
    if (work === undefined) return
    work.onToken = null
    work.onEnd = null
  }

  /** Frees the pieces of a work; one that has not arrived yet is refused when it does. */
  cancel (id: string): void {
    this.#tombstones.add(id)
    const work = this.#works.get(id)
    if (work === undefined) return
    if (work.stage !== StreamStage.Prefill) this.#waste(work)
    this.#release(work)
    const queued = this.#queue.findIndex((entry) => entry.order.work === id)
    if (queued >= 0) this.#queue.splice(queued, 1)[0]?.reply(StageFailure.Broken)
    work.onEnd?.(StageFailure.Broken)
  }

  /** The request that a prefill result belongs to. */
  subjectOf (handle: string): string {
    return this.#byHandle(handle)?.subject ?? ''
  }

  /** Pins a prefill result for the transfer. */
  claimExport (handle: string): { computedTokens: number } | null {
    const work = this.#byHandle(handle)
    if (work === undefined || !this.alive) return null
    const { computedTokens } = work
    work.exporting = true
    // From here on the importing runner answers for the computed tokens.
    work.computedTokens = 0
    return { computedTokens }
  }

  endExport (handle: string): void {
    const work = this.#byHandle(handle)
    if (work !== undefined) this.#release(work)
  }

  /** Counts the leading pieces that are cached. */
  leading (pieces: string[]): number {
    let count = 0
    while (count < pieces.length && this.#cache.has(pieces[count] ?? '')) count += 1
    return count
  }

  #byHandle (handle: string): Work | undefined {
    const work = this.#works.get(handle)
    return work?.stage === StreamStage.Exported ? work : undefined
  }

  #nextPrefill (): void {
    if (this.#prefilling) return
    const next = this.#queue.shift()
    if (next === undefined) return
    this.#prefilling = true
    const { clock, pieceTokens, prefillTokensPerSecond } = this.options
    const { order, work } = next
    const cachedTokens = Math.min(order.promptTokens, this.leading(order.pieces) * pieceTokens)
    work.computedTokens = order.promptTokens - cachedTokens
    clock.schedule(work.computedTokens / prefillTokensPerSecond * 1000 * this.slowness, () => {
      this.#prefilling = false
      this.#endPrefill(next, cachedTokens)
      this.#nextPrefill()
    })
  }

  #endPrefill ({ order, work, reply }: QueuedPrefill, cachedTokens: number): void {
    const { clock, evictionMs, history, id } = this.options
    if (!this.alive) return
    history.add(RecordKind.PrefillComputed, { server: id, work: work.work, subject: work.subject, count: work.computedTokens })
    this.#addToCache(order.pieces)
    if (work.cancelled) {
      this.#waste(work)
      reply(StageFailure.Broken)
      return
    }
    work.stage = StreamStage.Exported
    clock.schedule(evictionMs, () => {
      if (work.cancelled || work.exporting || !this.#works.has(work.work)) return
      this.#waste(work)
      this.#release(work)
    })
    reply({ handle: work.work, computedTokens: work.computedTokens, cachedTokens, expiresMs: clock.nowMs + evictionMs })
  }

  #step (): void {
    if (this.#stepping || !this.alive) return
    const batch = [...this.#works.values()].filter((work) => work.stage === StreamStage.Decode && !work.finished)
    if (batch.length === 0) return
    this.#stepping = true
    const { clock, tokenMs, tokenMsPerStream } = this.options
    clock.schedule((tokenMs + tokenMsPerStream * (batch.length - 1)) * this.slowness, () => {
      this.#stepping = false
      if (!this.alive) return
      for (const work of batch) if (!work.cancelled) this.#generate(work)
      this.#step()
    })
  }

  #generate (work: Work): void {
    work.generated += 1
    work.onToken?.(work.generated - 1)
    if (work.generated < work.maxTokens) return
    work.finished = true
    this.#release(work)
    work.onEnd?.(null)
  }

  #addToCache (pieces: string[]): void {
    for (const piece of pieces) {
      const known = this.#cache.delete(piece)
      this.#cache.set(piece, true)
      if (!known) this.#logCache(piece, true)
    }
    while (this.#cache.size > this.options.cachePieces) {
      const oldest = this.#cache.keys().next().value as string
      this.#cache.delete(oldest)
      this.#logCache(oldest, false)
    }
  }

  #logCache (piece: string, added: boolean): void {
    this.#cacheSequence += 1
    this.cacheLog.push({ sequence: this.#cacheSequence, piece, added })
    if (this.cacheLog.length > CACHE_LOG_LENGTH) this.cacheLog.shift()
  }

  #newWork (order: { work: string, owner: string, incarnation: string, subject: string, promptTokens: number }, stage: StreamStage, pieces: number): Work {
    const { work, owner, incarnation, subject, promptTokens } = order
    return {
      work, owner, incarnation, subject, promptTokens, stage, pieces, computedTokens: 0, maxTokens: 0, generated: 0, priority: 0, cancelled: false, exporting: false, finished: false, onToken: null, onEnd: null
    }
  }

  #hold (work: Work): boolean {
    if (work.pieces > this.freePieces) return false
    this.#works.set(work.work, work)
    this.#record(RecordKind.WorkHeld, work)
    return true
  }

  #release (work: Work): void {
    work.cancelled = !work.finished
    if (!this.#works.delete(work.work)) return
    this.#record(RecordKind.WorkReleased, work)
  }

  #waste (work: Work): void {
    if (work.computedTokens === 0) return
    this.options.history.add(RecordKind.PrefillWasted, { server: this.options.id, work: work.work, count: work.computedTokens })
    work.computedTokens = 0
  }

  #record (kind: RecordKind, work: Work): void {
    this.options.history.add(kind, { server: this.options.id, work: work.work, subject: work.subject, entry: `${work.owner}/${work.incarnation}`, count: work.pieces })
  }

  #measureLoad (): LoadReport {
    return {
      freePieces: this.freePieces,
      totalPieces: this.options.totalPieces,
      batch: [...this.#works.values()].filter((work) => work.stage === StreamStage.Decode).length,
      queuedTokens: this.queuedTokens,
      linkBusyMs: Math.max(0, this.#linkFreeMs - this.options.clock.nowMs),
      reportedMs: this.options.clock.nowMs
    }
  }

  #scheduleReport (): void {
    this.options.clock.schedule(this.options.reportLagMs, () => {
      this.#report = this.#measureLoad()
      if (this.alive) this.#scheduleReport()
    })
  }
}

const CACHE_LOG_LENGTH = 256
