import type { BackendServer } from './backend.js'
import type { PromptHandle } from './backend-client.js'
import { EventSplitter } from './event-splitter.js'
import { ExchangeOutcome } from './exchange-outcome.js'
import { dispatch, type Forwarding, logFailedSend, refuseAtTimeout, refuseUnanswered, type DispatchResult, takeRetry } from './forwarding.js'
import { type ResponseHead, readBody } from './http-exchange.js'
import type { PendingRequest } from './pending-request.js'
import type { Placement, RefusedPlacement } from './placement.js'
import type { Placer } from './placer.js'
import { GatewayRefusal } from './refusal.js'

/** Largest body of a prefill response or of a response that is not a stream, in bytes. */
const MAX_SMALL_BODY_BYTES = 64 * 1024

/** Longest wait for the response head of a prefill, in milliseconds; a healthy runner takes a few hundred. */
const PREFILL_TIMEOUT_MS = 1500

/** Longest pause in a resumable stream before it is resumed on another runner, in milliseconds; callers give up after two seconds. */
const RESUME_AFTER_SILENCE_MS = 1200

/** Largest random part of `Retry-After`, in milliseconds, which keeps refused callers from retrying all at once; also the fixed part unless a refused placement states one. */
const RETRY_AFTER_MS = 1500

/** Dependencies of stream forwarding. */
export interface StreamForwarding extends Forwarding {
  placer: Placer
}

enum RelayEnd {
  Complete = 'complete',
  Broken = 'broken'
}

/** Serves one streaming request: requests a placement, runs the prefill, relays the stream and, on a resumable route, resumes a broken stream on another runner. */
export async function forwardStream (forwarding: StreamForwarding, pending: PendingRequest): Promise<void> {
  const stream = new StreamForwarder(forwarding, pending)
  await stream.run()
}

class StreamForwarder {
  readonly #forwarding: StreamForwarding
  readonly #pending: PendingRequest
  readonly #eventSplitter: EventSplitter
  #sending = false
  #prefillCount = 0

  constructor (forwarding: StreamForwarding, pending: PendingRequest) {
    this.#forwarding = forwarding
    this.#pending = pending
    this.#eventSplitter = new EventSplitter({ lastId: pending.request.lastEventId })
  }

