import type { Payload } from './payloads.js'

/** Writes the tokens that have not been written to the caller's event stream yet; does nothing if the caller wants no stream. */
export function deliverTokens (payload: Payload, request: string): void {
  if (!payload.stream) return
  if (!payload.response.headersSent) payload.response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
  for (; payload.delivered < payload.tokens.length; payload.delivered += 1) {
    const choice = { index: 0, text: payload.tokens[payload.delivered], finish_reason: null }
    payload.response.write(`data: ${JSON.stringify({ id: request, object: 'text_completion', model: payload.model, choices: [choice] })}\n\n`)
  }
}

/** Writes the remaining tokens and the end marker to the caller's event stream, and ends it. */
export function endTokenStream (payload: Payload, request: string): void {
  deliverTokens(payload, request)
  const choice = { index: 0, text: '', finish_reason: 'length' }
  payload.response.write(`data: ${JSON.stringify({ id: request, object: 'text_completion', model: payload.model, choices: [choice] })}\n\n`)
  payload.response.end('data: [DONE]\n\n')
}
