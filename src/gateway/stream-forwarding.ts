import type { BackendServer } from './backend.js'
import type { PromptHandle } from './backend-client.js'
import { EventSplitter } from './event-splitter.js'
import { ExchangeOutcome } from './exchange-outcome.js'
import { dispatch, type Forwarding, logFailedSend, refuseAtTimeout, refuseUnanswered, type Reply, takeRetry } from './forwarding.js'
import { type ResponseHead, readWhole } from './http-exchange.js'
import type { PendingRequest } from './pending-request.js'
import type { Placement, RefusedPlacement } from './placement.js'
import type { Placer } from './placer.js'
import { GatewayRefusal } from './refusal.js'

/** Largest answer to a prefill, in bytes. */
const MAX_HANDLE_BYTES = 64 * 1024

/** Longest prefill that is waited for, in milliseconds; a sound runner takes a few hundred. */
const PREFILL_TIMEOUT_MS = 1500

/** A stream that can go on elsewhere is given up after this silence, in milliseconds, before callers give up after two seconds. */
const RESUME_AFTER_SILENCE_MS = 1200

/** Refused callers return after this time plus up to as much again, in milliseconds, so that they don't return together. */
const RETRY_AFTER_MS = 1500

/** What a stream needs besides forwarding. */
export interface StreamForwarding extends Forwarding {
  placer: Placer
}

enum RelayEnd {
  Complete = 'complete',
  Broken = 'broken'
}

/** Serves one streaming request: a place, the prompt read, the stream, and its continuation elsewhere where the route allows it. */
export async function forwardStream (forwarding: StreamForwarding, pending: PendingRequest): Promise<void> {
  const stream = new StreamService(forwarding, pending)
  await stream.run()
}

class StreamService {
  readonly #forwarding: StreamForwarding
  readonly #pending: PendingRequest
  readonly #events: EventSplitter
  #sending = false
  #prefills = 0

  constructor (forwarding: StreamForwarding, pending: PendingRequest) {
    this.#forwarding = forwarding
    this.#pending = pending
    this.#events = new EventSplitter({ lastId: pending.request.lastEventId })
  }

