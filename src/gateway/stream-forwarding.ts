import { type BackendServer, RunnerRole } from './backend.js'
import type { KvCacheHandle } from './backend-client.js'
import { EventSplitter } from './event-splitter.js'
import { ExchangeOutcome, mayRunTwice, provesNotRun } from './exchange-outcome.js'
import { chargeAtTimeout, FIRST_UNSUCCESSFUL_STATUS, freeKvCache, pauseWaitMs, sendToServer, sendWaitMs, type ForwardingContext, logFailedSend, refuseAtTimeout, refuseUnanswered, type SendResult, tryConsumeRetry } from './forwarding.js'
import { type ResponseHead, readBody } from './http-exchange.js'
import type { PendingRequest } from './pending-request.js'
import type { PromptQuarantine, PromptStart } from './prompt-quarantine.js'
import { type Placement, PlacementRefusal, type RefusedPlacement } from './placement.js'
import type { Placer } from './placer.js'
import { PromptPrefill } from './prompt-prefill.js'
import { GatewayRefusal } from './refusal.js'
import { RelayedStream, RelayEnd } from './relayed-stream.js'
import { SilenceWatch } from './silence-watch.js'

/** Largest response body that is buffered instead of streamed, in bytes: that of a response that is not a stream. */
const MAX_BUFFERED_BODY_BYTES = 64 * 1024

/** Largest event of a stream, in bytes; an event holds some tokens and usually has less than a kilobyte. */
const MAX_EVENT_BYTES = 256 * 1024

/** Largest stream of one run, in bytes; ten thousand events of a kilobyte. */
const MAX_STREAM_BYTES = 16 * 1024 * 1024

/** Silence after which another runner is sought for a resumable stream, in milliseconds; callers give up after 2000 ms. */
const RESUME_AFTER_SILENCE_MS = 1200

/** Time for which the present runner's stream waits while another runner may accept or reject it, in milliseconds; then it is cut, as two runners must not work on one stream. */
const TAKEOVER_DECISION_MS = 200

/** Upper bound of the random part of `Retry-After`, in milliseconds, which keeps callers from retrying all at once. The fixed part has the same value unless a refused placement states one. */
const RETRY_AFTER_MS = 1500

/** Number of placements on runners that have turned this instance away after which a request is refused; a coordinator that knows of their pauses places it elsewhere. */
const MAX_PAUSED_PLACEMENTS = 3

/** Number of events after which a stream counts as started successfully; a prompt that crashes runners does so as they begin to answer it. */
const EVENTS_OF_SUCCESSFUL_START = 3

/** Dependencies of stream forwarding. */
export interface StreamForwardingContext extends ForwardingContext {
  placer: Placer
  quarantine: PromptQuarantine
}

/** Refusals of placements that are told apart; any other one is an overload. */
const gatewayRefusals: Partial<Record<PlacementRefusal, GatewayRefusal>> = {
  [PlacementRefusal.RateLimited]: GatewayRefusal.RateLimited,
  [PlacementRefusal.Paused]: GatewayRefusal.Paused
}

/** The runner to which a silent stream was moved, and its response. */
interface Takeover {
  decodeServer: BackendServer
  response: Promise<SendResult>
}

/** Serves one streaming request: requests a placement, runs the prefill, relays the stream and, on a resumable route, resumes a broken stream on another runner. */
export async function forwardStream (context: StreamForwardingContext, pending: PendingRequest): Promise<void> {
  const forwarder = new StreamForwarder(context, pending)
  await forwarder.run()
}

class StreamForwarder {
  readonly #context: StreamForwardingContext
  readonly #pending: PendingRequest
  readonly #eventSplitter: EventSplitter
  readonly #prefill: PromptPrefill
  #sending = false
  /** When the request was last sent to a decode runner, in milliseconds. */
  #sentToDecodeMs = 0
  /** When the response head or the last bytes of the stream arrived, in milliseconds. */
  #lastBytesMs = 0
  #takeover: Takeover | null = null
  /** Number of placements on runners that have turned this instance away. */
  #pausedPlacements = 0
  /** Ids of the decode runners that failed this request or lost it to another one. */
  readonly #excluded: string[] = []

