import { forwardActions, forwardEvents } from '../adapters/call-forwarding.js'
import { callActions } from '../adapters/call-handler.js'
import type { CallPayloads } from '../adapters/call-payload.js'
import type { PeerEnvelope } from '../adapters/peer-message.js'
import { CallActionKind, type ClaimKey, type RecordOutcome, type SendCall } from '../calls/call-action.js'
import { CallEventKind, CallOutcome } from '../calls/call-event.js'
import type { Event } from '../core/event.js'
import { RefusalKind } from '../errors/refusal.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import type { EntryModel } from './entry-model.js'
import type { FleetModel } from './fleet-model.js'
import { CallEnd } from './key-value-model.js'

interface KeyRecord {
  instance: string
  incarnation: string
  nonce: string
  bodyHash: string
  outcome: CallOutcome
}

/** A claim that is not settled by then is given up. */
const CLAIM_LIMIT_MS = 3000

const READ_BACK_PAUSE_MS = 100

/** Carries out the calls of one modelled entry instance. Payload fields: `url` is the subject, `contentType` the caller's attempt. */
export class CallsModel {
  readonly payloads: CallPayloads = new Map()
  readonly #entry: EntryModel
  readonly #fleet: FleetModel

  constructor (options: { entry: EntryModel, fleet: FleetModel }) {
    this.#entry = options.entry
    this.#fleet = options.fleet
  }

  handlers (send: (to: string, message: PeerEnvelope['message']) => void): ActionHandlers {
    const options = { board: this.#entry.board, calls: this.payloads, peers: { send }, emit: (event: Event) => this.#entry.emit(event) }
    return {
      ...callActions(options),
      ...forwardActions(options),
      [CallActionKind.SendCall]: (action) => this.#send(action),
      [CallActionKind.ClaimKey]: (action) => this.#claim(action, this.#fleet.clock.nowMs + CLAIM_LIMIT_MS, 0),
      [CallActionKind.RecordOutcome]: (action) => this.#settle(action)
    }
  }

  messages (send: (to: string, message: PeerEnvelope['message']) => void): ReturnType<typeof forwardEvents> {
    return forwardEvents({ board: this.#entry.board, calls: this.payloads, peers: { send }, emit: (event) => this.#entry.emit(event) })
  }

  #send ({ call, server, timeoutMs }: SendCall): void {
    const payload = this.payloads.get(call)
    const service = this.#fleet.services.get(server)
    const fail = (sent: boolean): Event => ({ kind: CallEventKind.CallFailed, call, server, sent })
    if (payload === undefined || service === undefined) {
      this.#entry.emit(fail(false))
      return
    }
    let settled = false
    const settle = (event: Event): void => {
      if (settled) return
      settled = true
      this.#entry.emit(event)
    }
    this.#fleet.clock.schedule(timeoutMs, () => settle(fail(true)))
    const back = (then: () => void): void => this.#fleet.toEntry(this.#entry, server, then)
    this.#fleet.toServer(this.#entry, server, () => {
      if (!service.alive) {
        back(() => settle(fail(false)))
        return
      }
      service.run(payload.url, payload.contentType, Buffer.from(payload.body).toString(), (status) => back(() => {
        const body = Buffer.from(`answer-of-${payload.url}`)
        if (!settled) payload.answer = { status, contentType: '', body }
        settle({ kind: CallEventKind.CallFinished, call, server, status, succeeded: status < 400, bytes: body.length })
      }))
    }, () => settle(fail(false)))
  }

  #claim (action: ClaimKey, endMs: number, expectedRevision: number): void {
    const { organisation, key, bodyHash, nonce } = action
    const { id: instance, incarnation } = this.#entry.self
    const record: KeyRecord = { instance, incarnation, nonce, bodyHash, outcome: CallOutcome.InFlight }
    this.#fleet.keyValue.compareAndSwap(pathOf(organisation, key), record, expectedRevision, (end, swapped) => {
      if (!this.#entry.alive) return
      if (end === CallEnd.Failed) this.#unrecorded(action)
      else if (end === CallEnd.Done && swapped) this.#entry.emit({ kind: CallEventKind.KeyClaimed, organisation, key, nonce })
      else this.#readBack(action, endMs)
    })
  }

  #readBack (action: ClaimKey, endMs: number): void {
    const { clock, keyValue } = this.#fleet
    keyValue.read(pathOf(action.organisation, action.key), (end, found) => {
      if (!this.#entry.alive) return
      if (clock.nowMs >= endMs) this.#unrecorded(action)
      else if (end !== CallEnd.Done) clock.schedule(READ_BACK_PAUSE_MS, () => this.#readBack(action, endMs))
      else this.#judge(action, endMs, found as { value: KeyRecord, revision: number } | undefined)
    })
  }

  #judge (action: ClaimKey, endMs: number, found: { value: KeyRecord, revision: number } | undefined): void {
    const { organisation, key, nonce, bodyHash, abandoned } = action
    if (found === undefined) {
      this.#claim(action, endMs, 0)
      return
    }
    const { value: record, revision } = found
    if (record.nonce === nonce) {
      this.#entry.emit({ kind: CallEventKind.KeyClaimed, organisation, key, nonce })
      return
    }
    const mine = record.incarnation === this.#entry.self.incarnation && abandoned.includes(record.nonce)
    if ((mine || record.outcome === CallOutcome.NotRun) && record.bodyHash === bodyHash) this.#claim(action, endMs, revision)
    else this.#entry.emit({ kind: CallEventKind.KeyAlreadyClaimed, ...record, organisation, key, nonce })
  }

  #unrecorded ({ organisation, key, nonce }: ClaimKey): void {
    this.#entry.emit({ kind: CallEventKind.KeyClaimFailed, organisation, key, nonce, refusal: RefusalKind.KeyStoreUnavailable })
  }

  #settle ({ organisation, key, nonce, outcome }: RecordOutcome): void {
    const { keyValue } = this.#fleet
    keyValue.read(pathOf(organisation, key), (end, found) => {
      const record = found?.value as KeyRecord | undefined
      if (end !== CallEnd.Done || found === undefined || record?.nonce !== nonce) return
      keyValue.compareAndSwap(pathOf(organisation, key), { ...record, outcome }, found.revision, () => undefined)
    })
  }
}

function pathOf (organisation: string, key: string): string {
  return `calls/${organisation}/${key}`
}
