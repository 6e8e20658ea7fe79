import type { ServerResponse } from 'node:http'
import { request as call } from 'undici'
import { StreamStage } from '../reservations/reservation-event.js'
import { LEAVING_REASON } from '../adapters/leaving-answer.js'
import { promptPieces } from '../requests/prompt-pieces.js'
import { answerTokens } from './answer-text.js'
import { EngineCache } from './engine-cache.js'
import { EngineMemory } from './engine-memory.js'
import type { EngineOptions } from './engine-options.js'
import { EngineOrders } from './engine-orders.js'
import type { EngineRecord, EngineWork } from './engine-work.js'
import { type JsonCall, type JsonHandlers, StatusError } from './json-server.js'

/** Stand-in for a model engine: memory in pieces, a prefill queue, a limited link, streams that go on without a connection. */
export class Engine {
  readonly #options: EngineOptions
  readonly #memory: EngineMemory
  readonly #cache: EngineCache
  readonly #orders: EngineOrders
  readonly #finished = new Map<string, EngineWork>()
  readonly #streams = new Map<string, Set<ServerResponse>>()
  readonly #counts = { computedTokens: 0, wastedTokens: 0, decodes: 0, decodedTokens: 0, refusedImports: 0, evictions: 0, cancels: 0 }
  #prefillFreeMs = 0
  #linkFreeMs = 0
  #leaving = false
  #report: Record<string, boolean | number> = {}