  async run (): Promise<void> {
    const { placer } = this.#forwarding
    const pending = this.#pending
    pending.onTimeout = () => refuseAtTimeout(pending, this.#sending)
    const excluded: string[] = []
    for (;;) {
      const decision = await placer.place(pending, excluded)
      if (pending.ended) return
      if ('refusal' in decision) return this.#refusePlacement(decision)
      const outcome = await this.#attempt(decision)
      if (outcome === null || pending.ended) return
      excluded.push(decision.decode)
      if (!takeRetry(this.#forwarding, pending, outcome)) break
    }
    refuseUnanswered(pending, this.#retryAfterMs())
  }

  #refusePlacement (decision: RefusedPlacement): void {
    const pending = this.#pending
    this.#forwarding.log.info('placement.refused', {
      request: pending.request.id,
      route: pending.route.name,
      reason: decision.refusal,
      waiting: decision.waiting,
      runs: decision.runs,
      ageMs: Math.round(pending.ageMs()),
      retryAfterMs: Math.round(decision.retryAfterMs)
    })
    if (pending.mayHaveRun) return pending.refuse(GatewayRefusal.OutcomeUnknown)
    pending.refuse(GatewayRefusal.Overloaded, decision.retryAfterMs + RETRY_AFTER_MS * this.#forwarding.random())
  }

  #retryAfterMs (): number {
    return RETRY_AFTER_MS * (1 + this.#forwarding.random())
  }

  /** Runs the request on one pair of runners. Returns null if the request has ended, otherwise the outcome that made this attempt fail. */
  async #attempt (placement: Placement): Promise<Exclude<ExchangeOutcome, ExchangeOutcome.Answered> | null> {
    const { backends, placer } = this.#forwarding
    const decode = backends.get(placement.decode)
    if (decode === undefined || !backends.accepts(decode)) return ExchangeOutcome.NotSent
    const prefill = placement.prefill === null || !this.#mayPrefill() ? undefined : backends.get(placement.prefill)
    const source = prefill === undefined ? null : await this.#runPrefill(prefill)
    placer.recordPrefillDone(this.#pending.request.id, null)
    if (this.#pending.ended) {
      if (source !== null) this.#forwarding.backendClient.freePrompt(source)
      return null
    }
    let result = await this.#sendToDecode(decode, source)
    if (result.outcome === ExchangeOutcome.Rejected && source !== null && !this.#pending.ended && this.#forwarding.retryBudget.takeRetry(this.#pending.service)) {
      // The prefill runner may have evicted the KV cache of the prompt: the decode runner can compute the prompt itself.
      logFailedSend(this.#forwarding, this.#pending, decode, result)
      result = await this.#sendToDecode(decode, null)
    }
    if (this.#pending.ended) return null
    if (result.outcome !== ExchangeOutcome.Answered) {
      logFailedSend(this.#forwarding, this.#pending, decode, result)
      placer.recordRunnerFailure(this.#pending.service, decode.id)
      return result.outcome
    }
    return await this.#relay(decode, result.head)
  }

  /** Whether one more prefill may run for this request. Every prefill after the first takes a retry from the service's budget. */
  #mayPrefill (): boolean {
    if (this.#prefillCount > 0 && !this.#forwarding.retryBudget.takeRetry(this.#pending.service)) return false
    this.#prefillCount += 1
    return true
  }

  async #runPrefill (prefill: BackendServer): Promise<PromptHandle | null> {
    const { backendClient, placer, backends } = this.#forwarding
    const pending = this.#pending
    if (!backends.accepts(prefill)) return null
    const startedMs = this.#forwarding.nowMs()
    const deadlineMs = pending.remainingMs()
    const result = await dispatch(this.#forwarding, pending, {
      request: pending.request,
      backend: prefill,
      deadlineMs,
      headTimeoutMs: Math.min(deadlineMs, PREFILL_TIMEOUT_MS),
      ownConnection: true,
      prefillOnly: true
    })
    const body = result.outcome === ExchangeOutcome.Answered ? await readBody(result.head, MAX_SMALL_BODY_BYTES) : null
    const handle = body === null ? null : backendClient.decodePromptHandle(prefill, body)
    if (handle !== null) {
      const tokens = pending.request.generationParameters?.promptTokens ?? 0
      placer.recordPrefillDone(pending.request.id, tokens / Math.max(1, this.#forwarding.nowMs() - startedMs))
      return handle
    }
    if (pending.ended) return null
    logFailedSend(this.#forwarding, pending, prefill, result)
    // The send to the decode runner after a failed prefill counts as a retry, unless the prefill was never sent. Without budget, the request is refused.
    if (result.outcome !== ExchangeOutcome.NotSent && !this.#forwarding.retryBudget.takeRetry(pending.service)) refuseUnanswered(pending, this.#retryAfterMs())
    placer.recordRunnerFailure(pending.service, prefill.id)
    return null
  }

  async #sendToDecode (decode: BackendServer, source: PromptHandle | null): Promise<DispatchResult> {
    const pending = this.#pending
    const deadlineMs = pending.remainingMs()
    this.#sending = true
    const result = await dispatch(this.#forwarding, pending, {
      request: pending.request,
      backend: decode,
      deadlineMs,
      headTimeoutMs: deadlineMs,
      ownConnection: true,
      source,
      lastEventId: this.#eventSplitter.lastId
    })
    this.#sending = false
    return result
  }

  async #relay (decode: BackendServer, head: ResponseHead): Promise<ExchangeOutcome.Broken | null> {
    const pending = this.#pending
    if (!pending.headSent) {
      pending.markHeadSent()
      pending.responder.head(head)
    }
    if (head.status >= 300) {
      const body = await readBody(head, MAX_SMALL_BODY_BYTES)
      if (body === null) pending.abort('the answer broke off')
      else {
        pending.responder.write(body)
        pending.complete()
      }
      return null
    }
    const end = await this.#copyEvents(head)
    if (pending.ended) return null
    if (end === RelayEnd.Complete) {
      pending.complete()
      return null
    }
    this.#forwarding.log.warn('stream.broken', { request: pending.request.id, route: pending.route.name, server: decode.id, lastEvent: this.#eventSplitter.lastId ?? '', resumable: pending.route.resumable })
    this.#forwarding.health.recordFailure(decode, ExchangeOutcome.Broken)
    this.#eventSplitter.reset()
    return ExchangeOutcome.Broken
  }

  #copyEvents ({ message, isComplete }: ResponseHead): Promise<RelayEnd> {
    const { placer } = this.#forwarding
    const pending = this.#pending
    const { responder, route } = pending
    return new Promise((resolve) => {
      let silenceTimer: NodeJS.Timeout | undefined
      const restartSilenceTimer = (): void => {
        if (!route.resumable) return
        clearTimeout(silenceTimer)
        silenceTimer = setTimeout(() => message.destroy(), RESUME_AFTER_SILENCE_MS)
      }
      const settle = (end: RelayEnd): void => {
        clearTimeout(silenceTimer)
        resolve(end)
      }
      message.on('data', (chunk: Buffer) => {
        restartSilenceTimer()
        if (pending.notes.firstEventMs === undefined) pending.note({ firstEventMs: Math.round(pending.ageMs()) })
        const wholeEvents = this.#eventSplitter.push(chunk)
        placer.recordProgress(pending.request.id, this.#eventSplitter.lastId)
        const bytes = route.resumable ? wholeEvents : chunk
        if (bytes.length === 0 || pending.ended || responder.write(bytes)) return
        // The stream is paused because the caller reads slowly, not because the runner is silent.
        clearTimeout(silenceTimer)
        message.pause()
        responder.onDrain(() => message.resume())
      })
      message.on('end', () => {
        const partialEvent = this.#eventSplitter.partialEvent
        if (isComplete() && route.resumable && partialEvent.length > 0 && !pending.ended) responder.write(partialEvent)
        settle(isComplete() ? RelayEnd.Complete : RelayEnd.Broken)
      })
      message.on('error', () => settle(RelayEnd.Broken))
      message.on('close', () => settle(RelayEnd.Broken))
      restartSilenceTimer()
    })
  }
}
