import { Agent, request } from 'undici'
import * as z from 'zod'
import { Err, Ok, type Result } from '../errors/result.js'
import { isLeavingAnswer } from './leaving-answer.js'
import { StageFailure } from '../requests/request-event.js'

/** Connection pools for outgoing calls, with up to 256 connections to each server. Pipelining is off, so that a slow answer blocks no other. */
export const agent = new Agent({ connections: 256, pipelining: 1, connectTimeout: 1000, keepAliveTimeout: 10000 })

/** Error of a call that received no valid answer with status 200; `status` is 0 if no complete answer was received or the answer is not JSON. */
export interface CallError {
  failure: StageFailure
  status: number
  detail: string
}

const UNREACHABLE_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

const FAILURE_BY_STATUS: Record<number, StageFailure> = {
  409: StageFailure.Full,
  410: StageFailure.Evicted,
  500: StageFailure.Broken,
  502: StageFailure.SourceUnreachable,
  503: StageFailure.Full
}

const TIMEOUT_CODES = new Set(['UND_ERR_BODY_TIMEOUT', 'UND_ERR_HEADERS_TIMEOUT'])

/** Whether the error shows that the call can't have reached the server. */
export function isUnreachable (error: unknown): boolean {
  const code = (error as { code?: string }).code ?? ''
  return UNREACHABLE_CODES.has(code)
}

/** Converts an exception thrown by a call to its error. */
export function toCallError (error: unknown): CallError {
  const timedOut = TIMEOUT_CODES.has((error as { code?: string }).code ?? '')
  const connectedFailure = timedOut ? StageFailure.TimedOut : StageFailure.Broken
  const failure = isUnreachable(error) ? StageFailure.Unreachable : connectedFailure
  return { failure, status: 0, detail: error instanceof Error ? error.message : String(error) }
}

interface JsonCall<S extends z.ZodType> {
  url: string
  /** Schema of the answer; an answer that does not match it counts as broken. */
  schema: S
  method?: 'GET' | 'POST'
  body?: unknown
  timeoutMs: number
}

/** Sends a JSON call and reads a JSON answer. */
export async function callJson<S extends z.ZodType> ({ url, schema, method = 'GET', body, timeoutMs }: JsonCall<S>): Promise<Result<z.infer<S>, CallError>> {
  try {
    const answer = await request(url, {
      method,
      dispatcher: agent,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } })
    })
    const text = await answer.body.text()
    if (answer.statusCode !== 200) return Err({ failure: failureOf(answer.statusCode, text), status: answer.statusCode, detail: text.slice(0, MAX_DETAIL_LENGTH) })
    const parsed = schema.safeParse(JSON.parse(text))
    if (parsed.success) return Ok(parsed.data)
    return Err({ failure: StageFailure.Broken, status: answer.statusCode, detail: z.prettifyError(parsed.error) })
  } catch (error) {
    return Err(toCallError(error))
  }
}

function failureOf (status: number, text: string): StageFailure {
  if (isLeavingAnswer(status, text)) return StageFailure.Leaving
  return FAILURE_BY_STATUS[status] ?? StageFailure.Rejected
}

/** Characters of a server's error text that are kept. */
const MAX_DETAIL_LENGTH = 200
