import * as z from 'zod'
import type { Board } from '../board/board.js'
import type { Event } from '../core/event.js'
import { acceptsWork } from '../drain/accepts-work.js'
import { RefusalKind } from '../errors/refusal.js'
import { RequestActionKind } from '../requests/request-action.js'
import { RequestEventKind } from '../requests/request-event.js'
import { promptPieces } from '../requests/prompt-pieces.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import type { CallerHandler } from './caller-listener.js'
import type { Payload, Payloads } from './payloads.js'
import { sendRefusal } from './refusal-response.js'
import { RequestError } from './request-error.js'
import { endTokenStream } from './token-stream.js'

const completionSchema = z.object({
  model: z.string(),
  prompt: z.string().min(1),
  max_tokens: z.int().positive(),
  stream: z.boolean().default(false)
})

interface CompletionOptions {
  board: Board
  payloads: Payloads
  emit: (event: Event) => void
  nextId: () => string
}

/** Handles `POST /v1/completions`: validates the request and passes it to the core as an event. */
export function completionHandler ({ board, payloads, emit, nextId }: CompletionOptions): CallerHandler {
  return ({ organisation, response, body }) => {
    if (!acceptsWork(board, Date.now())) throw new RequestError(RefusalKind.Draining, 'this instance is shutting down')
    const fields = parseCompletion(body)
    const model = board.bundle?.index.models.get(fields.model)
    if (model === undefined) throw new RequestError(RefusalKind.UnknownModel, `the bundle names no model ${fields.model}`)
    const promptTokens = Math.ceil(Buffer.byteLength(fields.prompt) / model.bytesPerToken)
    if (promptTokens > model.maxPromptTokens) throw new RequestError(RefusalKind.PromptTooLong, `about ${promptTokens} tokens, the limit is ${model.maxPromptTokens}`)
    const maxTokens = Math.min(fields.max_tokens, model.maxOutputTokens)
    const request = nextId()
    payloads.set(request, { prompt: fields.prompt, model: model.name, stream: fields.stream, response, tokens: [], delivered: 0, arrivedMs: Date.now(), connection: 0 })
    response.on('close', () => {
      payloads.delete(request)
      if (!response.writableFinished) emit({ kind: RequestEventKind.CallerDisconnected, request })
    })
    const pieces = promptPieces(fields.prompt, model.pieceTokens * model.bytesPerToken)
    emit({ kind: RequestEventKind.RequestArrived, request, organisation: organisation.id, model: model.name, promptTokens, pieces, maxTokens, stream: fields.stream })
  }
}

function parseCompletion (body: Buffer): z.infer<typeof completionSchema> {
  let value: unknown
  try {
    value = JSON.parse(body.toString('utf8'))
  } catch {
    throw new RequestError(RefusalKind.MalformedBody, 'the body is not JSON')
  }
  const parsed = completionSchema.safeParse(value)
  if (!parsed.success) throw new RequestError(RefusalKind.MalformedBody, z.prettifyError(parsed.error).replaceAll('\n', ' '))
  return parsed.data
}

/** Action handlers that send the core's answers and refusals to callers of model requests. */
export function completionActions (payloads: Payloads): ActionHandlers {
  return {
    [RequestActionKind.AnswerRequest]: ({ request, tokens }) => {
      const payload = payloads.get(request)
      if (payload === undefined) return
      invalidateConnection(payload)
      if (payload.tokens.length !== tokens) {
        const detail = `${payload.tokens.length} of ${tokens} tokens are present`
        sendRefusal(payload.response, { kind: RefusalKind.StreamLost, detail })
        return
      }
      if (payload.stream) endTokenStream(payload, request)
      else sendCompletion(payload, request, tokens)
    },
    [RequestActionKind.RefuseRequest]: ({ request, refusal, detail, retryAfterMs }) => {
      const payload = payloads.get(request)
      if (payload === undefined) return
      invalidateConnection(payload)
      sendRefusal(payload.response, { kind: refusal, detail, retryAfterMs })
    }
  }
}

/** Invalidates the decode connection, so that tokens still arriving on it are not appended after the end of the answer. */
function invalidateConnection (payload: Payload): void {
  payload.connection += 1
}

function sendCompletion (payload: Payload, request: string, tokens: number): void {
  const text = JSON.stringify({
    id: request,
    object: 'text_completion',
    model: payload.model,
    choices: [{ index: 0, text: payload.tokens.join(''), finish_reason: 'length' }],
    usage: { completion_tokens: tokens }
  })
  payload.response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  payload.response.end(text)
}
