import { createHash } from 'node:crypto'
import type { Board } from '../board/board.js'
import { CallActionKind } from '../calls/call-action.js'
import { CallEventKind } from '../calls/call-event.js'
import type { Event } from '../core/event.js'
import { RefusalKind } from '../errors/refusal.js'
import { ServerEventKind } from '../placement/server-event.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import { type CallPayloads, MAX_FORWARD_BYTES, replyToCaller } from './call-payload.js'
import type { CallerHandler } from './caller-listener.js'
import { isLeavingAnswer } from './leaving-answer.js'
import { RequestError } from './request-error.js'
import { sendToService } from './service-client.js'

export type { CallPayload, CallPayloads } from './call-payload.js'

/** An idempotency key: 1 to 128 visible ASCII characters. */
const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/

/** Printable ASCII; other values can't be forwarded to a backend server in a header. */
const CONTENT_TYPE_PATTERN = /^[\x20-\x7e]{1,256}$/

const NO_BODY = new Uint8Array()

interface CallOptions {
  board: Board
  calls: CallPayloads
  emit: (event: Event) => void
  nextId: () => string
}

/** Returns the key if it is a valid idempotency key; otherwise throws a RequestError. */
export function checkKey (key: unknown): string {
  if (typeof key === 'string' && KEY_PATTERN.test(key)) return key
  throw new RequestError(RefusalKind.KeyMalformed, String(key).slice(0, 128))
}

/** Handles calls on routes of the bundle: validates the call and passes it to the core as an event. */
export function callHandler ({ board, calls, emit, nextId }: CallOptions): CallerHandler {
  return ({ organisation, request, response, path, body }) => {
    const method = request.method ?? 'GET'
    const url = request.url ?? path
    const route = board.bundle?.index.routeOf(method, path)
    if (route === undefined) throw new RequestError(RefusalKind.UnknownRoute, `${method} ${path}`)
    const header = request.headers['idempotency-key']
    const key = header === undefined ? null : checkKey(header)
    if (!route.repeatable && body.length > MAX_FORWARD_BYTES) throw new RequestError(RefusalKind.BodyTooLarge, `the limit of this route is ${MAX_FORWARD_BYTES} bytes`)
    const contentType = request.headers['content-type'] ?? 'application/json'
    if (!CONTENT_TYPE_PATTERN.test(contentType)) throw new RequestError(RefusalKind.MalformedRequest, 'the content type is not printable')
    const call = nextId()
    calls.set(call, { method, url, contentType, body, reply: replyToCaller(response), answer: null })
    response.on('close', () => {
      if (!response.writableFinished) emit({ kind: CallEventKind.CallerDisconnected, call })
    })
    const bodyHash = createHash('sha256').update(`${method} ${url}\n`).update(body).digest('hex')
    emit({ kind: CallEventKind.CallArrived, call, organisation: organisation.id, route: route.name, key, bodyHash, forwardedBy: null })
  }
}

/** Action handlers that send calls to backend servers and return the responses to the senders of the calls. */
export function callActions ({ board, calls, emit }: Omit<CallOptions, 'nextId'>): ActionHandlers {
  return {
    [CallActionKind.SendCall]: async ({ call, server, key, timeoutMs }) => {
      const payload = calls.get(call)
      const address = board.servers.get(server)?.address
      if (payload === undefined || address === undefined) {
        emit({ kind: CallEventKind.CallFailed, call, server, sent: false })
        return
      }
      const outcome = await sendToService({ address, payload, key, timeoutMs })
      if (outcome.err) {
        emit({ kind: CallEventKind.CallFailed, call, server, sent: outcome.val.sent })
        return
      }
      const { status, body } = outcome.val
      if (isLeavingAnswer(status, Buffer.from(body).toString('utf8'))) {
        emit({ kind: ServerEventKind.ServerLeaving, server })
        emit({ kind: CallEventKind.CallFailed, call, server, sent: false })
        return
      }
      payload.answer = outcome.val
      emit({ kind: CallEventKind.CallFinished, call, server, status, succeeded: status < 400, bytes: body.length })
    },
    [CallActionKind.AnswerCall]: ({ call, source, replayed }) => {
      const answer = calls.get(source)?.answer
      const reply = calls.get(call)?.reply
      if (reply === undefined || reply === null) return
      if (answer === undefined || answer === null) reply.refuse({ kind: RefusalKind.OutcomeUnknown, detail: 'the answer is no longer stored' })
      else reply.answer(answer, replayed)
    },
    [CallActionKind.RefuseCall]: ({ call, refusal, detail, retryAfterMs }) => {
      calls.get(call)?.reply?.refuse({ kind: refusal, detail, retryAfterMs })
    },
    [CallActionKind.ReleaseCall]: ({ call, keepAnswer }) => {
      const payload = calls.get(call)
      if (!keepAnswer || payload === undefined) calls.delete(call)
      else calls.set(call, { ...payload, body: NO_BODY, reply: null })
    }
  }
}
