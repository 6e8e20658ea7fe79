import type { BackendServer } from './backend.js'
import type { KvCacheHandle } from './backend-client.js'
import { ExchangeOutcome, provesNotRun } from './exchange-outcome.js'
import { type ForwardingContext, freeKvCache, logFailedSend, pauseWaitMs, refuseUnanswered, type SendResult, sendToServer } from './forwarding.js'
import { readBody } from './http-exchange.js'
import type { PendingRequest } from './pending-request.js'
import type { Placement } from './placement.js'
import type { Placer } from './placer.js'

/** Largest response body of a prefill, in bytes. */
const MAX_BODY_BYTES = 64 * 1024

/** Timeout of a prefill, in milliseconds; a healthy runner responds within a few hundred. */
const PREFILL_TIMEOUT_MS = 1500

/** Age up to which the KV cache of a prompt that was not sent to a decode runner is sent to another one, in milliseconds; prefill runners soon evict it. */
const MAX_KV_CACHE_AGE_MS = 250

interface PromptPrefillOptions {
  context: ForwardingContext & { placer: Placer }
  pending: PendingRequest
  /** `Retry-After` of a refusal, in milliseconds. */
  retryAfterMs: () => number
}

/** Runs the prefills of one request and keeps the KV cache that no decode runner has taken over yet. */
export class PromptPrefill {
  readonly #context: PromptPrefillOptions['context']
  readonly #pending: PendingRequest
  readonly #retryAfterMs: () => number
  #prefillCount = 0
  /** Addresses to which this request's prompt was sent on a kept connection; a copy of the answer might be taken for that of a second send. */
  readonly #usedAddresses = new Set<string>()
  /** When the last prefill ended, in milliseconds. */
  #computedMs = 0
  /** KV cache of the prompt that no decode runner has been asked to take over. */
  #unusedKvCache: KvCacheHandle | null = null

  constructor ({ context, pending, retryAfterMs }: PromptPrefillOptions) {
    this.#context = context
    this.#pending = pending
    this.#retryAfterMs = retryAfterMs
  }

  /** Runs the prefill of a placement; null if the decode runner has to process the prompt itself or the request has ended. */
  async compute ({ prefill }: Placement): Promise<KvCacheHandle | null> {
    const prefillServer = this.#reserve(prefill)
    return prefillServer === undefined ? null : await this.#runPrefill(prefillServer)
  }

  /** The same for a request that has another runner meanwhile: a failure does not end it. */
  async tryCompute (prefill: string | null): Promise<KvCacheHandle | null> {
    const prefillServer = this.#reserve(prefill)
    const result = prefillServer === undefined ? null : await this.#requestPrefill(prefillServer)
    return result !== null && 'kvCache' in result ? result.kvCache : null
  }

  /** Keeps a KV cache that no decode runner has been asked to take over. */
  keepUnused (kvCache: KvCacheHandle): void {
    this.#unusedKvCache = kvCache
    if (this.#pending.ended) this.freeUnused()
  }

  /** The KV cache that was not used by an earlier attempt, if the prefill runner still holds it. */
  takeUnused (): KvCacheHandle | null {
    if (this.#context.nowMs() - this.#computedMs > MAX_KV_CACHE_AGE_MS) this.freeUnused()
    const kvCache = this.#unusedKvCache
    this.#unusedKvCache = null
    return kvCache
  }

  freeUnused (): void {
    if (this.#unusedKvCache === null) return
    freeKvCache(this.#context, this.#unusedKvCache)
    this.#unusedKvCache = null
  }

  /** Reserves one prefill for this request; undefined if it may not run. Every prefill after the first consumes a retry from the service's budget. */
  #reserve (prefill: string | null): BackendServer | undefined {
    if (prefill === null) return undefined
    if (this.#prefillCount > 0 && !this.#context.retryBudget.tryConsume(this.#pending.service)) return undefined
    this.#prefillCount += 1
    return this.#context.backends.get(prefill)
  }

  async #runPrefill (prefillServer: BackendServer): Promise<KvCacheHandle | null> {
    const { retryBudget } = this.#context
    const pending = this.#pending
    const result = await this.#requestPrefill(prefillServer)
    if (result === null || 'kvCache' in result) return result?.kvCache ?? null
    if (result.outcome === ExchangeOutcome.NotSent) return null
    // The first prefill that a runner accepts is no retry, but a rejected one makes the request that follows a retry. Whether a prefill without a proper answer was accepted is unknown; it does not end a request whose decode runner is ready.
    const mayFollow = retryBudget.tryConsume(pending.service) || !provesNotRun(result.outcome)
    if (!mayFollow) refuseUnanswered(pending, this.#retryAfterMs())
    return null
  }

  /** Sends the prompt on a kept connection if there is one. If that breaks, the server may have closed it at the same moment, so the prompt is sent once more on a connection of its own. */
  async #sendOnAnyConnection (prefillServer: BackendServer): Promise<SendResult> {
    const { retryBudget, backends } = this.#context
    const pending = this.#pending
    const isFirst = !this.#usedAddresses.has(prefillServer.address)
    this.#usedAddresses.add(prefillServer.address)
    const result = await this.#send(prefillServer, !isFirst)
    const isStale = result.outcome === ExchangeOutcome.Broken && result.reusedConnection === true
    if (!isStale || pending.ended || !backends.accepts(prefillServer) || !retryBudget.tryConsume(pending.service)) return result
    logFailedSend(this.#context, pending, prefillServer, result)
    return await this.#send(prefillServer, true)
  }

  #send (prefillServer: BackendServer, ownConnection: boolean): Promise<SendResult> {
    const pending = this.#pending
    const deadlineMs = pending.remainingMs()
    return sendToServer(this.#context, pending, {
      request: pending.request,
      backend: prefillServer,
      deadlineMs,
      headTimeoutMs: Math.min(deadlineMs, PREFILL_TIMEOUT_MS),
      ownConnection,
      priority: pending.priority,
      prefillOnly: true
    })
  }

  /** Returns the KV cache, the result that failed, or null if nothing was sent or the request has ended. */
  async #requestPrefill (prefillServer: BackendServer): Promise<{ kvCache: KvCacheHandle } | SendResult | null> {
    const { backendClient, placer, backends, pauses } = this.#context
    const pending = this.#pending
    if (!backends.accepts(prefillServer) || pauseWaitMs(this.#context, pending, prefillServer) !== null) return null
    const startedMs = this.#context.nowMs()
    const result = await this.#sendOnAnyConnection(prefillServer)
    const body = result.outcome === ExchangeOutcome.Answered ? await readBody(result.head, { limitBytes: MAX_BODY_BYTES, buffers: pending.responder.buffers, timeoutMs: Math.max(0, startedMs + PREFILL_TIMEOUT_MS - this.#context.nowMs()) }) : null
    const kvCache = body === null ? null : backendClient.parsePrefillResponse(prefillServer, body.bytes())
    if (kvCache !== null) {
      this.#computedMs = this.#context.nowMs()
      const tokens = pending.request.generationParameters?.promptTokens ?? 0
      placer.recordPrefillDone(pending.request.id, tokens / Math.max(1, this.#context.nowMs() - startedMs))
      return { kvCache }
    }
    if (pending.ended) return null
    if (result.outcome === ExchangeOutcome.Answered) this.#context.health.recordFailure(prefillServer, ExchangeOutcome.Broken)
    logFailedSend(this.#context, pending, prefillServer, result)
    // A pause concerns this instance only.
    if (pauses.waitMs(prefillServer) === 0) placer.recordRunnerFailure(pending.service, prefillServer.id)
    return result
  }
}