  constructor (options: EngineOptions) {
    this.#options = options
    this.#memory = new EngineMemory({ totalPieces: options.totalPieces })
    this.#cache = new EngineCache({ limit: options.cachePieces })
    this.#orders = new EngineOrders(options)
    this.#refreshReport()
    setInterval(() => this.#refreshReport(), Math.max(options.reportLagMs, 50)).unref()
  }

  get handlers (): JsonHandlers {
    return {
      'POST /v1/prefill': (request) => this.#prefill(request),
      'POST /v1/export': ({ body }) => this.#export(String(body.handle)),
      'POST /v1/export-done': ({ body }) => this.#exportDone(String(body.handle), body.imported === true),
      'POST /v1/import': ({ body }) => this.#import(body),
      'POST /v1/decode': (request) => this.#decode(request),
      'POST /v1/cancel': ({ body }) => this.#cancel(String(body.request_id)),
      'GET /v1/streams': () => this.#listing(),
      'GET /v1/load': () => this.#report,
      'GET /v1/cache-events': ({ query }) => this.#cacheEvents(Number(query.get('after') ?? 0)),
      'GET /v1/cache': () => ({ sequence: this.#cache.sequence, pieces: this.#cache.all() }),
      'GET /v1/state': () => this.#orders.state(),
      'POST /v1/orders': ({ body }) => this.#orders.apply(body),
      'POST /standin/leave': ({ body }) => {
        this.#leaving = body.leaving === true
        return { leaving: this.#leaving }
      },
      'GET /standin/record': () => this.record()
    }
  }

  record (): EngineRecord {
    return { id: this.#options.id, ...this.#counts, heldPieces: this.#memory.heldPieces, staleOrders: this.#orders.staleOrders }
  }

  #refreshReport (): void {
    const now = Date.now()
    this.#report = {
      free_pieces: this.#memory.freePieces,
      total_pieces: this.#memory.totalPieces,
      batch: [...this.#memory.works.values()].filter((work) => work.stage === StreamStage.Decode).length,
      queued_tokens: Math.round(Math.max(0, this.#prefillFreeMs - now) * this.#options.prefillTokensPerSecond / 1000),
      link_busy_ms: Math.max(0, Math.round(this.#linkFreeMs - now)),
      leaving: this.#leaving
    }
  }

  #refuseIfLeaving (): void {
    if (this.#leaving) throw new StatusError(503, 'this engine is leaving', LEAVING_REASON)
  }

  async #prefill ({ body }: JsonCall): Promise<unknown> {
    this.#refuseIfLeaving()
    const prompt = String(body.prompt)
    const promptTokens = Math.ceil(Buffer.byteLength(prompt) / this.#options.bytesPerToken)
    const work = this.#newWork(body, StreamStage.Prefill, promptTokens, prompt)
    work.pieces = Math.ceil(promptTokens / this.#options.pieceTokens)
    if (this.#memory.works.has(work.work)) throw new StatusError(409, 'this request id is in use')
    if (!this.#memory.hold(work)) throw new StatusError(503, 'no memory for this prompt')
    const pieces = promptPieces(prompt, this.#options.pieceTokens * this.#options.bytesPerToken)
    const cachedTokens = Math.min(promptTokens, this.#cache.leading(pieces) * this.#options.pieceTokens)
    work.computedTokens = promptTokens - cachedTokens
    await this.#waitForPrefill(work)
    if (work.cancelled) throw new StatusError(499, 'cancelled')
    this.#counts.computedTokens += work.computedTokens
    this.#cache.add(pieces)
    work.stage = StreamStage.Exported
    work.handle = `${this.#options.id}:${work.work}`
    work.evictionMs = Date.now() + this.#options.evictionMs
    work.evictionTimer = setTimeout(() => this.#evict(work), this.#options.evictionMs)
    return { handle: work.handle, computed_tokens: work.computedTokens, cached_tokens: cachedTokens, expires_in_ms: this.#options.evictionMs }
  }

  async #waitForPrefill (work: EngineWork): Promise<void> {
    const now = Date.now()
    const startMs = Math.max(now, this.#prefillFreeMs)
    this.#prefillFreeMs = startMs + work.computedTokens / this.#options.prefillTokensPerSecond * 1000
    await sleep(this.#prefillFreeMs - now)
  }

  #evict (work: EngineWork): void {
    if (work.exports > 0) return
    if (this.#memory.release(work.work) === 0) return
    this.#counts.evictions += 1
    this.#counts.wastedTokens += work.computedTokens
  }

  #byHandle (handle: string): EngineWork {
    for (const work of this.#memory.works.values()) {
      if (work.handle === handle && work.stage === StreamStage.Exported) return work
    }
    throw new StatusError(410, 'the prefill result is no longer there')
  }

  #export (handle: string): unknown {
    const work = this.#byHandle(handle)
    work.exports += 1
    return { prompt: work.prompt, prompt_tokens: work.promptTokens, computed_tokens: work.computedTokens }
  }

  #exportDone (handle: string, imported: boolean): unknown {
    const work = this.#byHandle(handle)
    work.exports -= 1
    if (imported) return { released: this.#memory.release(work.work) }
    // Another import may still use the result until its eviction is due.
    if (Date.now() >= work.evictionMs) this.#evict(work)
    return { released: 0 }
  }

  async #import (body: Record<string, unknown>): Promise<unknown> {
    this.#refuseIfLeaving()
    const handle = String(body.handle)
    const source = String(body.source)
    const work = this.#newWork(body, StreamStage.Import, Number(body.tokens), '')
    work.pieces = Math.ceil((work.promptTokens + work.maxTokens) / this.#options.pieceTokens)
    if (this.#memory.works.has(work.work)) throw new StatusError(409, 'this request id is in use')
    if (!this.#memory.hold(work)) {
      this.#counts.refusedImports += 1
      throw new StatusError(409, 'no memory for this request')
    }
    try {
      const exported = await post(`http://${source}/v1/export`, { handle })
      work.prompt = String(exported.prompt)
      work.computedTokens = Number(exported.computed_tokens)
      await this.#waitForLink(work)
      await post(`http://${source}/v1/export-done`, { handle, imported: !work.cancelled })
    } catch (error) {
      this.#memory.release(work.work)
      throw error
    }
    if (work.cancelled) throw new StatusError(499, 'cancelled')
    work.tokens = answerTokens(work.prompt, work.maxTokens)
    return { pieces: work.pieces }
  }

  async #waitForLink (work: EngineWork): Promise<void> {
    const now = Date.now()
    const bytes = work.promptTokens * this.#options.kvBytesPerToken
    this.#linkFreeMs = Math.max(now, this.#linkFreeMs) + bytes / this.#options.linkBytesPerSecond * 1000
    await sleep(this.#linkFreeMs - now)
  }

  #decode ({ body, response }: JsonCall): undefined {
    const id = String(body.request_id)
    const work = this.#memory.works.get(id) ?? this.#finished.get(id)
    if (work === undefined || work.tokens.length === 0) throw new StatusError(410, 'no such request')
    response.writeHead(200, { 'content-type': 'application/x-ndjson' })
    for (let index = Number(body.from_token ?? 0); index < work.generated; index += 1) {
      writeToken(response, work, index)
    }
    if (work.generated >= work.maxTokens) {
      writeEnd(response, work)
      return undefined
    }
    const streams = this.#streams.get(id) ?? new Set()
    streams.add(response)
    this.#streams.set(id, streams)
    response.on('close', () => streams.delete(response))
    if (work.stage !== StreamStage.Decode) this.#startGeneration(work)
    return undefined
  }

  #startGeneration (work: EngineWork): void {
    work.stage = StreamStage.Decode
    this.#counts.decodes += 1
    const timer = setInterval(() => {
      if (work.cancelled) {
        clearInterval(timer)
        this.#endStreams(work, false)
        return
      }
      work.generated += 1
      this.#counts.decodedTokens += 1
      for (const stream of this.#streams.get(work.work) ?? []) writeToken(stream, work, work.generated - 1)
      if (work.generated < work.maxTokens) return
      clearInterval(timer)
      this.#finish(work)
    }, this.#options.tokenMs)
  }

  #finish (work: EngineWork): void {
    this.#memory.release(work.work)
    this.#endStreams(work, true)
    this.#finished.set(work.work, work)
    setTimeout(() => this.#finished.delete(work.work), FINISHED_TEXT_MS).unref()
  }

  #endStreams (work: EngineWork, complete: boolean): void {
    for (const stream of this.#streams.get(work.work) ?? []) {
      if (complete) writeEnd(stream, work)
      else stream.destroy()
    }
    this.#streams.delete(work.work)
  }

  #cancel (id: string): unknown {
    const work = this.#memory.works.get(id)
    if (work !== undefined && work.stage !== StreamStage.Prefill) this.#counts.wastedTokens += work.computedTokens
    if (work !== undefined) this.#counts.cancels += 1
    return { released: this.#memory.release(id) }
  }

  #listing (): unknown {
    const streams = [...this.#memory.works.values()].map((work) => ({
      request_id: work.work, owner: work.owner, incarnation: work.incarnation, stage: work.stage, pieces: work.pieces, age_ms: Date.now() - work.sinceMs
    }))
    return { total_pieces: this.#memory.totalPieces, free_pieces: this.#memory.freePieces, streams }
  }

  #cacheEvents (after: number): unknown {
    const events = this.#cache.changesAfter(after)
    return { sequence: this.#cache.sequence, events: events.map(({ sequence, piece, added }) => ({ seq: sequence, piece, added })) }
  }

  #newWork (body: Record<string, unknown>, stage: StreamStage, promptTokens: number, prompt: string): EngineWork {
    return {
      work: String(body.request_id),
      owner: String(body.owner),
      incarnation: String(body.incarnation),
      stage,
      pieces: 0,
      promptTokens,
      computedTokens: 0,
      prompt,
      handle: '',
      priority: Number(body.priority ?? 5),
      generated: 0,
      maxTokens: Number(body.max_tokens ?? 0),
      tokens: [],
      cancelled: false,
      evictionTimer: null,
      exports: 0,
      evictionMs: Infinity,
      sinceMs: Date.now()
    }
  }
}

/** How long the text of a finished stream can still be resumed. */
const FINISHED_TEXT_MS = 10000

function writeToken (response: ServerResponse, work: EngineWork, index: number): void {
  response.write(`${JSON.stringify({ request_id: work.work, index, text: work.tokens[index] })}\n`)
}

function writeEnd (response: ServerResponse, work: EngineWork): void {
  response.end(`${JSON.stringify({ request_id: work.work, done: true, tokens: work.maxTokens })}\n`)
}

async function post (url: string, body: unknown): Promise<Record<string, unknown>> {
  const answer = await call(url, { method: 'POST', body: JSON.stringify(body), headers: { 'content-type': 'application/json' } })
    .catch(() => { throw new StatusError(502, 'the source cannot be reached') })
  const result = await answer.body.json() as Record<string, unknown>
  if (answer.statusCode !== 200) throw new StatusError(answer.statusCode, String(result.error))
  return result
}

function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, Math.max(0, ms)) })
}
