import { CallEventKind } from '../calls/call-event.js'
import type { RefusalKind } from '../errors/refusal.js'
import { RequestEventKind } from '../requests/request-event.js'
import type { EntryModel, Exchange } from './entry-model.js'
import type { FleetModel } from './fleet-model.js'
import { type HistoryRecord, RecordKind } from './history.js'

export interface ModelCall {
  organisation: string
  subject: string
  pieces: string[]
  promptTokens: number
  maxTokens: number
  stream: boolean
}

export interface ServiceCall {
  organisation: string
  route: string
  key: string | null
  body: string
}

/** Callers of the modelled fleet: send requests and calls and record what they see. */
export class CallerModel {
  readonly #fleet: FleetModel
  #lastAttempt = 0

  constructor (fleet: FleetModel) {
    this.#fleet = fleet
  }

  /** Sends a model request; returns the attempt's name. */
  request (entry: EntryModel, call: ModelCall): string {
    const { organisation, subject, pieces, promptTokens, maxTokens, stream } = call
    const attempt = this.#nextAttempt()
    const expectedTokens = Array.from({ length: maxTokens }, (_, index) => `${subject}#${index}`)
    this.#fleet.history.add(RecordKind.RequestSent, { attempt, subject, entry: entry.self.id, expectedTokens, count: promptTokens })
    this.#exchange(entry, attempt, { subject, stream, body: '' }, RecordKind.RequestAnswered, RecordKind.RequestRefused, (id) => {
      entry.emit({ kind: RequestEventKind.RequestArrived, request: id, organisation, model: this.#fleet.options.model, promptTokens, pieces, maxTokens })
    })
    return attempt
  }

  /** Sends a call to a plain service. */
  call (entry: EntryModel, { organisation, route, key, body }: ServiceCall): string {
    const attempt = this.#nextAttempt()
    const subject = key === null ? `repeatable/${attempt}` : `${organisation}/${key}`
    this.#fleet.history.add(RecordKind.CallSent, { attempt, subject, entry: entry.self.id, body })
    this.#exchange(entry, attempt, { subject, stream: false, body }, RecordKind.CallAnswered, RecordKind.CallRefused, (id) => {
      entry.calls.payloads.set(id, {
        method: 'POST',
        url: subject,
        contentType: attempt,
        body: Buffer.from(body),
        reply: { answer: (answer) => entry.answer(id, [Buffer.from(answer.body).toString()]), refuse: ({ kind }) => entry.refuse(id, kind) },
        answer: null
      })
      entry.emit({ kind: CallEventKind.CallArrived, call: id, organisation, route, key, bodyHash: body, forwardedBy: null })
    })
    return attempt
  }

  /** The caller closes its connection. */
  leave (entry: EntryModel, attempt: string): void {
    const found = [...entry.exchanges].find(([, exchange]) => exchange.attempt === attempt)
    if (found === undefined) return
    this.#fleet.history.add(RecordKind.CallerGone, { attempt, subject: found[1].subject })
    entry.exchanges.delete(found[0])
    entry.emit({ kind: RequestEventKind.CallerDisconnected, request: found[0] })
    entry.emit({ kind: CallEventKind.CallerDisconnected, call: found[0] })
  }

  #exchange (entry: EntryModel, attempt: string, about: Pick<Exchange, 'body' | 'stream' | 'subject'>, answered: RecordKind, refused: RecordKind, arrive: (id: string) => void): void {
    const { clock, history } = this.#fleet
    const sentMs = clock.nowMs
    const id = entry.nextId()
    const fields: Omit<HistoryRecord, 'atMs' | 'kind'> = { attempt, subject: about.subject, entry: entry.self.id }
    const exchange: Exchange = {
      ...about,
      attempt,
      tokens: [],
      firstTokenMs: undefined,
      onAnswer: (tokens) => history.add(answered, { ...fields, tokens, firstTokenMs: (exchange.firstTokenMs ?? clock.nowMs) - sentMs }),
      onRefusal: (refusal) => history.add(refused, { ...fields, refusal: refusal as RefusalKind }),
      onLost: () => history.add(RecordKind.ConnectionLost, fields)
    }
    if (!entry.alive) {
      exchange.onLost()
      return
    }
    clock.schedule(this.#fleet.options.networkDelayMs, () => {
      if (!entry.alive) {
        exchange.onLost()
        return
      }
      entry.exchanges.set(id, exchange)
      arrive(id)
    })
  }

  #nextAttempt (): string {
    this.#lastAttempt += 1
    return `attempt-${this.#lastAttempt}`
  }
}
