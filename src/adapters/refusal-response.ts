import type { ServerResponse } from 'node:http'
import { refusalDescriptions, type RefusalKind } from '../errors/refusal.js'

export interface Refusal {
  kind: RefusalKind
  detail: string
  retryAfterMs?: number
}

/** The JSON body of a refusal. */
export function refusalBody ({ kind, detail }: Refusal): { error: Record<string, string> } {
  const { class: refusalClass, remedy } = refusalDescriptions[kind]
  return { error: { kind, class: refusalClass, detail, remedy } }
}

/** Sends a refusal to a caller. An event stream that has started gets the refusal as its last event, without the end marker. */
export function sendRefusal (response: ServerResponse, refusal: Refusal): void {
  const text = JSON.stringify(refusalBody(refusal))
  if (response.headersSent) {
    response.end(`event: error\ndata: ${text}\n\n`)
    return
  }
  const headers: Record<string, string | number> = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }
  if (refusal.retryAfterMs !== undefined) headers['retry-after'] = Math.max(1, Math.ceil(refusal.retryAfterMs / 1000))
  response.writeHead(refusalDescriptions[refusal.kind].status, headers)
  response.end(text)
}
