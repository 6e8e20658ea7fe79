import { createInterface } from 'node:readline'
import type { Readable } from 'node:stream'
import { request as httpRequest } from 'undici'
import * as z from 'zod'
import { workId } from '../board/model-request.js'
import type { Event } from '../core/event.js'
import type { StartDecode } from '../requests/request-action.js'
import { RequestEventKind, StageFailure } from '../requests/request-event.js'
import { agent, toCallError } from './http-call.js'
import type { Payload } from './payloads.js'
import { deliverTokens } from './token-stream.js'

/** Longest wait for the response head, and between two reads of a decode stream, in milliseconds; after it the attempt fails as timed out. */
const TOKEN_TIMEOUT_MS = 5000

/** Minimum time between two progress events of a stream, in milliseconds; the first token is always reported. */
const PROGRESS_PERIOD_MS = 100

interface DecodeOptions {
  url: string
  action: StartDecode
  payload: Payload
  emit: (event: Event) => void
}

/** Reads the tokens of one decode attempt into its payload and emits events for progress and for the end of the stream. */
export async function readDecode ({ url, action, payload, emit }: DecodeOptions): Promise<void> {
  const { request, attempt, fromToken, maxTokens, priority } = action
  payload.tokens.length = Math.min(payload.tokens.length, fromToken)
  payload.connection += 1
  const connection = payload.connection
  const fail = (failure: StageFailure): void => {
    if (payload.connection !== connection) return
    emit({ kind: RequestEventKind.DecodeFailed, request, attempt, failure, tokens: payload.tokens.length })
  }
  try {
    const body = JSON.stringify({ request_id: workId({ id: request, attempt }), max_tokens: maxTokens, from_token: fromToken, priority })
    const answer = await httpRequest(url, {
      method: 'POST',
      dispatcher: agent,
      body,
      headers: { 'content-type': 'application/json' },
      headersTimeout: TOKEN_TIMEOUT_MS,
      bodyTimeout: TOKEN_TIMEOUT_MS
    })
    if (answer.statusCode !== 200) {
      await answer.body.dump()
      fail(answer.statusCode === 410 ? StageFailure.Evicted : StageFailure.Rejected)
      return
    }
    const announced = await readLines(answer.body, { action, payload, emit, connection })
    if (payload.connection !== connection) return
    if (announced === null) fail(StageFailure.Broken)
    else emit({ kind: RequestEventKind.DecodeFinished, request, attempt, tokens: payload.tokens.length, announcedTokens: announced })
  } catch (error) {
    fail(toCallError(error).failure)
  }
}

const decodeLine = z.object({
  request_id: z.string(),
  index: z.int().optional(),
  text: z.string().optional(),
  done: z.boolean().optional(),
  tokens: z.int().optional()
})

interface LineOptions extends Omit<DecodeOptions, 'url'> {
  connection: number
}

/**
 * Reads the lines of a decode stream. Returns the token count from the engine's end line, or null if the stream ended
 * without that line, has a line of another request, or is no longer the newest decode connection of the payload.
 */
async function readLines (body: Readable, { action, payload, emit, connection }: LineOptions): Promise<number | null> {
  const work = workId({ id: action.request, attempt: action.attempt })
  let reportedMs = 0
  try {
    for await (const line of createInterface({ input: body })) {
      // A newer connection has replaced this one, or the request has been answered: later tokens must not be appended.
      if (payload.connection !== connection) return null
      const message = decodeLine.parse(JSON.parse(line))
      if (message.request_id !== work) return null
      if (message.done === true) return message.tokens ?? 0
      // Skips a token that does not continue the sequence: a gap in the indices would make the answer incomplete.
      if (message.index !== payload.tokens.length) continue
      payload.firstTokenMs ??= Date.now()
      payload.tokens.push(message.text ?? '')
      deliverTokens(payload, action.request)
      if (reportedMs !== 0 && Date.now() - reportedMs < PROGRESS_PERIOD_MS) continue
      reportedMs = Date.now()
      emit({ kind: RequestEventKind.DecodeProgress, request: action.request, attempt: action.attempt, tokens: payload.tokens.length })
    }
    return null
  } finally {
    body.destroy()
  }
}