  constructor (context: StreamForwardingContext, pending: PendingRequest) {
    this.#context = context
    this.#pending = pending
    this.#eventSplitter = new EventSplitter({ lastEventId: pending.request.lastEventId, buffers: pending.responder.buffers })
    this.#prefill = new PromptPrefill({ context, pending, retryAfterMs: () => this.#retryAfterMs() })
  }

  async run (): Promise<void> {
    const { placer } = this.#context
    const pending = this.#pending
    pending.onTimeout = (refusalIfNotRun) => refuseAtTimeout(pending, this.#sending, refusalIfNotRun)
    pending.whenEnded(() => {
      this.#prefill.freeUnused()
      this.#eventSplitter.discardPartialEvent()
    })
    for (;;) {
      if (this.#refuseIfQuarantined()) return
      // A pause concerns this instance only, so the coordinator goes on placing requests of others on the runner.
      const decision = this.#refusalBeforePlacement() ?? await placer.place(pending, this.#excluded.filter((id) => !this.#isPaused(id)))
      if (pending.ended || this.#refuseIfQuarantined()) return
      if ('refusal' in decision) return this.#refuseUnplaced(decision)
      const outcome = await this.#attempt(decision)
      if (outcome === null || pending.ended) return
      if (!tryConsumeRetry(this.#context, pending, outcome)) break
    }
    refuseUnanswered(pending, this.#pauseMs() + this.#retryAfterMs())
  }

  /** Time until one of the decode runners may take a request of this instance, in milliseconds; 0 if it may now. */
  #pauseMs (): number {
    const { backends, pauses } = this.#context
    return pauses.shortestWaitMs(backends.ready(this.#pending.service, RunnerRole.Decode))
  }

  #isPaused (id: string): boolean {
    const backend = this.#context.backends.get(id)
    return backend !== undefined && this.#context.pauses.waitMs(backend) > 0
  }

  /** The refusal of a request that can't be placed, as far as this instance knows. Until the coordinator has heard that the last runner leaves, it would place the request there again and again; so would one of an older version, which ignores pauses. */
  #refusalBeforePlacement (): RefusedPlacement | null {
    if (this.#context.backends.ready(this.#pending.service, RunnerRole.Decode).length === 0) return { refusal: PlacementRefusal.NoRunner, retryAfterMs: RETRY_AFTER_MS, waiting: 0, runs: 0 }
    const pauseMs = this.#pauseMs()
    if (pauseMs === 0 && this.#pausedPlacements < MAX_PAUSED_PLACEMENTS) return null
    return { refusal: PlacementRefusal.Paused, retryAfterMs: pauseMs === 0 ? RETRY_AFTER_MS : pauseMs, waiting: 0, runs: 0 }
  }

  #refuseUnplaced (decision: RefusedPlacement): void {
    const pending = this.#pending
    this.#context.log.info('placement.refused', {
      request: pending.request.id,
      route: pending.route.name,
      reason: decision.refusal,
      waiting: decision.waiting,
      runs: decision.runs,
      ageMs: Math.round(pending.ageMs()),
      retryAfterMs: Math.round(decision.retryAfterMs)
    })
    if (pending.mayHaveRun) return pending.refuse(GatewayRefusal.OutcomeUnknown)
    const refusal = gatewayRefusals[decision.refusal] ?? GatewayRefusal.Overloaded
    // A delay beyond the longest one would bring all callers back at the same moment.
    const longestMs = Math.max(decision.retryAfterMs, pending.longestReturnMs)
    pending.refuse(refusal, Math.min(longestMs, decision.retryAfterMs + RETRY_AFTER_MS * this.#context.random()))
  }

  get #sharedParts (): string[] {
    return this.#pending.request.generationParameters?.sharedParts ?? []
  }

  /** Refuses the request if a part of its prompt is quarantined. Checked before each step that sends it to a runner, as a part may be quarantined at any time. */
  #refuseIfQuarantined (): boolean {
    const pending = this.#pending
    const quarantined = this.#context.quarantine.find(this.#sharedParts)
    if (quarantined === null || pending.ended) return false
    this.#context.log.info('prompt.refused', { request: pending.request.id, route: pending.route.name, part: quarantined.part, leftMs: Math.round(quarantined.leftMs) })
    if (pending.mayHaveRun) pending.refuse(GatewayRefusal.OutcomeUnknown)
    else pending.refuse(GatewayRefusal.CrashingPrompt, quarantined.leftMs)
    return true
  }

  /** Finds out whether the runner crashed as it began this request, and ends the request if so: resumed elsewhere, it might crash the next runner. Returns whether the request has ended. */
  async #endIfRunnerCrashed (decodeServer: BackendServer): Promise<boolean> {
    const pending = this.#pending
    if (this.#sharedParts.length === 0) return false
    const crashed = this.#reportBrokenStart(decodeServer)
    if (!mayRunTwice(pending.route)) {
      crashed.catch((error: unknown) => this.#context.log.error('prompt.fault', { request: pending.request.id, detail: String(error) }))
      return false
    }
    if (await crashed) pending.refuse(GatewayRefusal.OutcomeUnknown)
    return pending.ended
  }

  /** Tells the quarantine if the runner is gone; returns whether it is. A runner that still answers has only lost the connection. */
  async #reportBrokenStart (decodeServer: BackendServer): Promise<boolean> {
    const { backendClient, quarantine, log } = this.#context
    const start = this.#promptStart()
    const crashed = await backendClient.readRunnerState(decodeServer) === null
    log.info('prompt.broken-start', { request: start.request, server: decodeServer.id, parts: start.parts.join(), crashed })
    if (crashed) quarantine.recordCrash(start)
    return crashed
  }

  #promptStart (): PromptStart {
    const { request, service } = this.#pending
    return { request: request.id, service, parts: this.#sharedParts, sentMs: this.#sentToDecodeMs }
  }

  #retryAfterMs (): number {
    return RETRY_AFTER_MS * (1 + this.#context.random())
  }

  /** Runs the request on one pair of runners. Returns the outcome that made this attempt fail, or null if the request has ended. */
  async #attempt (placement: Placement): Promise<Exclude<ExchangeOutcome, ExchangeOutcome.Answered> | null> {
    const { backends, placer } = this.#context
    const decodeServer = backends.get(placement.decode)
    // Before the prefill, which would be read in vain.
    if (decodeServer !== undefined && pauseWaitMs(this.#context, this.#pending, decodeServer) !== null) {
      this.#pausedPlacements += 1
      return ExchangeOutcome.NotSent
    }
    this.#excluded.push(placement.decode)
    if (decodeServer === undefined || !backends.accepts(decodeServer)) return ExchangeOutcome.NotSent
    const kvCache = this.#prefill.takeUnused() ?? await this.#prefill.compute(placement)
    placer.recordPrefillDone(this.#pending.request.id, null)
    if (this.#pending.ended || this.#refuseIfQuarantined()) {
      if (kvCache !== null) freeKvCache(this.#context, kvCache)
      return null
    }
    let result = await this.#sendToDecode(decodeServer, kvCache)
    if (result.outcome === ExchangeOutcome.NotSent && kvCache !== null) this.#prefill.keepUnused(kvCache)
    if (result.outcome === ExchangeOutcome.Rejected && kvCache !== null && !this.#pending.ended && await this.#mayRepeat(decodeServer)) {
      // The prefill runner may have evicted the KV cache of the prompt, so the decode runner computes the prompt itself.
      logFailedSend(this.#context, this.#pending, decodeServer, result)
      result = await this.#sendToDecode(decodeServer, null)
    }
    return await this.#relayResult(decodeServer, result)
  }

  /** Relays the stream of a runner's response. Returns the outcome that made this attempt fail, or null if the request has ended. */
  async #relayResult (decodeServer: BackendServer, result: SendResult): Promise<Exclude<ExchangeOutcome, ExchangeOutcome.Answered> | null> {
    const pending = this.#pending
    if (pending.ended) return null
    if (result.outcome === ExchangeOutcome.Answered) return await this.#relay(decodeServer, result.head)
    logFailedSend(this.#context, pending, decodeServer, result)
    if (!this.#isPaused(decodeServer.id)) this.#context.placer.recordRunnerFailure(pending.service, decodeServer.id)
    if (result.outcome === ExchangeOutcome.Broken && await this.#endIfRunnerCrashed(decodeServer)) return null
    return result.outcome
  }

  /** Whether the request may be sent to the decode runner once more. The placement allowed for one send only. */
  async #mayRepeat (decodeServer: BackendServer): Promise<boolean> {
    if (await sendWaitMs(this.#context, this.#pending, decodeServer) !== null) return false
    return !this.#pending.ended && this.#context.retryBudget.tryConsume(this.#pending.service)
  }

  async #sendToDecode (decodeServer: BackendServer, kvCache: KvCacheHandle | null): Promise<SendResult> {
    const pending = this.#pending
    const deadlineMs = pending.remainingMs()
    this.#sending = true
    this.#sentToDecodeMs = this.#context.nowMs()
    const result = await sendToServer(this.#context, pending, {
      request: pending.request,
      backend: decodeServer,
      deadlineMs,
      headTimeoutMs: deadlineMs,
      ownConnection: true,
      priority: pending.priority,
      kvCache,
      lastEventId: this.#eventSplitter.lastEventId
    })
    this.#sending = false
    return result
  }

  async #relay (decodeServer: BackendServer, head: ResponseHead): Promise<Exclude<ExchangeOutcome, ExchangeOutcome.Answered> | null> {
    const pending = this.#pending
    const eventsBefore = this.#eventSplitter.eventCount
    // The caller has received the head and events of an earlier runner, so the error of this one can't be passed on.
    if (pending.headSent && head.status >= FIRST_UNSUCCESSFUL_STATUS) {
      this.#rejectFailedResumption(decodeServer, head)
      return ExchangeOutcome.Failed
    }
    if (head.status >= FIRST_UNSUCCESSFUL_STATUS) return await this.#passOnFailure(head)
    if (!pending.headSent) pending.sendHead(head)
    const end = await this.#copyEvents(decodeServer, head, eventsBefore)
    if (pending.ended) {
      chargeAtTimeout(this.#context, pending, decodeServer)
      return null
    }
    const events = this.#eventSplitter.eventCount - eventsBefore
    if (end === RelayEnd.Complete) {
      if (events < EVENTS_OF_SUCCESSFUL_START) this.#context.quarantine.recordSuccess(this.#promptStart())
      pending.complete()
      return null
    }
    if (end === RelayEnd.Moved) return await this.#relayTakeover(decodeServer, events)
    this.#context.log.warn('stream.broken', {
      request: pending.request.id,
      route: pending.route.name,
      server: decodeServer.id,
      end,
      reset: head.wasReset(),
      silentMs: this.#silentMs(),
      lastEvent: this.#eventSplitter.lastEventId ?? '',
      events,
      parts: pending.request.generationParameters?.sharedParts.join() ?? '',
      resumable: pending.route.resumable
    })
    this.#context.health.recordFailure(decodeServer, ExchangeOutcome.Broken)
    this.#context.placer.recordRunnerFailure(pending.service, decodeServer.id)
    this.#eventSplitter.discardPartialEvent()
    if (end === RelayEnd.Broken && events < EVENTS_OF_SUCCESSFUL_START && await this.#endIfRunnerCrashed(decodeServer)) return null
    return ExchangeOutcome.Broken
  }

  /** Goes on with the response of the runner that has taken the stream over. */
  async #relayTakeover (from: BackendServer, events: number): Promise<Exclude<ExchangeOutcome, ExchangeOutcome.Answered> | null> {
    const takeover = this.#takeover
    this.#takeover = null
    if (takeover === null) return ExchangeOutcome.Broken
    const pending = this.#pending
    this.#context.log.info('stream.moved', {
      request: pending.request.id,
      route: pending.route.name,
      server: from.id,
      to: takeover.decodeServer.id,
      silentMs: this.#silentMs(),
      lastEvent: this.#eventSplitter.lastEventId ?? '',
      events
    })
    this.#eventSplitter.discardPartialEvent()
    this.#excluded.push(takeover.decodeServer.id)
    this.#context.placer.recordPrefillDone(pending.request.id, null)
    const result = await takeover.response
    // The first runner was cut before this one had decided, and is the one runner that does not count as a further attempt.
    if (result.outcome !== ExchangeOutcome.Answered && provesNotRun(result.outcome) && !pending.ended && this.#context.backends.accepts(from) && await this.#mayRepeat(from)) {
      logFailedSend(this.#context, pending, takeover.decodeServer, result)
      if (this.#refuseIfQuarantined()) return null
      return await this.#relayResult(from, await this.#sendToDecode(from, null))
    }
    return await this.#relayResult(takeover.decodeServer, result)
  }

  #silentMs (): number {
    return Math.round(this.#context.nowMs() - this.#lastBytesMs)
  }

  /** Sends a runner's failure to the caller once it is complete: after the head alone, an incomplete one could only be aborted. */
  async #passOnFailure (head: ResponseHead): Promise<ExchangeOutcome.Broken | null> {
    const pending = this.#pending
    const body = await readBody(head, { limitBytes: MAX_BUFFERED_BODY_BYTES, buffers: pending.responder.buffers })
    if (pending.ended) return null
    if (body === null) return ExchangeOutcome.Broken
    pending.sendHead(head, body.length)
    for (const part of body.parts()) pending.responder.write(part)
    pending.complete()
    return null
  }

  #rejectFailedResumption (decodeServer: BackendServer, { status, message }: ResponseHead): void {
    const pending = this.#pending
    message.destroy()
    this.#context.health.recordFailure(decodeServer, ExchangeOutcome.Failed)
    this.#context.placer.recordRunnerFailure(pending.service, decodeServer.id)
    logFailedSend(this.#context, pending, decodeServer, { outcome: ExchangeOutcome.Failed, detail: `status ${status} after the stream had begun` })
  }

  #watchSilence (decodeServer: BackendServer, relayed: RelayedStream): SilenceWatch {
    const { placer, log } = this.#context
    const pending = this.#pending
    const fields = { request: pending.request.id, route: pending.route.name, server: decodeServer.id }
    return new SilenceWatch({
      silenceMs: RESUME_AFTER_SILENCE_MS,
      seek: () => {
        if (!this.#mayMove()) return null
        log.info('stream.silent', { ...fields, silentMs: this.#silentMs(), lastEvent: this.#eventSplitter.lastEventId ?? '' })
        placer.recordRunnerFailure(pending.service, decodeServer.id)
        return placer.placeAlternative(pending, this.#silentMs())
      },
      move: async (placement, isSilent) => this.#obstacleToMove(decodeServer, placement) ?? await this.#move(placement, isSilent, relayed),
      onKept: (reason) => log.info('stream.kept', { ...fields, silentMs: this.#silentMs(), reason }),
      onMoved: () => relayed.stop(RelayEnd.Moved),
      log
    })
  }

  #mayMove (): boolean {
    const { ended, sentTo, route } = this.#pending
    return !ended && sentTo.size < route.attempts && this.#context.quarantine.find(this.#sharedParts) === null
  }

  /** Why the stream can't move to this place. If it can, a retry is consumed for it. */
  #obstacleToMove (decodeServer: BackendServer, { decode }: Placement): string | null {
    const { backends, retryBudget } = this.#context
    const next = backends.get(decode)
    if (decode === decodeServer.id) return 'same-runner'
    if (next === undefined || !backends.accepts(next)) return 'runner-left'
    if (this.#isPaused(next.id)) return 'runner-paused'
    if (!this.#mayMove()) return 'not-allowed'
    return retryBudget.tryConsume(this.#pending.service) ? null : 'retry-budget'
  }

  /** Sends the request to another runner, and returns why that did not take the stream over, or null. The present stream stays open until then. */
  async #move ({ prefill, decode }: Placement, isSilent: () => boolean, relayed: RelayedStream): Promise<string | null> {
    const { backends, log } = this.#context
    const kvCache = await this.#prefill.tryCompute(prefill)
    const next = backends.get(decode)
    if (next === undefined || !backends.accepts(next) || this.#isPaused(next.id) || !isSilent() || !this.#mayMove()) {
      if (kvCache !== null) freeKvCache(this.#context, kvCache)
      return 'not-needed'
    }
    relayed.hold()
    const response = this.#sendToDecode(next, kvCache)
    const decided = await Promise.race([response, delay(TAKEOVER_DECISION_MS)])
    if (decided === undefined || (decided.outcome === ExchangeOutcome.Answered && decided.head.status < FIRST_UNSUCCESSFUL_STATUS)) {
      this.#takeover = { decodeServer: next, response }
      return null
    }
    if (decided.outcome === ExchangeOutcome.Answered) decided.head.message.destroy()
    else logFailedSend(this.#context, this.#pending, next, decided)
    if (kvCache !== null && decided.outcome !== ExchangeOutcome.Answered && provesNotRun(decided.outcome)) freeKvCache(this.#context, kvCache)
    relayed.release()
    log.info('stream.rejected', { request: this.#pending.request.id, server: decode, outcome: decided.outcome })
    return decided.outcome
  }

  #copyEvents (decodeServer: BackendServer, { message, isComplete }: ResponseHead, eventsBefore: number): Promise<RelayEnd> {
    const { placer, log, quarantine } = this.#context
    const sharedParts = this.#sharedParts
    const pending = this.#pending
    const { responder, route } = pending
    this.#lastBytesMs = this.#context.nowMs()
    return new Promise((resolve) => {
      let begun = false
      let streamBytes = 0
      const relayed = new RelayedStream({
        message,
        onEnd: (end) => {
          silence?.stop()
          resolve(end)
        }
      })
      const silence = route.resumable ? this.#watchSilence(decodeServer, relayed) : null
      message.on('data', (chunk: Buffer) => {
        this.#lastBytesMs = this.#context.nowMs()
        pending.recordPart()
        const eventsSoFar = this.#eventSplitter.eventCount
        const completeEvents = this.#eventSplitter.push(chunk)
        // Bytes that complete no event are no progress: a stalled runner may send one now and then.
        if (this.#eventSplitter.eventCount > eventsSoFar) silence?.restart()
        streamBytes += chunk.length
        if (streamBytes > MAX_STREAM_BYTES || this.#eventSplitter.partialBytes > MAX_EVENT_BYTES) {
          log.warn('stream.oversized', { request: pending.request.id, server: decodeServer.id, bytes: streamBytes, eventBytes: this.#eventSplitter.partialBytes })
          relayed.stop(RelayEnd.GivenUp)
          return
        }
        placer.recordProgress(pending.request.id, this.#eventSplitter.lastEventId)
        if (begun) quarantine.recordProgress({ service: pending.service, parts: sharedParts })
        if (!begun && this.#eventSplitter.eventCount - eventsBefore >= EVENTS_OF_SUCCESSFUL_START) {
          begun = true
          quarantine.recordSuccess(this.#promptStart())
        }
        const bytes = route.resumable ? completeEvents : chunk
        if (bytes.length === 0 || pending.ended || responder.write(bytes)) return
        // The stream pauses because the caller reads slowly, not because the runner is silent.
        silence?.stop()
        relayed.pauseForCaller()
        responder.buffers.add(bytes.length)
        responder.onDrain(() => {
          responder.buffers.add(-bytes.length)
          if (relayed.resumeForCaller()) silence?.restart()
        })
      })
      message.on('end', () => {
        const { partialEvent, partialBytes, insideEvent } = this.#eventSplitter
        // Every run makes an event, so only a resumed stream may end without another one.
        const isEmpty = streamBytes === 0 && this.#eventSplitter.lastEventId === null
        const complete = isComplete() && !insideEvent && !isEmpty
        if (complete && route.resumable && partialBytes > 0 && !pending.ended) responder.write(partialEvent)
        relayed.settle(complete ? RelayEnd.Complete : RelayEnd.Broken)
      })
      message.on('error', () => relayed.settle(RelayEnd.Broken))
      message.on('close', () => relayed.settle(RelayEnd.Broken))
      silence?.restart()
    })
  }
}

function delay (ms: number): Promise<undefined> {
  return new Promise((resolve) => setTimeout(resolve, ms, undefined))
}
