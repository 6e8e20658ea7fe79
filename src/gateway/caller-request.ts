import type { BufferHold } from './buffer-budget.js'
import type { ResponseHead } from './http-exchange.js'
import type { GatewayRefusal } from './refusal.js'

/** Size of a model request, as the caller states it, and the identity of its prompt. */
export interface GenerationParameters {
  promptTokens: number
  maxOutputTokens: number
  /** The caller's estimate of the output length; null if it gave none. */
  estimatedOutputTokens: number | null
  /** Id of the last part of the prompt, which stays the same when the caller retries with a new request id; null if the caller gave none. */
  promptId: string | null
  /** Ids of the prompt's other parts, in their order; other prompts may share them. */
  sharedParts: string[]
}

/** A request from a caller, with its complete body. A retry by the caller is a new request with a new id. */
export interface CallerRequest {
  /** Id that the caller chose; empty if it gave none. */
  id: string
  host: string
  method: string
  /** Path with its query, as received. */
  target: string
  path: string
  /** Alternating names and values, without hop-by-hop headers and headers that only the gateway sets. */
  headers: string[]
  body: Buffer
  /** Time for which the caller waits, in milliseconds from `arrivedMs`; null if it gave none. */
  deadlineMs: number | null
  /** Arrival time on the gateway's monotonic clock, in milliseconds. */
  arrivedMs: number
  /** Id of the last event that the caller received from an interrupted stream; null if the request does not resume a stream. */
  lastEventId: string | null
  /** Hash of the key that the caller sent; null if it sent none. The key itself is not kept. */
  keyHash: string | null
  /** Null if the caller stated no token counts, as for a plain service. */
  generationParameters: GenerationParameters | null
}

/** Sends the response to one request of a caller. */
export interface Responder {
  /** The bytes that this process keeps for the request: its body, and the response until the caller has it. */
  readonly buffers: BufferHold
  /** Sends the head of a server's response; with the number of bytes of the body if it is already known. */
  writeHead: (head: ResponseHead, bodyBytes?: number) => void
  /** Sends a part of the body. Returns false when the caller reads too slowly; the writer should then wait for `onDrain`. */
  write: (chunk: Buffer) => boolean
  /** Registers a callback for the next time that the caller can receive more data. */
  onDrain: (resume: () => void) => void
  end: () => void
  /** Closes the connection, so that the caller detects that the response is incomplete. */
  abort: () => void
  /** Sends a refusal of the gateway itself instead of a server's response. */
  refuse: (refusal: GatewayRefusal, retryAfterMs: number | null) => void
  /** Registers a callback for the caller's disconnect before the end of the response. */
  onDisconnect: (callback: () => void) => void
}