  async run (): Promise<void> {
    const { placer: placing } = this.#forwarding
    const pending = this.#pending
    pending.onTimeout = () => refuseAtTimeout(pending, this.#sending)
    const excluded: string[] = []
    for (;;) {
      const decision = await placing.place(pending, excluded)
      if (pending.ended) return
      if ('refusal' in decision) return this.#refuse(decision)
      const outcome = await this.#serve(decision)
      if (outcome === null || pending.ended) return
      excluded.push(decision.decode)
      if (!takeRetry(this.#forwarding, pending, outcome)) break
    }
    refuseUnanswered(pending, this.#retryAfterMs())
  }

  #refuse (decision: RefusedPlacement): void {
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

  /** Serves the request at one pair of runners; null when it has ended. */
  async #serve (placement: Placement): Promise<Exclude<ExchangeOutcome, ExchangeOutcome.Answered> | null> {
    const { backends, placer: placing } = this.#forwarding
    const decode = backends.get(placement.decode)
    if (decode === undefined || !backends.accepts(decode)) return ExchangeOutcome.NotSent
    const prefill = placement.prefill === null || !this.#mayReadPrompt() ? undefined : backends.get(placement.prefill)
    const source = prefill === undefined ? null : await this.#readPrompt(prefill)
    placing.recordPrefillDone(this.#pending.request.id, null)
    if (this.#pending.ended) {
      if (source !== null) this.#forwarding.backendClient.freePrompt(source)
      return null
    }
    let reply = await this.#send(decode, source)
    if (reply.outcome === ExchangeOutcome.Rejected && source !== null && !this.#pending.ended && this.#forwarding.retryBudget.takeRetry(this.#pending.service)) {
      // The prompt memory may have lapsed: the same runner can read the prompt itself.
      logFailedSend(this.#forwarding, this.#pending, decode, reply)
      reply = await this.#send(decode, null)
    }
    if (this.#pending.ended) return null
    if (reply.outcome !== ExchangeOutcome.Answered) {
      logFailedSend(this.#forwarding, this.#pending, decode, reply)
      placing.recordRunnerFailure(this.#pending.service, decode.id)
      return reply.outcome
    }
    return await this.#relay(decode, reply.head)
  }

  /** Only the first prefill of a request is free of the shared budget of repeats. */
  #mayReadPrompt (): boolean {
    if (this.#prefills > 0 && !this.#forwarding.retryBudget.takeRetry(this.#pending.service)) return false
    this.#prefills += 1
    return true
  }

  async #readPrompt (prefill: BackendServer): Promise<PromptHandle | null> {
    const { backendClient: calls, placer: placing, backends } = this.#forwarding
    const pending = this.#pending
    if (!backends.accepts(prefill)) return null
    const startedMs = this.#forwarding.nowMs()
    const deadlineMs = pending.remainingMs()
    const reply = await dispatch(this.#forwarding, pending, {
      request: pending.request,
      backend: prefill,
      deadlineMs,
      headTimeoutMs: Math.min(deadlineMs, PREFILL_TIMEOUT_MS),
      ownConnection: true,
      prefillOnly: true
    })
    const body = reply.outcome === ExchangeOutcome.Answered ? await readWhole(reply.head, MAX_HANDLE_BYTES) : null
    const handle = body === null ? null : calls.promptHandle(prefill, body)
    if (handle !== null) {
      const tokens = pending.request.work?.promptTokens ?? 0
      placing.recordPrefillDone(pending.request.id, tokens / Math.max(1, this.#forwarding.nowMs() - startedMs))
      return handle
    }
    if (pending.ended) return null
    logFailedSend(this.#forwarding, pending, prefill, reply)
    // The first accepted prefill is no repeat; one that failed is, together with the send that follows.
    if (reply.outcome !== ExchangeOutcome.NotSent && !this.#forwarding.retryBudget.takeRetry(pending.service)) refuseUnanswered(pending, this.#retryAfterMs())
    placing.recordRunnerFailure(pending.service, prefill.id)
    return null
  }

  async #send (decode: BackendServer, source: PromptHandle | null): Promise<Reply> {
    const pending = this.#pending
    const deadlineMs = pending.remainingMs()
    this.#sending = true
    const reply = await dispatch(this.#forwarding, pending, {
      request: pending.request,
      backend: decode,
      deadlineMs,
      headTimeoutMs: deadlineMs,
      ownConnection: true,
      source,
      lastEventId: this.#events.lastId
    })
    this.#sending = false
    return reply
  }

  async #relay (decode: BackendServer, head: ResponseHead): Promise<ExchangeOutcome.Broken | null> {
    const pending = this.#pending
    if (!pending.headSent) {
      pending.markHeadSent()
      pending.responder.head(head)
    }
    if (head.status >= 300) {
      const body = await readWhole(head, MAX_HANDLE_BYTES)
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
    this.#forwarding.log.warn('stream.broken', { request: pending.request.id, route: pending.route.name, server: decode.id, lastEvent: this.#events.lastId ?? '', resumable: pending.route.resumable })
    this.#forwarding.health.recordFailure(decode, ExchangeOutcome.Broken)
    this.#events.reset()
    return ExchangeOutcome.Broken
  }

  #copyEvents ({ message, isComplete }: ResponseHead): Promise<RelayEnd> {
    const { placer: placing } = this.#forwarding
    const pending = this.#pending
    const { responder, route } = pending
    return new Promise((resolve) => {
      let silence: NodeJS.Timeout | undefined
      const watch = (): void => {
        if (!route.resumable) return
        clearTimeout(silence)
        silence = setTimeout(() => message.destroy(), RESUME_AFTER_SILENCE_MS)
      }
      const settle = (end: RelayEnd): void => {
        clearTimeout(silence)
        resolve(end)
      }
      message.on('data', (chunk: Buffer) => {
        watch()
        if (pending.notes.firstEventMs === undefined) pending.note({ firstEventMs: Math.round(pending.ageMs()) })
        const whole = this.#events.push(chunk)
        placing.recordProgress(pending.request.id, this.#events.lastId)
        const bytes = route.resumable ? whole : chunk
        if (bytes.length === 0 || pending.ended || responder.write(bytes)) return
        // A caller that reads slowly is no silence of the runner.
        clearTimeout(silence)
        message.pause()
        responder.onDrain(() => message.resume())
      })
      message.on('end', () => {
        const rest = this.#events.pending
        if (isComplete() && route.resumable && rest.length > 0 && !pending.ended) responder.write(rest)
        settle(isComplete() ? RelayEnd.Complete : RelayEnd.Broken)
      })
      message.on('error', () => settle(RelayEnd.Broken))
      message.on('close', () => settle(RelayEnd.Broken))
      watch()
    })
  }
}
