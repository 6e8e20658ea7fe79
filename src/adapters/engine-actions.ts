import { ReservationActionKind } from '../reservations/reservation-action.js'
import { ReservationEventKind } from '../reservations/reservation-event.js'
import type { Board } from '../board/board.js'
import { workId } from '../board/model-request.js'
import type { Event } from '../core/event.js'
import { RequestActionKind } from '../requests/request-action.js'
import { RequestEventKind, StageFailure } from '../requests/request-event.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import { readDecode } from './decode-stream.js'
import { cancelAnswer, importAnswer, prefillAnswer, streamsAnswer } from './engine-schemas.js'
import { callJson } from './http-call.js'
import type { Payloads } from './payloads.js'

/** Timeout of calls that cancel work or list streams. */
const CONTROL_TIMEOUT_MS = 1000

export interface EngineActionOptions {
  board: Board
  payloads: Payloads
  emit: (event: Event) => void
}

/** Action handlers that run stages of model requests on engines and emit events with the results. */
export function engineActions (options: EngineActionOptions): ActionHandlers {
  const { board, payloads, emit } = options
  const url = (server: string, path: string): string => `http://${board.servers.get(server)?.address}${path}`
  const owner = { owner: board.self.id, incarnation: board.self.incarnation }
  return {
    [RequestActionKind.StartPrefill]: async ({ request, attempt, server, priority, timeoutMs }) => {
      const payload = payloads.get(request)
      if (payload === undefined) {
        emit({ kind: RequestEventKind.PrefillFailed, request, attempt, failure: StageFailure.Unreachable })
        return
      }
      const body = { request_id: workId({ id: request, attempt }), ...owner, prompt: payload.prompt, model: payload.model, priority }
      const answer = await callJson({ url: url(server, '/v1/prefill'), schema: prefillAnswer, method: 'POST', body, timeoutMs })
      if (answer.err) {
        emit({ kind: RequestEventKind.PrefillFailed, request, attempt, failure: answer.val.failure })
        return
      }
      emit({
        kind: RequestEventKind.PrefillFinished,
        request,
        attempt,
        handle: answer.val.handle,
        computedTokens: answer.val.computed_tokens,
        cachedTokens: answer.val.cached_tokens,
        expiresMs: Date.now() + answer.val.expires_in_ms
      })
    },
    [RequestActionKind.StartTransfer]: async ({ request, attempt, server, source, handle, promptTokens, maxTokens, timeoutMs }) => {
      const body = { request_id: workId({ id: request, attempt }), ...owner, handle, source, tokens: promptTokens, max_tokens: maxTokens }
      const answer = await callJson({ url: url(server, '/v1/import'), schema: importAnswer, method: 'POST', body, timeoutMs })
      if (answer.err) emit({ kind: RequestEventKind.TransferFailed, request, attempt, failure: answer.val.failure })
      else emit({ kind: RequestEventKind.TransferFinished, request, attempt })
    },
    [RequestActionKind.StartDecode]: async (action) => {
      const payload = payloads.get(action.request)
      if (payload === undefined) return
      await readDecode({ url: url(action.server, '/v1/decode'), action, payload, emit })
    },
    [RequestActionKind.CancelWork]: async ({ work, server, cancel }) => {
      const answer = await callJson({ url: url(server, '/v1/cancel'), schema: cancelAnswer, method: 'POST', body: { request_id: work }, timeoutMs: CONTROL_TIMEOUT_MS })
      if (answer.ok) emit({ kind: RequestEventKind.CancelConfirmed, work, server, cancel })
    },
    [ReservationActionKind.ListStreams]: async ({ server }) => {
      const answer = await callJson({ url: url(server, '/v1/streams'), schema: streamsAnswer, timeoutMs: CONTROL_TIMEOUT_MS })
      if (answer.err) {
        emit({ kind: ReservationEventKind.StreamsUnreadable, server })
        return
      }
      emit({
        kind: ReservationEventKind.StreamsListed,
        server,
        totalPieces: answer.val.total_pieces,
        freePieces: answer.val.free_pieces,
        streams: answer.val.streams.map(({ request_id: work, ...stream }) => ({ work, ...stream }))
      })
    }
  }
}
